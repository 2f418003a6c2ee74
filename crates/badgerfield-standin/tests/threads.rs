//! Events that several threads of one process pass to a node at the same time.
//!
//! A process on a busy machine sent one idempotent chat to its engines three times, twice to one
//! and once to the other, and billed it once: `served 809, bills .. 798`; the bill of the chat was
//! 3 + 8 tokens. Each thread that passes an event to the node dispatches queued requests
//! afterwards. Two threads read the same first request of the queue. Both then removed it, one of
//! them without effect, and both sent it. With four threads in this test, 1,545 requests were sent
//! 3,541 times. The fault occurred only under load: if a machine has more threads than cores, a
//! thread may be preempted between the read and the removal.

use std::collections::BTreeMap;
use std::sync::Barrier;
use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::{Chat, Dispatch, IncomingRequest, Work};
use badgerfield_core::ids::{RequestId, RunId};
use badgerfield_core::{Command, Event, Node};
use badgerfield_standin::fleet::{Fleet, Shape, Wish, secret};

const THREADS: u64 = 4;
const REQUESTS: u64 = 400;

fn incoming_request() -> IncomingRequest {
    let chat = Chat {
        model: "m".parse().expect("the name is valid"),
        adapter: None,
        prompt_tokens: Tokens(3),
        output_limit: Some(Tokens(8)),
        prefix_digests: Vec::new(),
    };
    let work = Work::Chat(chat);
    IncomingRequest {
        secret_digest: secret(0),
        key: None,
        at_most_once: false,
        work,
        max_wait: None,
    }
}

fn request() -> Wish {
    Wish { budget: 0, key: None, once: false, service: false, prompt: 3, output: 8 }
}

/// Passes requests to a node from several threads at once. Returns how often each run was sent.
fn send_from_threads(node: &Node, now: Time) -> BTreeMap<RunId, usize> {
    let barrier = Barrier::new(usize::try_from(THREADS).expect("few threads"));
    let send_requests = |thread: u64| {
        let mut sent = Vec::new();
        for n in 0..REQUESTS {
            if n % 20 == 0 {
                barrier.wait();
            }
            let id = RequestId(1_000_000 + thread * REQUESTS + n);
            for command in node.handle(now, Event::RequestArrived(id, Box::new(incoming_request())))
            {
                if let Command::Dispatch(_, Dispatch { run, .. }) = command {
                    sent.push(run);
                }
            }
        }
        sent
    };
    let mut counts = BTreeMap::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || send_requests(thread))).collect();
        for thread in threads {
            for run in thread.join().expect("no thread panics") {
                *counts.entry(run).or_default() += 1;
            }
        }
    });
    counts
}

/// Guards against threads that dispatch the same queued request.
#[test]
fn queued_request_is_sent_once_by_concurrent_threads() {
    let mut fleet = Fleet::started(Shape { engines: 64, noise: 0, ..Shape::default() });
    // Demand makes the process hold tokens.
    for _ in 0..200 {
        fleet.ask(0, Wish { prompt: 900, output: 100, ..request() });
        fleet.advance(Duration::from_millis(20));
    }
    fleet.advance(Duration::from_secs(5));
    let now = Time(fleet.now.since(Time::from_millis(1000)));
    let node = fleet.node(0).expect("the VM runs");
    let sent = send_from_threads(node, now);
    assert!(sent.len() > 500, "only {} were sent", sent.len());
    let total: usize = sent.values().sum();
    assert_eq!(total, sent.len(), "some of {} runs were sent more than once", sent.len());
}
