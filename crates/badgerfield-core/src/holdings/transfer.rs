//! Transfers: tokens that go directly from one holder to another, without the store.
//!
//! The sender deducts the tokens first, then sends them, and resends until the receiver has
//! acknowledged. The receiver counts each pair of sender and sequence number once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Incarnation, Period};
use crate::message::{Message, Transfer};
use crate::view::View;

/// The shortest wait before an unacknowledged transfer is sent again. The wait doubles each time:
/// with a constant interval, resent transfers made up most of the traffic on the full link of a VM.
const MIN_RESEND: Duration = Duration::from_millis(300);
/// The longest such wait. A silent process leaves the view after 20 s.
const MAX_RESEND: Duration = Duration::from_secs(8);
/// The first wait is this multiple of the time that the last acknowledgement took.
const RESEND_FACTOR: u32 = 2;

/// Transfers sent and not yet acknowledged, and those received.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    next_seq: HashMap<Incarnation, u64>,
    sent: BTreeMap<(Incarnation, u64), Sent>,
    received: HashMap<Incarnation, Received>,
    /// How long the last acknowledgement of each process took.
    ack_times: HashMap<Incarnation, Duration>,
}

#[derive(Debug)]
struct Sent {
    budget: BudgetId,
    period: Period,
    amount: Tokens,
    has_more: bool,
    /// When it was sent first, and when last.
    first_at: Time,
    last_at: Time,
    /// How long to wait before it is sent again.
    wait: Duration,
}

impl Sent {
    fn is_due(&self, now: Time) -> bool {
        now.since(self.last_at) >= self.wait
    }
}

#[derive(Debug, Default)]
struct Received {
    /// The sender has received acknowledgements up to this sequence number.
    acked_seq: u64,
    /// The sequence numbers received beyond `acked_seq`.
    seqs_above: BTreeSet<u64>,
}

impl Transfers {
    /// Sends tokens that the sender has already deducted. `has_more` tells the receiver whether the
    /// sender may have more later.
    pub(crate) fn send_new(
        &mut self,
        now: Time,
        to: Incarnation,
        budget: &BudgetId,
        period: Period,
        (amount, has_more): (Tokens, bool),
        out: &mut Outbox,
    ) {
        let next = self.next_seq.entry(to).or_insert(0);
        *next += 1;
        let seq = *next;
        let ack_time = self.ack_times.get(&to).copied().unwrap_or_default();
        let wait = ack_time.saturating_mul(RESEND_FACTOR).clamp(MIN_RESEND, MAX_RESEND);
        let budget = budget.clone();
        let sent = Sent { budget, period, amount, has_more, first_at: now, last_at: now, wait };
        self.sent.insert((to, seq), sent);
        self.send(to, seq, out);
    }

    /// Records an acknowledgement.
    pub(crate) fn record_ack(&mut self, now: Time, from: Incarnation, seq: u64) {
        if let Some(sent) = self.sent.remove(&(from, seq)) {
            self.ack_times.insert(from, now.since(sent.first_at));
        }
    }

    /// Records a received transfer. Returns whether it is new.
    pub(crate) fn record_received(&mut self, from: Incarnation, transfer: &Transfer) -> bool {
        let received = self.received.entry(from).or_default();
        if transfer.seq <= received.acked_seq || !received.seqs_above.insert(transfer.seq) {
            return false;
        }
        received.acked_seq = received.acked_seq.max(transfer.acked_seq);
        received.seqs_above = received.seqs_above.split_off(&(received.acked_seq + 1));
        true
    }

    /// Sends due transfers again.
    pub(crate) fn resend_due(&mut self, now: Time, out: &mut Outbox) {
        let mut due = Vec::new();
        let mut previous = None;
        for ((to, seq), sent) in &mut self.sent {
            // The first transfer to a process shows whether the process can be reached. Later ones
            // are most likely on their way, too, so they are sent again only at the longest
            // interval.
            let is_first = previous.replace(*to) != Some(*to);
            let is_due =
                if is_first { sent.is_due(now) } else { now.since(sent.last_at) >= MAX_RESEND };
            if !is_due {
                continue;
            }
            sent.last_at = now;
            sent.wait = sent.wait.saturating_mul(2).min(MAX_RESEND);
            due.push((*to, *seq));
        }
        for (to, seq) in due {
            self.send(to, seq, out);
        }
    }

    /// Drops transfers to processes that were removed.
    ///
    /// Their tokens are lost, because the receiver may have counted them.
    pub(crate) fn apply_view(&mut self, view: &View) {
        self.sent.retain(|(to, _), _| view.has_member(*to));
        self.received.retain(|from, _| view.has_member(*from));
        self.ack_times.retain(|to, _| view.has_member(*to));
    }

    /// Returns how many tokens of a budget are in transit.
    pub(crate) fn in_transit(&self, budget: &BudgetId) -> Tokens {
        self.sent.values().filter(|s| &s.budget == budget).map(|s| s.amount).sum()
    }

    /// Returns whether a transfer of a budget to a process has been unacknowledged for longer than
    /// messages normally take.
    pub(crate) fn is_ack_overdue(&self, now: Time, to: Incarnation, budget: &BudgetId) -> bool {
        let sent = self.sent.range((to, 0)..=(to, u64::MAX)).map(|(_, sent)| sent);
        let mut sent = sent.filter(|sent| sent.budget == *budget);
        sent.any(|sent| now.since(sent.first_at) >= MIN_RESEND)
    }

    /// Returns how many tokens of each budget are in transit.
    pub(crate) fn all_in_transit(&self) -> BTreeMap<BudgetId, Tokens> {
        let mut sums: BTreeMap<BudgetId, Tokens> = BTreeMap::new();
        for sent in self.sent.values() {
            let sum = sums.entry(sent.budget.clone()).or_default();
            *sum = sum.saturating_add(sent.amount);
        }
        sums
    }

    /// Returns whether all transfers are acknowledged.
    pub(crate) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    fn send(&self, to: Incarnation, seq: u64, out: &mut Outbox) {
        let Some(sent) = self.sent.get(&(to, seq)) else {
            return;
        };
        let first = self.sent.range((to, 0)..=(to, u64::MAX)).next();
        let acked = first.map_or(0, |((_, seq), _)| seq - 1);
        let transfer = Transfer {
            seq,
            acked_seq: acked,
            budget: sent.budget.clone(),
            period: sent.period,
            amount: sent.amount,
            has_more: sent.has_more,
        };
        out.send(to, Message::Transfer(transfer));
    }
}
