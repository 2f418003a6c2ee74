//! Requests on routes: any HTTP method, plain or streamed, served by upstreams.
//!
//! A request passes through these modules:
//!
//! - [`listener`] accepts connections of callers;
//! - `admit` admits or refuses a request, `route_lookup` finds its route and its caller, and
//!   `reservation` reserves the most tokens that it can cost;
//! - `exchange` holds its state and its steps from admission to settlement;
//! - `dispatch` chooses upstreams, one after the other where the route allows retries;
//! - `attempt` is one attempt at one upstream, over one of the `connections`;
//! - `brittle` sends requests to upstreams that end if they reject too many, over the places that
//!   this VM or a peer has there; `places` holds the requests that wait for one;
//! - `forward` sends requests through peers while this VM is cut off from upstreams, as
//!   `reachability` finds out by opening connections, or has no such places, and sends those of
//!   peers;
//! - `relay` forwards a streamed response;
//! - `crash_check` detects crashes of upstreams that serve the request, and `poison` blocks poison
//!   requests and parts of prompts;
//! - `unframed_end` judges whether a response without a length is whole, by a `witness` that its
//!   upstream has outlived it;
//! - `refusals` builds the response of a refused request.
//!
//! `state` holds the shared state of all requests, and `request_log` writes one log line for each
//! step. `rollout_sample` measures attempts at services with a rollout, and `overload` measures the
//! load of plain services. `announcements` applies what upstreams announce in their response
//! headers, and `directory` tells callers which VMs to use.
//!
//! The [`crate::adapter`] defines the formats of headers.

mod admit;
mod announcements;
pub(crate) mod attempt;
mod brittle;
pub(crate) mod connections;
mod crash_check;
pub(crate) mod directory;
mod dispatch;
pub(crate) mod exchange;
pub(crate) mod forward;
pub mod listener;
mod overload;
mod places;
mod poison;
pub(crate) mod reachability;
mod refusals;
pub(crate) mod relay;
pub(crate) mod request_log;
pub(crate) mod reservation;
pub(crate) mod rollout_sample;
mod route_lookup;
pub(crate) mod state;
pub(crate) mod stream_origin;
pub(crate) mod unframed_end;
mod upstream_stream;
pub(crate) mod witness;
