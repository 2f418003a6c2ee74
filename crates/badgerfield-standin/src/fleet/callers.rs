//! Callers, which send requests and record the answers.

use badgerfield_core::Event;
use badgerfield_core::event::Answer;
use badgerfield_core::ids::RequestId;

use super::{Asked, End, Fleet, Wish, arrival_of};

impl Fleet {
    /// Sends a request to a VM. It ends at once if the process of the VM does not run.
    pub fn ask(&mut self, vm: usize, wish: Wish) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let arrival = arrival_of(&wish);
        let (at, head_at, sent) = (self.now, None, None);
        let asked = Asked { wish, vm, at, head_at, sent, data: Vec::new(), end: None };
        self.asked.insert(id, asked);
        if self.vms[vm].node.is_none() {
            self.record_end(id, End::Lost);
            return id;
        }
        self.deliver(vm, Event::RequestArrived(id, Box::new(arrival)));
        id
    }

    /// Disconnects the caller of a request.
    pub fn hang_up(&mut self, id: RequestId) {
        let Some(vm) = self.asked.get(&id).map(|a| a.vm) else {
            return;
        };
        self.deliver(vm, Event::CallerDisconnected(id));
    }

    /// Removes requests that have ended, to save memory in long runs.
    pub fn forget_ended(&mut self) {
        self.asked.retain(|_, asked| asked.end.is_none());
    }

    pub(super) fn record_answer(&mut self, id: RequestId, answer: Answer) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else {
            return;
        };
        match answer {
            Answer::Head(_) => {
                asked.head_at.get_or_insert(now);
            }
            Answer::Data(data) => {
                let text = std::str::from_utf8(&data).ok().and_then(|t| t.parse().ok());
                asked.data.push(text.unwrap_or(u64::MAX));
            }
            Answer::End(cost) => self.record_end(id, End::Whole(cost)),
            Answer::Broken(refusal) => self.record_end(id, End::Broken(refusal)),
            Answer::Refused(refusal) => self.record_end(id, End::Refused(refusal)),
        }
    }

    pub(super) fn record_end(&mut self, id: RequestId, end: End) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else {
            return;
        };
        if asked.end.is_some() {
            self.faults.push(format!("{id:?} ended twice"));
            return;
        }
        self.truth.check_end(&asked.wish, &end, &asked.data, &mut self.faults);
        asked.end = Some((end, now));
    }
}
