//! Judges whether a response without a length was whole when its connection ended.
//!
//! A crash of the upstream ends the connection in the same way as the end of the response. Blaming
//! the request needs proof of a crash ([`super::crash_check`]), and passing the response on as whole
//! needs proof that the process that sent it has outlived its end ([`super::witness`]). What could
//! not be found out proves neither.

use std::net::SocketAddr;

use badgerfield_core::ids::UpstreamId;
use futures::future;

use crate::gateway::crash_check::{CrashCheck, Progress};
use crate::gateway::request_log;
use crate::gateway::witness::{Instance, Link, ResponseWitness, Testimony};

/// The verdict on the end of a response without a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnframedEnd {
    /// The upstream still ran afterwards, so the response is whole.
    Whole,
    /// The upstream has crashed.
    Crashed,
    /// Neither is proved.
    Unproved,
}

/// Returns whether the process that sent the response has outlived its end.
///
/// A process on a connection that is not known to lead to it counts only by its id. While this VM
/// stood still, or its address closed connections, another process may have started with that id.
pub(crate) fn proves_running(testimony: Testimony, link: Link, has_stalled: bool) -> bool {
    match (testimony, link) {
        (Testimony::Answered(Instance::Other) | Testimony::Closed, _) => false,
        (Testimony::Answered(_) | Testimony::Open, Link::SameProcess) => true,
        (Testimony::Answered(Instance::Same), Link::Unknown) => !has_stalled,
        (_, Link::Unknown | Link::Doubtful) => false,
    }
}

/// Returns the value for the log.
pub(crate) fn testimony_code(testimony: Testimony) -> &'static str {
    match testimony {
        Testimony::Answered(Instance::Same) => "same_instance",
        Testimony::Answered(Instance::Other) => "other_instance",
        Testimony::Answered(Instance::Unnamed) => "unnamed",
        Testimony::Open => "open",
        Testimony::Closed => "closed",
    }
}

/// Returns the value for the log.
pub(crate) fn link_code(link: Link) -> &'static str {
    match link {
        Link::SameProcess => "earlier",
        Link::Unknown => "late",
        Link::Doubtful => "doubtful",
    }
}

impl CrashCheck {
    /// Judges the end of a response without a length, and records a crash for the request if the
    /// upstream has crashed.
    pub(super) async fn judge_unframed_end(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        progress: Progress,
        witness: &ResponseWitness,
    ) -> UnframedEnd {
        let started = self.driver.now();
        // A linked witness answers soon or is closed. Otherwise an upstream that crashed may have
        // started again by the time that the witness has been asked.
        let ((testimony, link), crashed) = if witness.link() == Link::SameProcess {
            (witness.ask().await, None)
        } else {
            let detected = self.detect(upstream, address, progress);
            let (answer, has_crashed) = future::join(witness.ask(), detected).await;
            (answer, Some(has_crashed))
        };
        let has_stalled = witness.has_stalled();
        let is_running = proves_running(testimony, link, has_stalled);
        let has_crashed = match crashed {
            Some(has_crashed) => has_crashed,
            None => !is_running && self.detect(upstream, address, progress).await,
        };
        let end = match (has_crashed, is_running) {
            (true, _) => UnframedEnd::Crashed,
            (false, true) => UnframedEnd::Whole,
            (false, false) => UnframedEnd::Unproved,
        };
        let now = self.driver.now();
        let took = now.since(started);
        let is_whole = end == UnframedEnd::Whole;
        let record = self.gateway.upstreams().answer_record(now, upstream);
        let found = (testimony_code(testimony), link_code(link), record);
        request_log::unframed_end(&self.id, upstream, found, (is_whole, has_stalled), took);
        end
    }
}
