//! Requests on routes: any method, plain or streamed, served by upstreams.
//!
//! A request passes through these modules:
//!
//! - [`listener`] takes connections of callers;
//! - `admit` lets a request in, or says why not; `reservation` sets aside what it can cost;
//! - `flow` holds its steps from there to its bill;
//! - `dispatch` chooses upstreams, one after the other where that is allowed;
//! - `attempt` is one try at one upstream, over one of the `connections`;
//! - `relay` passes a streamed answer on;
//! - `suspicion` says whether it may be sent, if an upstream has ended while it was there;
//! - `refusals` makes the answer where it is refused.
//!
//! Beside them, `state` holds what all requests share; `record` writes a line of the log for each
//! step; `trial` notes what a try tells of a version that is rolled out, and `overload` what it
//! tells of the load of a plain service; `statements` takes in what upstreams say of themselves in
//! their answers; `directory` tells callers which VMs to use.
//!
//! What the heads look like is the business of the [`crate::adapter`].

mod admit;
mod announcements;
pub(crate) mod attempt;
pub(crate) mod connections;
pub(crate) mod directory;
mod dispatch;
pub(crate) mod exchange;
pub mod listener;
mod overload;
mod poison;
mod refusals;
pub(crate) mod relay;
pub(crate) mod request_log;
pub(crate) mod reservation;
pub(crate) mod rollout_sample;
pub(crate) mod state;
