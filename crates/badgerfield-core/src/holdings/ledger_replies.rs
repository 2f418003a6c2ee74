//! Pending ledger operations and the replies of the ledger.

use std::time::Duration;

use super::Holdings;
use super::holding::HoldingState;
use crate::amount::{Time, Tokens};
use crate::event::{Command, LogEntry, Outbox, is_due};
use crate::ids::{BudgetId, Period};
use crate::ledger::{LedgerOp, LedgerReply};
use crate::seal::sealed_part;

/// How long an unconfirmed operation waits before it is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// The same for an operation that a request waits for.
const URGENT_RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// How many members are asked to write an operation before the store counts as unavailable.
const MAX_WRITERS: u32 = 3;

impl Holdings {
    /// Takes the operations that are due to be sent to the ledger.
    pub fn take_due_ops(&mut self, now: Time) -> Vec<(LedgerOp, u32)> {
        let mut ops = Vec::new();
        let clock = self.local.sealing.as_ref().map(|sealing| sealing.clock);
        for id in &self.busy {
            let Some(holding) = self.table.get_mut(id) else {
                continue;
            };
            let Some((op, sent)) = &holding.op else {
                continue;
            };
            let is_urgent = !op.need.is_zero();
            let resend = if is_urgent { URGENT_RESEND_INTERVAL } else { RESEND_INTERVAL };
            if !is_due(now, *sent, resend) {
                continue;
            }
            if let Some(clock) = clock.filter(|_| holding.op_attempts > 0) {
                holding.restamp_seal(now, clock);
            }
            let Some((op, sent)) = &mut holding.op else {
                continue;
            };
            *sent = Some(now);
            ops.push((op.clone(), holding.op_attempts));
            holding.op_attempts += 1;
        }
        ops
    }

    /// Applies the ledger's reply to an operation.
    pub fn apply_ledger_reply(
        &mut self,
        now: Time,
        budget: &BudgetId,
        period: Period,
        reply: &LedgerReply,
        out: &mut Outbox,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        match reply {
            LedgerReply::Applied {
                seq,
                granted,
                remaining,
                other_holders,
                plan,
                orphaned_seals,
            } => {
                let is_current = holding.op.as_ref().is_some_and(|(op, _)| op.seq == *seq);
                if !is_current {
                    return;
                }
                if !remaining.is_zero() {
                    holding.clear_refusals();
                }
                let op = holding.op.take().map(|(op, _)| op);
                let closed = op.as_ref().is_some_and(|op| op.close);
                let need = op.as_ref().map_or(Tokens::ZERO, |op| op.need);
                let reported = op.as_ref().map_or(Tokens::ZERO, |op| op.held);
                holding.ledger_held = reported.saturating_add(*granted);
                let is_promised = holding.promises.has_pending();
                let sealed = if is_promised { sealed_part(*granted, need) } else { Tokens::ZERO };
                holding.confirm_op(now, sealed, granted.saturating_sub(sealed));
                holding.remaining = Some(*remaining);
                if let Some(sealing) = self.local.sealing.as_mut() {
                    sealing.last_reply = Some(now);
                    holding.orphaned_seals.clone_from(orphaned_seals);
                }
                out.push(Command::Log(LogEntry::LedgerApplied {
                    budget: budget.clone(),
                    limit: holding.terms.limit,
                    granted: *granted,
                    remaining: *remaining,
                    held: holding.unspent(),
                    sealed: holding.sealed,
                    promised: is_promised,
                    reserved: holding.reserved,
                    in_transit: self.transfers.in_transit(budget),
                    took: holding.last_op_at.map_or(Duration::ZERO, |at| now.since(at)),
                    plan: *plan,
                    rate: holding.meter.rate(now),
                }));
                holding.store_down = false;
                holding.plan = *plan;
                holding.other_holders.clone_from(other_holders);
                if closed {
                    holding.state = HoldingState::Closed;
                }
            }
            // The template of the new period will arrive; tokens of the old one are void.
            LedgerReply::Ended { .. } => {
                holding.op = None;
                holding.free = Tokens::ZERO;
                holding.remaining = Some(Tokens::ZERO);
            }
            LedgerReply::UnknownHolder { seq } => {
                let is_current = holding.op.as_ref().is_some_and(|(op, _)| op.seq == *seq);
                if is_current {
                    holding.op = None;
                    holding.remaining = Some(Tokens::ZERO);
                }
            }
            LedgerReply::StoreUnavailable => {
                // Another member may reach the store.
                let retried = holding.op.as_mut().filter(|_| holding.op_attempts < MAX_WRITERS);
                match retried {
                    Some((_, sent)) => *sent = None,
                    None => holding.store_down = true,
                }
            }
        }
        self.changed.insert(budget.clone());
        self.serve_waiters(now, budget);
        if *reply == LedgerReply::StoreUnavailable {
            self.skip_ledger(now, budget, out);
        }
        self.advance_search(now, budget, out);
    }
}
