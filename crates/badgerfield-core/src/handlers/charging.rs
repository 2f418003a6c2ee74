//! Charging: settles reservations and bills each key once.

use crate::amount::{Time, Tokens};
use crate::event::{Bill, Command, Outbox};
use crate::ids::{Epoch, Incarnation, RunId};
use crate::message::{ChargeId, Message, PendingCharge, SettleRequest};
use crate::node::Node;
use crate::runs::{Run, RunKey};

impl Node {
    /// Settles an ended run at its cost. The cost is billed once the arbiter agrees, or at once if
    /// the run has no key.
    pub(crate) fn charge(&self, now: Time, id: RunId, cost: Tokens, out: &mut Outbox) {
        let (pending, bill) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let reserved = std::mem::take(&mut run.reserved);
            let mut holdings = self.state.holdings();
            holdings.settle(now, &run.budget, run.period, reserved, cost);
            if run.key.is_none() {
                holdings.record_charge(&run.budget, run.period, cost, true);
            }
            (self.new_pending_charge(id, run, cost), self.new_bill(id, run, cost))
        };
        let Some(pending) = pending else {
            out.push(Command::Bill(bill));
            return;
        };
        self.state.charges().add(now, pending);
        self.tick_charges(now, out);
    }

    fn new_pending_charge(&self, id: RunId, run: &Run, cost: Tokens) -> Option<PendingCharge> {
        let keyed = run.key.as_ref()?;
        Some(PendingCharge {
            id: ChargeId { owner: self.id(), serial: id.0 },
            account: run.account.clone(),
            budget: run.budget.clone(),
            period: run.period,
            key: keyed.key,
            home: keyed.home.clone(),
            stream: self.stream_name(id, run),
            cost,
        })
    }

    fn new_bill(&self, id: RunId, run: &Run, cost: Tokens) -> Bill {
        let (account, budget) = (run.account.clone(), run.budget.clone());
        let stream = self.stream_name(id, run);
        Bill { account, budget, key: None, stream, cost, billed: true }
    }

    /// Sends due settle requests to arbiters.
    pub(crate) fn tick_charges(&self, now: Time, out: &mut Outbox) {
        let (requests, expired) = {
            let mut charges = self.state.charges();
            charges.sweep(now, self.config.key_retention);
            (charges.due_requests(now), charges.expired(now, self.config.key_retention))
        };
        for request in requests {
            self.send_settle_request(now, request, out);
        }
        // The arbiter may no longer remember the key, so it cannot decide who bills it.
        for id in expired {
            self.end_charge(id, false, out);
        }
    }

    fn send_settle_request(&self, now: Time, request: SettleRequest, out: &mut Outbox) {
        let keyed = RunKey { key: request.key, home: request.home.clone() };
        let Some(arbiter) = self.arbiter_and_backup(&keyed)[0] else {
            return;
        };
        if arbiter != self.id() {
            out.send(arbiter, Message::SettleRequest(request));
            return;
        }
        let (billed, epoch) = {
            let mut claims = self.state.claims();
            (claims.settle_charge(now, arbiter, &request, out), claims.epoch())
        };
        if let Some(billed) = billed {
            self.handle_settle_reply(now, request.id, epoch, billed, out);
        }
    }

    /// Decides whether another process may bill a key.
    pub(crate) fn handle_settle_request(
        &self,
        now: Time,
        from: Incarnation,
        request: &SettleRequest,
        out: &mut Outbox,
    ) {
        let (billed, epoch) = {
            let mut claims = self.state.claims();
            (claims.settle_charge(now, from, request, out), claims.epoch())
        };
        let id = request.id;
        if let Some(billed) = billed {
            out.send(from, Message::SettleReply { id, epoch, billed });
        }
    }

    /// Handles the arbiter's decision whether this process bills a charge.
    pub(crate) fn handle_settle_reply(
        &self,
        now: Time,
        id: ChargeId,
        epoch: Epoch,
        billed: bool,
        out: &mut Outbox,
    ) {
        let Some(record) = self.state.charges().claim_record(id) else {
            return;
        };
        // A billed charge must be recorded here before it is billed.
        if billed && !self.state.claims().record_agreed_charge(now, epoch, &record) {
            return;
        }
        self.end_charge(id, billed, out);
    }

    fn end_charge(&self, id: ChargeId, billed: bool, out: &mut Outbox) {
        let Some(charge) = self.state.charges().remove(id) else {
            return;
        };
        self.state.holdings().record_charge(&charge.budget, charge.period, charge.cost, billed);
        let (account, budget) = (charge.account, charge.budget);
        let (key, stream, cost) = (Some(charge.key), charge.stream, charge.cost);
        out.push(Command::Bill(Bill { account, budget, key, stream, cost, billed }));
    }

    /// Hands pending charges over to another process, because this one stops.
    pub(crate) fn hand_over_charges(&self, now: Time, out: &mut Outbox) {
        let charges = self.state.charges().due_handover(now);
        let available = self.state.membership().available_members(now);
        let is_near = |m: &&crate::view::Member| m.region == self.config.member.region;
        let others = || available.iter().filter(|m| m.incarnation != self.id());
        let successor = others().find(is_near).or_else(|| others().next());
        if let Some(successor) = successor.filter(|_| !charges.is_empty()) {
            out.send(successor.incarnation, Message::Charges(charges));
        }
    }

    /// Takes over the pending charges of a process that stops.
    pub(crate) fn take_over_charges(
        &self,
        now: Time,
        from: Incarnation,
        charges: Vec<PendingCharge>,
        out: &mut Outbox,
    ) {
        let ids = charges.iter().map(|charge| charge.id).collect();
        self.state.charges().take_over(now, charges);
        out.send(from, Message::ChargesAck(ids));
        self.tick_charges(now, out);
    }

    /// Removes charges that another process has taken over.
    pub(crate) fn handle_charges_ack(&self, ids: &[ChargeId]) {
        let mut charges = self.state.charges();
        for id in ids {
            charges.remove(*id);
        }
    }
}
