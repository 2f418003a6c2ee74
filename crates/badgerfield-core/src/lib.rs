//! The core of badgerfield: all decisions, without sockets, clocks or randomness.
//!
//! A [`Node`] is one process of the system. A driver passes it an [`Event`] with the current time
//! and carries out the [`Command`]s that it returns (see [`event`]). The same code runs in the
//! daemon and in tests that simulate many processes.
//!
//! # Requests
//!
//! A request on the caller API ([`event::Event::RequestArrived`]) passes through these modules, in
//! this order:
//!
//! 1. `handlers::admission` checks it against its [`template`].
//! 2. [`claims`] decide which process may run its key.
//! 3. [`holdings`] reserve its maximum cost, out of the tokens that the [`ledger`] granted.
//! 4. The [`queue`] decides when it is its turn.
//! 5. [`vm_upstreams`] chooses the upstream.
//! 6. `handlers::answer` passes the answer to the caller.
//! 7. `handlers::charging` bills the request once.
//!
//! A request on a route (any method, plain or streamed) takes another path. [`routing`] determines
//! its service, [`event::Event::Reserve`] reserves its tokens, and [`upstream_table`] chooses the
//! upstream, using the statistics of requests and engines in [`request_mix`]. [`retry_budget`]
//! limits how many requests are sent a second time. While this VM is cut off from upstreams, as
//! [`reachability`] decides, requests go through other processes. [`event_stream`] splits streams into events, so
//! that a stream can be resumed at another upstream. It must have the version at which the stream
//! began, which the process knows from [`stream_origins`] or from the list of upstreams.
//!
//! # Exchange between processes
//!
//! Processes send each other [messages](message). Where possible these contain only differences,
//! which [`view_update`] and [`template_history`] compute. Data reach the other processes in these
//! ways:
//!
//! - `broadcast` sends updates of the list of upstreams, of the templates, of evacuated failure
//!   domains ([`evacuation`]), of [`rollout`]s and of crashes ([`poison`]) along the ring of members.
//! - Heartbeats carry the [`confirmations`] of a view and the [queueing delays](queueing_delay) of
//!   engines. They also carry the sender's versions and digests, by which members detect that one
//!   of them lacks a view, templates or an update.
//! - `broadcast` also sends reports of members that are silent, overloaded or cut off from upstreams
//!   ([`availability`]), to which callers should not be directed.
//! - The rate limits that upstreams announce are sent from neighbour to neighbour
//!   ([`rate_limit`]).
//! - The store, a key-value service that outlasts processes, holds seven kinds of values: the
//!   templates, the membership [`view`], the announcements of processes that are joining it, the
//!   shards of the ledger, the record of each service's last rollout, the blocked requests, and the
//!   versions at which streams can have begun ([`version_record`]).
//!
//! The few members that watch the platform's list of upstreams pass on only as many upstreams as
//! the fleet's requests need ([`upstream_selection`]).
//!
//! Upstreams that have just started, or whose failure domain was restored, get few requests at
//! first ([`warm_up`]). Requests under which upstreams crash repeatedly are blocked and sent to no
//! further upstream ([`poison`]).
//!
//! # State
//!
//! All state is in the tables of `shared_state`, each with its own lock; the locks are taken in one
//! order.

pub mod adaptive_timeout;
pub mod amount;
pub mod answer_record;
pub mod availability;
mod bootstrap;
pub mod brittle;
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
pub mod json_document;
pub mod ledger;
pub mod ledger_writer;
mod lenders;
pub mod locality;
mod membership;
pub mod message;
mod node;
mod operator_update;
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
pub mod reachability;
pub mod refusal;
pub mod request_mix;
pub mod residency;
pub mod retry_budget;
pub mod rollout;
pub mod routing;
mod runs;
pub mod seal;
mod shared_state;
pub mod stop_reason;
mod store_call;
mod stored_record;
pub mod stream_origins;
pub mod stream_segments;
pub mod template;
pub mod template_arrival;
pub mod template_history;
pub mod upstream_list;
pub mod upstream_selection;
pub mod upstream_table;
pub mod version_record;
pub mod view;
pub mod view_status;
pub mod view_update;
pub mod vm_load;
pub mod vm_upstreams;
pub mod warm_up;

pub use bootstrap::MAX_WAITERS;
pub use event::{Command, Event};
pub use node::{BudgetStatus, Config, Node, Pacing, Status, TICK_INTERVAL};
