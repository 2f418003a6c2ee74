//! The demand that a holder tells the ledger, by which it gets its share.

use std::time::Duration;

use super::holding::Holding;
use crate::amount::{Time, TokenRate, Tokens};

/// How many requests of the usual size a holder counts on in the time for which it holds ahead, once
/// it was asked of late: a share by its rate alone is less than one request at a VM that is seldom
/// asked, and what is sealed of it comes free only at the pace of that rate.
const MIN_REQUESTS: u64 = 4;
/// How many requests of the usual size are left unsealed, if they are no more than half of a holding.
const UNSEALED_REQUESTS: u64 = 2;
/// How many requests for each holder the ledger has left while holders keep more than their rates
/// alone ask for: what all keep is lost with the power of all, and a low budget cannot spare it.
const PLENTY_REQUESTS: u64 = 16;
/// For how long after a request a holder counts on more.
const RECENT_SPAN: Duration = Duration::from_secs(20);
/// Each request counts for one part in so many of the usual size.
const AVERAGE_DIVISOR: u64 = 8;

/// What a holder knows of the requests that it was asked for.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestSizes {
    /// The most that a request costs, as a moving average.
    average: Tokens,
    last_at: Option<Time>,
}

impl RequestSizes {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Time, need: Tokens) {
        let first = self.last_at.is_none();
        let older = self.average.saturating_sub(self.average.part(1, AVERAGE_DIVISOR));
        self.average =
            if first { need } else { older.saturating_add(need.part(1, AVERAGE_DIVISOR)) };
        self.last_at = Some(now);
    }

    /// Returns the least demand to count on, if so much time is held ahead.
    fn min_rate(&self, now: Time, horizon: Duration) -> TokenRate {
        let is_late = self.last_at.is_none_or(|last_at| now.since(last_at) >= RECENT_SPAN);
        let millis = u64::try_from(horizon.as_millis()).unwrap_or(u64::MAX);
        if is_late {
            return TokenRate(0);
        }
        TokenRate(self.average.part(MIN_REQUESTS.saturating_mul(1000), millis).0)
    }
}

impl Holding {
    /// Returns the demand to plan for.
    pub(super) fn demand(&self, now: Time) -> TokenRate {
        let rate = self.meter.rate(now);
        if self.has_plenty() {
            rate.max(self.request_sizes.min_rate(now, self.horizon))
        } else {
            rate
        }
    }

    /// Returns what is left unsealed in any case, for the next requests.
    pub(super) fn min_unsealed(&self) -> Tokens {
        if !self.has_plenty() {
            return Tokens::ZERO;
        }
        let next = self.request_sizes.average.part(UNSEALED_REQUESTS, 1);
        next.min(self.unspent().part(1, 2))
    }

    /// Tells whether what every holder keeps for its next requests is little beside what is left.
    fn has_plenty(&self) -> bool {
        let holders = u64::try_from(self.other_holders.len()).unwrap_or(u64::MAX).saturating_add(1);
        let each = self.request_sizes.average.part(PLENTY_REQUESTS, 1);
        self.remaining.is_some_and(|remaining| remaining >= each.part(holders, 1))
    }
}
