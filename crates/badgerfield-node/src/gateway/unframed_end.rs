//! Judges whether a response without a length was whole when its connection ended.
//!
//! A crash of the upstream ends the connection in the same way as the end of the response. Blaming
//! the request needs proof of a crash ([`super::crash_check`]), and passing the response on as whole
//! needs proof that the process that sent it has outlived its end by a while ([`super::witness`]): a
//! process that ends closes its responses first. What could not be found out proves neither.
//!
//! An upstream that lives may break off responses as well. Whether it does can only be told from its
//! other responses ([`badgerfield_core::answer_record`]).

use std::net::SocketAddr;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::answer_record::Reliability;
use badgerfield_core::ids::UpstreamId;
use futures::future;

use crate::gateway::crash_check::{CrashCheck, Progress};
use crate::gateway::request_log;
use crate::gateway::witness::{Instance, Link, ResponseWitness, SecondQuestion, Testimony};

/// How long the end of a response may be held back until it is judged.
pub(super) const MAX_JUDGE_TIME: Duration = Duration::from_millis(1200);
/// How long a plain response may take from its head to its end to count as written at once. A process
/// that ends breaks off such a response only in the moment in which it writes it.
pub(crate) const AT_ONCE: Duration = Duration::from_millis(5);
/// How long before its deadline a response must be passed on to arrive in time.
const RELEASE_TIME: Duration = Duration::from_millis(50);

/// The verdict on the end of a response without a length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnframedEnd {
    /// The upstream still ran afterwards, so the response is whole.
    Whole,
    /// The upstream has crashed.
    Crashed,
    /// Neither is proved.
    Unproved,
    /// The upstream still ran, but it breaks off other responses.
    Doubted,
    /// The upstream still ran, but it fails other requests, or accepts no more connections. The response
    /// counts as whole unless another upstream tells otherwise.
    Unconfirmed,
}

/// What limits the judgement of an end.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndLimits {
    /// The time until which the caller waits.
    pub(super) deadline: Time,
    /// Whether another upstream can tell if anything is missing.
    pub(super) can_confirm: bool,
    /// Whether the response was written at once, so that its process need not outlive it by a while.
    pub(super) is_brief: bool,
}

/// Returns the verdict on the end of a response of an upstream that still ran, by its other responses.
fn judge_by_others(reliability: Reliability, can_confirm: bool) -> UnframedEnd {
    match reliability {
        Reliability::Fails if can_confirm => UnframedEnd::Unconfirmed,
        Reliability::Sound | Reliability::Fails => UnframedEnd::Whole,
        Reliability::BreaksOff => UnframedEnd::Doubted,
    }
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
        limits: EndLimits,
    ) -> UnframedEnd {
        let ended_at = self.driver.now();
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
        let was_running = proves_running(testimony, link, has_stalled) && crashed != Some(true);
        let is_brief = limits.is_brief && !has_stalled;
        let survival = if was_running && !is_brief {
            let remaining = limits.deadline.since(ended_at).saturating_sub(RELEASE_TIME);
            // A rejected check counts like a rejected request.
            let is_brittle = self.gateway.upstreams().has_brittle();
            let question = SecondQuestion {
                keeps_open: !is_brittle,
                spares_checks: is_brittle,
                probes: limits.can_confirm,
            };
            Some(witness.ask_later(ended_at, ended_at.after(remaining), question).await)
        } else {
            None
        };
        let now = self.driver.now();
        let is_running = match survival {
            Some(survival) => survival.is_proved(false),
            None => was_running,
        };
        let is_refused = survival.is_some_and(|survival| survival.is_refused);
        // A process that has outlived the response has not crashed under its request.
        let has_crashed = match crashed {
            Some(has_crashed) => has_crashed,
            None => !was_running && self.detect(upstream, address, progress).await,
        };
        let record = self.gateway.upstreams().answer_record(now, upstream);
        let end = match (has_crashed, is_running) {
            (true, _) => UnframedEnd::Crashed,
            // A planned end closes the listener first as well, and lets answers finish.
            (false, true) if is_refused && limits.can_confirm => UnframedEnd::Unconfirmed,
            (false, true) => judge_by_others(record.reliability(now), limits.can_confirm),
            (false, false) => UnframedEnd::Unproved,
        };
        request_log::unframed_end(&request_log::UnframedEndEntry {
            id: &self.id,
            upstream,
            evidence: testimony_code(survival.map_or(testimony, |survival| survival.testimony)),
            connection: link_code(link),
            outlived: survival.map(|survival| survival.span),
            is_refused,
            record,
            has_stalled: witness.has_stalled(),
            is_whole: end == UnframedEnd::Whole,
            took: now.since(ended_at),
        });
        end
    }
}
