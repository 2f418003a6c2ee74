//! Requests under which upstreams end ("queries of death"), and how the fleet stops sending them.
//!
//! A request is known by its [`Fingerprint`], whoever sends it again and under whichever attempt
//! id. When an upstream ends, each request that was there gets a [`Crash`] noted. One crash is
//! weak evidence: all that ran there were there. At a second one at the same point of its answer
//! the request is blocked, and goes to no third upstream. An upstream that only cannot be reached any
//! more weighs half as much. A request that is served whole after a
//! crash had no part in it: its crashes are cleared.
//!
//! What is known only grows: a crash is named by its request and its upstream, and once it is
//! cleared it stays so. So the order in which processes hear of crashes does not matter, and two
//! that have told each other all believe the same.

mod crash;
mod fingerprint;
mod table;

pub use self::crash::{Crash, CrashEvidence};
pub use self::fingerprint::Fingerprint;
pub use self::table::{PoisonStatus, PoisonTable};
