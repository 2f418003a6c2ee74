//! Whether this VM can open connections to upstreams, or has lost its own links to them.
//!
//! A VM may be cut off from all upstreams while callers, the store and the other VMs still reach
//! it. Its requests then go through peers. Only new connections count as evidence: open ones may
//! live on while new ones fail. An upstream that fails says nothing about this VM, so a few in
//! different failure domains are probed, and peers are asked for those that do not answer: if
//! peers reach them, the fault is at this VM.
//!
//! Requests return to direct sending step by step, and later each time that the links fail again
//! soon after.

use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;

/// Time without a newly opened connection after which upstreams are probed.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of probes in doubt and while cut off. It includes the timeout of a connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum interval of probes in doubt, if earlier ones have found the links intact. A cut must
/// still be noticed within 3 s.
const MAX_DOUBT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a finding that the links are intact holds for requests that meet unreachable upstreams.
const FINDING_TTL: Duration = Duration::from_secs(2);
/// The number of rounds of probes that must find this VM cut off.
const ROUNDS_TO_CUT: u32 = 2;
/// How long such a round counts if later ones are indecisive.
const CUT_ROUND_TTL: Duration = Duration::from_secs(5);
/// The number of consecutive successful rounds after which requests begin to return.
const ROUNDS_TO_RETURN: u32 = 2;
/// The maximum number of such rounds if the links fail again and again.
const MAX_ROUNDS_TO_RETURN: u32 = 16;
/// Time after a return within which another cut counts as a repeated failure.
const FLAP_SPAN: Duration = Duration::from_secs(15);
/// The percentages of requests that are sent directly while they return, and how long each lasts.
const RETURN_STEPS: [u64; 2] = [25, 50];
const RETURN_STEP_TIME: Duration = Duration::from_secs(1);

/// The result of one round of probes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProbeRound {
    /// The number of upstreams to which a connection was tried.
    pub probed: usize,
    /// The number of connections that opened.
    pub opened: usize,
    /// The number of the other upstreams for which peers were asked, and answered.
    pub asked: usize,
    /// The number of those that a peer reaches.
    pub reached: usize,
}

impl ProbeRound {
    /// Returns whether most upstreams are out of reach of this VM only.
    fn shows_cut(self) -> bool {
        let is_closed = self.probed > 0 && self.opened * 3 <= self.probed;
        is_closed && self.asked > 0 && self.reached * 2 >= self.asked
    }

    /// Returns whether some upstreams are out of reach, but of peers as well, as far as known.
    fn shows_failed_upstreams(self) -> bool {
        self.reached * 2 < self.asked || self.asked == 0
    }

    /// Returns whether most connections opened.
    fn shows_links(self) -> bool {
        self.probed > 0 && self.opened * 4 >= self.probed * 3
    }
}

/// A change of what this VM believes about its links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// It is cut off from upstreams.
    CutOff,
    /// It reaches upstreams again; some requests are sent directly.
    Returning,
    /// All requests are sent directly again, this long after the cut was noticed.
    Returned(Duration),
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Direct,
    CutOff {
        since: Time,
    },
    Returning {
        cut_since: Time,
        step: usize,
        step_since: Time,
    },
}

/// What this VM knows about its links to upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    state: State,
    /// When a connection was last opened.
    opened_at: Option<Time>,
    /// When a connection last failed.
    failed_at: Option<Time>,
    /// When the last round of probes ended.
    probed_at: Option<Time>,
    /// When a round last found the links intact, though a connection had failed.
    cleared_at: Option<Time>,
    /// How many such rounds there were in a row.
    clear_rounds: u32,
    /// The number of rounds that found this VM cut off since one that found its links intact.
    cut_rounds: u32,
    /// When the last such round ended.
    cut_round_at: Option<Time>,
    /// The number of consecutive rounds in which most connections opened.
    open_rounds: u32,
    /// When requests last returned to direct sending.
    returned_at: Option<Time>,
    /// How often the links have failed again soon after a return.
    flaps: u32,
}

impl Reachability {
    /// Records that a request opened a new connection to an upstream, or failed to.
    pub fn record_connect(&mut self, now: Time, opened: bool) {
        let at = if opened { &mut self.opened_at } else { &mut self.failed_at };
        *at = Some(now);
    }

    /// Returns whether requests go through peers.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        matches!(self.state, State::CutOff { .. })
    }

    /// Returns whether a request is sent directly; `random` spreads requests while they return.
    #[must_use]
    pub fn sends_directly(&self, random: u64) -> bool {
        match self.state {
            State::Direct => true,
            State::CutOff { .. } => false,
            State::Returning { step, .. } => {
                RETURN_STEPS.get(step).is_none_or(|percent| random % 100 < *percent)
            }
        }
    }

    /// Returns whether the last connection failed, so that this VM may be cut off.
    #[must_use]
    pub fn is_doubtful(&self) -> bool {
        self.state == State::Direct && (self.cut_rounds > 0 || self.failed_at > self.opened_at)
    }

    /// Returns whether a request that meets unreachable upstreams should wait for the next rounds.
    #[must_use]
    pub fn awaits_finding(&self, now: Time) -> bool {
        self.is_doubtful() && is_due(now, self.cleared_at, FINDING_TTL)
    }

    /// Returns whether the next round should probe many upstreams, because it may decide.
    #[must_use]
    pub fn is_decisive(&self) -> bool {
        self.state != State::Direct || self.is_doubtful()
    }

    /// Returns whether the next round of probes is due.
    #[must_use]
    pub fn is_round_due(&self, now: Time) -> bool {
        if self.state != State::Direct || self.cut_rounds > 0 {
            return is_due(now, self.probed_at, PROBE_INTERVAL);
        }
        if self.is_doubtful() {
            let doubling = 1 << self.clear_rounds.min(4);
            let interval = PROBE_INTERVAL.saturating_mul(doubling).min(MAX_DOUBT_INTERVAL);
            return is_due(now, self.probed_at, interval);
        }
        is_due(now, self.opened_at.max(self.probed_at), IDLE_PROBE_INTERVAL)
    }

    /// Applies the result of a round of probes.
    pub fn record_round(&mut self, now: Time, round: ProbeRound) -> Option<ReachChange> {
        self.probed_at = Some(now);
        let shows_cut = round.shows_cut();
        if round.opened > 0 && !shows_cut {
            self.opened_at = Some(now);
        }
        match self.state {
            State::Direct => self.record_direct_round(now, round),
            State::CutOff { since } => self.record_cut_round(now, since, round),
            State::Returning { .. } if shows_cut => {
                self.record_flap();
                Some(self.cut_off(now))
            }
            State::Returning { cut_since, step, step_since } => {
                let is_over = round.shows_links() && now.since(step_since) >= RETURN_STEP_TIME;
                if !is_over {
                    return None;
                }
                let step = step + 1;
                self.state = State::Returning { cut_since, step, step_since: now };
                if step < RETURN_STEPS.len() {
                    return None;
                }
                self.state = State::Direct;
                self.returned_at = Some(now);
                Some(ReachChange::Returned(now.since(cut_since)))
            }
        }
    }

    fn record_direct_round(&mut self, now: Time, round: ProbeRound) -> Option<ReachChange> {
        if is_due(now, self.cut_round_at, CUT_ROUND_TTL) {
            self.cut_rounds = 0;
        }
        if round.shows_links() || round.shows_failed_upstreams() {
            let was_doubtful = self.failed_at > self.cleared_at;
            self.cut_rounds = 0;
            self.clear_rounds = if was_doubtful { self.clear_rounds + 1 } else { 0 };
            if was_doubtful {
                self.cleared_at = Some(now);
            }
        }
        if !round.shows_cut() {
            return None;
        }
        self.cut_rounds += 1;
        self.cut_round_at = Some(now);
        if self.cut_rounds < ROUNDS_TO_CUT {
            return None;
        }
        if self.returned_at.is_some_and(|at| now.since(at) < FLAP_SPAN) {
            self.record_flap();
        } else {
            self.flaps = 0;
        }
        Some(self.cut_off(now))
    }

    fn record_cut_round(
        &mut self,
        now: Time,
        cut_since: Time,
        round: ProbeRound,
    ) -> Option<ReachChange> {
        if !round.shows_links() {
            self.open_rounds = 0;
            return None;
        }
        self.open_rounds += 1;
        let needed = ROUNDS_TO_RETURN.saturating_mul(1 << self.flaps).min(MAX_ROUNDS_TO_RETURN);
        if self.open_rounds < needed {
            return None;
        }
        self.state = State::Returning { cut_since, step: 0, step_since: now };
        Some(ReachChange::Returning)
    }

    fn record_flap(&mut self) {
        self.flaps = (self.flaps + 1).min(8);
    }

    fn cut_off(&mut self, now: Time) -> ReachChange {
        self.state = State::CutOff { since: now };
        (self.cut_rounds, self.open_rounds, self.clear_rounds) = (0, 0, 0);
        ReachChange::CutOff
    }
}
