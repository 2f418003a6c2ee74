//! Executes the commands that the core returns.

use std::sync::Arc;

use badgerfield_core::event::{Answer, Bill, Dispatch};
use badgerfield_core::ids::{AttemptId, RequestId};
use badgerfield_core::message::Envelope;
use badgerfield_core::refusal::Refusal;
use badgerfield_core::request_mix::{EngineDemand, EngineDivision};
use badgerfield_core::{Command, Event};

use super::{Driver, UpdateSource};
use crate::logs::{BILLS, NODE, REQUESTS};
use crate::store_calls::CallKind;
use crate::sync::lock;

impl Driver {
    pub(crate) fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::Send(to, message) => {
                let Some(address) = self.node.peer_address(to) else {
                    return;
                };
                let from = self.node.id();
                self.metrics.peer_traffic.count(&message);
                let envelope = Envelope {
                    from,
                    sender_address: self.settings.advertised_address,
                    to,
                    message,
                };
                self.peers.send(address, envelope);
            }
            Command::CallStore(id, call) => {
                let driver = Arc::clone(self);
                self.metrics.store_calls.count(CallKind::of(&call));
                tokio::spawn(async move {
                    let result = driver.store.call(&call).await;
                    driver.metrics.count_store_result(&result);
                    driver.handle_event(Event::StoreReply(id, result));
                });
            }
            Command::Dispatch(attempt, dispatch) => self.dispatch(attempt, dispatch),
            Command::Cancel(attempt) => self.upstream_client.cancel(attempt),
            Command::Answer(id, index, answer) => {
                if let Answer::Refused(refusal) | Answer::Broken(refusal) = &answer {
                    self.metrics.count_refusal(refusal);
                    log_refusal(id, refusal);
                }
                if let Some(request) = lock(&self.requests).get(&id) {
                    // Sending fails if the caller has disconnected; `close_request` reports that.
                    let _ = request.answers.send((index, answer));
                }
            }
            Command::AnswerReserve(id, result) => {
                let unclaimed = lock(&self.reservations).answer(id, result);
                if let Some(end) = unclaimed {
                    self.handle_event(Event::ReservationEnded(end));
                }
            }
            Command::ApplyUpstreamChanges(from, update) => self.apply_peer_update(from, update),
            Command::ApplyUpstreamList(from, list) => {
                self.apply_upstream_list(list, UpdateSource::Peer(from));
            }
            Command::ConfirmUpstreamList(revision) => {
                if let Some(gateway) = &self.gateway {
                    gateway.upstreams().confirm_revision(self.now(), revision);
                }
            }
            Command::DivideEngines(demand) => self.divide_engines(&demand),
            Command::ApplyDelayReports(reports) => {
                if let Some(gateway) = &self.gateway {
                    gateway.upstreams().apply_delay_reports(self.now(), &reports);
                }
            }
            Command::ApplyLimitReports(from, reports) => self.apply_limit_reports(from, &reports),
            Command::ApplyBrittleReports(from, reports) => {
                self.apply_brittle_reports(from, &reports);
            }
            Command::ApplyEvacuations(from, changes) => self.apply_evacuations(from, &changes),
            Command::ApplyRolloutRules(rules) => self.apply_rollout_rules(rules),
            Command::SendUpstreamList(to, since) => self.send_upstream_list(to, since),
            Command::ApplyVersions(known_at, open) => {
                self.apply_versions(known_at, &open.versions, "store");
                self.apply_open_versions(open);
            }
            Command::BlockRequests(requests) => {
                if let Some(gateway) = &self.gateway {
                    gateway.notify_blocked(requests.len());
                }
            }
            Command::Bill(bill) => self.log_bill(&bill),
            Command::Log(entry) => self.handle_log_entry(&entry),
            Command::StopStarted(reason) => self.apply_stop(reason),
            Command::Exit => self.apply_handover(),
        }
    }

    /// Divides the engines between long and short prompts.
    fn divide_engines(&self, demand: &[EngineDemand]) {
        let Some(gateway) = &self.gateway else {
            return;
        };
        let changed = gateway.upstreams().divide_engines(demand);
        for (service, EngineDivision { long_threshold, short_share }) in changed {
            log::info!(
                target: NODE,
                "engines divided service={service} short_share={short_share:.2} \
                 long_from={long_threshold:.0}"
            );
        }
    }

    fn dispatch(self: &Arc<Self>, attempt: AttemptId, dispatch: Dispatch) {
        let outgoing = dispatch.request.and_then(|id| {
            let requests = lock(&self.requests);
            requests.get(&id).map(|request| Arc::clone(&request.outgoing))
        });
        let address = self.node.upstream_address(&dispatch.upstream);
        let driver = Arc::clone(self);
        self.upstream_client.dispatch(driver, attempt, dispatch, address, outgoing);
    }

    fn log_bill(&self, bill: &Bill) {
        let key = bill.key.map_or_else(|| "-".to_owned(), |key| key.to_string());
        let result = if bill.billed { "billed" } else { "not billed, another VM bills the key" };
        let (budget, cost, stream) = (&bill.budget, bill.cost, &bill.stream);
        log::info!(target: BILLS, "{budget} key {key} stream {stream} cost {cost}: {result}");
        self.metrics.count_bill(bill);
    }
}

/// Logs that a request to the caller API ended with a refusal instead of its answer.
fn log_refusal(id: RequestId, refusal: &Refusal) {
    let (cause, outcome) = (refusal.cause.code(), refusal.outcome.as_str());
    let retry_after =
        refusal.retry_after.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string());
    log::info!(target: REQUESTS, "refused request={} outcome={cause} run={outcome} come_back_ms={retry_after}", id.0);
}
