//! Callers, which send requests and record the answers.

use badgerfield_core::Event;
use badgerfield_core::event::Answer;
use badgerfield_core::ids::RequestId;

use super::{CallerRequest, End, Fleet, RequestSpec, incoming_request};

impl Fleet {
    /// Sends a request to a VM. It ends at once if the process of the VM does not run.
    pub fn send_request(&mut self, vm: usize, spec: RequestSpec) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let arrival = incoming_request(&spec);
        let (at, head_at, sent) = (self.now, None, None);
        let request = CallerRequest {
            spec,
            vm,
            sent_at: at,
            head_at,
            dispatched_at: sent,
            data: Vec::new(),
            end: None,
        };
        self.requests.insert(id, request);
        if self.vms[vm].node.is_none() {
            self.record_end(id, End::Lost);
            return id;
        }
        self.deliver(vm, Event::RequestArrived(id, Box::new(arrival)));
        id
    }

    /// Disconnects the caller of a request.
    pub fn disconnect_caller(&mut self, id: RequestId) {
        let Some(vm) = self.requests.get(&id).map(|request| request.vm) else {
            return;
        };
        self.deliver(vm, Event::CallerDisconnected(id));
    }

    /// Removes requests that have ended, to save memory in long runs.
    pub fn remove_ended(&mut self) {
        self.requests.retain(|_, request| request.end.is_none());
    }

    pub(super) fn record_answer(&mut self, id: RequestId, answer: Answer) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        match answer {
            Answer::Head(_) => {
                request.head_at.get_or_insert(now);
            }
            Answer::Data(data) => {
                let text = std::str::from_utf8(&data).ok().and_then(|t| t.parse().ok());
                request.data.push(text.unwrap_or(u64::MAX));
            }
            Answer::End(cost) => self.record_end(id, End::Complete(cost)),
            Answer::Broken(refusal) => self.record_end(id, End::Broken(refusal)),
            Answer::Refused(refusal) => self.record_end(id, End::Refused(refusal)),
        }
    }

    pub(super) fn record_end(&mut self, id: RequestId, end: End) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.end.is_some() {
            self.violations.push(format!("{id:?} ended twice"));
            return;
        }
        self.truth.check_end(&request.spec, &end, &request.data, &mut self.violations);
        request.end = Some((end, now));
    }
}
