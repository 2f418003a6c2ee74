//! Poison requests ("queries of death"): requests under which upstreams crash, and how the fleet
//! stops sending them.
//!
//! A request is identified by its [`Fingerprint`], which does not depend on the sender of a retry
//! or on its attempt id. When an upstream crashes, a [`Crash`] is recorded for each request that
//! was running there. One crash is weak evidence, since many requests were running. At a second
//! crash at the same point of its answer the request is blocked and is sent to no third upstream.
//! An upstream that is only unreachable counts half as much. If a request completes after a crash,
//! it was not the cause, and its crashes are cleared.
//!
//! Requests of which no two are alike may share a prompt part under which upstreams crash. So a crash
//! under a request whose answer has not begun is also recorded for the shared parts of its prompt
//! (`parts`).
//!
//! Information only accumulates: a crash is identified by its request and its upstream, and once it
//! is cleared it stays cleared. Therefore the order in which processes receive crashes does not
//! matter, and two processes that have exchanged all they know have the same state.

mod crash;
mod fingerprint;
mod parts;
mod table;

pub use self::crash::{Crash, CrashEvidence};
pub use self::fingerprint::Fingerprint;
pub use self::table::{PoisonStatus, PoisonTable};
