//! The demand that a holder reports to the ledger, which determines its share.

use std::time::Duration;

use super::holding::Holding;
use crate::amount::{Time, TokenRate, Tokens};

/// How many requests of average size a recently used holder plans for within its horizon. At a VM
/// with rare requests, a share by rate alone is less than one request, and sealed tokens become
/// free only at that rate.
const MIN_REQUESTS: u64 = 4;
/// How many requests of average size are left unsealed, up to half of a holding.
const UNSEALED_REQUESTS: u64 = 2;
/// Holders plan for more than their rates only while the ledger has this many requests' worth left
/// for each holder. Tokens that holders keep are lost when all VMs lose power at once, and a low
/// budget cannot spare them.
const PLENTY_REQUESTS: u64 = 16;
/// How long after a request a holder plans for [`MIN_REQUESTS`].
const RECENT_SPAN: Duration = Duration::from_secs(20);
/// The weight of each request in the average size is one `AVERAGE_DIVISOR`-th.
const AVERAGE_DIVISOR: u64 = 8;

/// The sizes of the requests that a holder has received.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestSizes {
    /// The moving average of the most tokens that a request can cost.
    average: Tokens,
    last_at: Option<Time>,
}

impl RequestSizes {
    /// Records a request.
    pub(super) fn record(&mut self, now: Time, need: Tokens) {
        let is_first = self.last_at.is_none();
        let older = self.average.saturating_sub(self.average.part(1, AVERAGE_DIVISOR));
        self.average =
            if is_first { need } else { older.saturating_add(need.part(1, AVERAGE_DIVISOR)) };
        self.last_at = Some(now);
    }

    /// Returns the lowest demand to plan for with this horizon.
    fn min_rate(&self, now: Time, horizon: Duration) -> TokenRate {
        let is_idle = self.last_at.is_none_or(|last_at| now.since(last_at) >= RECENT_SPAN);
        let millis = u64::try_from(horizon.as_millis()).unwrap_or(u64::MAX);
        if is_idle {
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

    /// Returns how many tokens to leave unsealed at least, for the next requests.
    pub(super) fn min_unsealed(&self) -> Tokens {
        if !self.has_plenty() {
            return Tokens::ZERO;
        }
        let next = self.request_sizes.average.part(UNSEALED_REQUESTS, 1);
        next.min(self.unspent().part(1, 2))
    }

    /// Returns whether the tokens that all holders keep for their next requests are few compared
    /// with those left in the ledger.
    fn has_plenty(&self) -> bool {
        let holders = u64::try_from(self.other_holders.len()).unwrap_or(u64::MAX).saturating_add(1);
        let each = self.request_sizes.average.part(PLENTY_REQUESTS, 1);
        self.remaining.is_some_and(|remaining| remaining >= each.part(holders, 1))
    }
}
