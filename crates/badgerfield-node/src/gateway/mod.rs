//! Requests on routes: any method, plain or streamed, served by upstreams.
//!
//! [`listener`] takes connections of callers; `flow` holds the steps of one request,
//! from its head to its bill; `attempt` is one try at one upstream; `relay` passes
//! a streamed answer on; `directory` tells callers which VMs to use. What the heads
//! look like is the business of the [`crate::adapter`].

pub(crate) mod attempt;
pub(crate) mod connections;
pub(crate) mod directory;
pub(crate) mod flow;
pub mod listener;
pub(crate) mod record;
pub(crate) mod relay;
pub(crate) mod reservation;
pub(crate) mod state;
