//! Requests on routes: any method, plain or streamed, served by upstreams.
//!
//! [`listener`] takes connections of callers; `admit` lets a request in, `flow` holds
//! its steps from there to its bill; `refusals` makes refusals; `attempt` is one try at one
//! upstream, `trial` what that tells of a version that is rolled out; `relay` passes a streamed
//! answer on; `overload` tells of the load of plain services; `directory` tells callers which VMs
//! to use. What the heads
//! look like is the business of the [`crate::adapter`].

mod admit;
pub(crate) mod attempt;
pub(crate) mod connections;
pub(crate) mod directory;
pub(crate) mod flow;
pub mod listener;
mod overload;
pub(crate) mod record;
mod refusals;
pub(crate) mod relay;
pub(crate) mod reservation;
pub(crate) mod state;
pub(crate) mod trial;
