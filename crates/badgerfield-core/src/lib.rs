//! The decisions of badgerfield, without sockets, clocks or randomness.
//!
//! A [`Node`] is one process of the system. Whoever drives it hands it an [`Event`]
//! with the present time and carries out the [`Command`]s that it yields; see [`event`].
//! The same node runs in the daemon and in tests that drive many of them.
//!
//! A request passes through these parts, in this order: `handlers::admission` checks it
//! against its [`template`]; [`claims`] decide who may run its key; [`holdings`] set
//! aside the most it can cost, out of rights that the [`ledger`] divided; the
//! [`queue`] says whose turn it is; [`vm_upstreams`] says where it runs; `handlers::answer`
//! passes its answer on; `handlers::charging` bills it once.
//!
//! A request on a route (any method, plain or streamed) is looked up in [`routing`],
//! sets tokens aside through [`event::Event::Reserve`], and goes to an upstream that
//! [`upstream_table`] chooses, by what [`request_mix`] learns of requests and engines; [`retry_budget`]
//! bounds what is sent twice, and [`event_stream`] cuts streams so that they can go on
//! elsewhere.
//!
//! Between processes only differences travel: [`view_update`] and [`template_history`] make
//! them, `broadcast` carries news of upstreams along the ring of members, and signs of life
//! carry the [`confirmations`] of a view and the [queueing delays](queueing_delay) of engines. Which failure domains are
//! evacuated is told by the same broadcast and compared by digests ([`evacuation`]); upstreams
//! that come back from there start slowly ([`warm_up`]). Orders to move a service to another
//! version travel in the same way ([`rollout`]), and so do requests under which upstreams have
//! ended ([`poison`]), which are sent to no other. The limits that upstreams name travel from
//! neighbour to neighbour ([`rate_limit`]).
//!
//! All state stands in the tables of `shared_state`, with one lock order. The platform's
//! key-value service holds five kinds of values: the templates, the membership
//! [`view`], the shards of the ledger, the record of each service's last roll-out, and the
//! requests that are blocked.

pub mod adaptive_timeout;
pub mod amount;
mod bootstrap;
mod broadcast;
mod charges;
pub mod claims;
pub mod confirmations;
pub mod evacuation;
pub mod event;
pub mod event_stream;
mod handlers;
pub mod holdings;
pub mod ids;
mod joining;
pub mod ledger;
pub mod ledger_writer;
mod lenders;
pub mod locality;
mod membership;
pub mod message;
mod node;
pub mod overload;
mod pending_calls;
pub mod poison;
mod poison_record;
pub mod policy;
pub mod queue;
pub mod queueing_delay;
mod ranks;
pub mod rate_limit;
mod rate_meter;
pub mod refusal;
pub mod request_mix;
pub mod residency;
pub mod retry_budget;
pub mod rollout;
pub mod routing;
mod runs;
pub mod seal;
mod shared_state;
pub mod template;
pub mod template_history;
pub mod upstream_list;
pub mod upstream_table;
pub mod view;
pub mod view_update;
pub mod vm_upstreams;
pub mod warm_up;

pub use event::{Command, Event};
pub use node::{BudgetStatus, Config, Node, Pacing, Status, TICK_INTERVAL};
