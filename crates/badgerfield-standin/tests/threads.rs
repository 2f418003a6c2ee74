//! Events that several threads of one process hand over at the same moment.
//!
//! A process of a busy machine sent one repeatable chat to its engines three times, twice to one
//! and once to the other, and billed it once: `served 809, bills .. 798`, the bill of the chat with
//! 3 + 8 tokens. Whoever hands over an event takes waiting requests from the queue afterwards. Two
//! threads that did so at once both looked at the same first request; each then took it out,
//! one of them in vain, and both sent it. With four threads here, 1,545 requests were sent 3,541
//! times. Where a machine has more threads than cores, one is stopped between the look and
//! the taking, so that it was seen under load only.

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

fn arrival() -> IncomingRequest {
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

fn wish() -> Wish {
    Wish { budget: 0, key: None, once: false, service: false, prompt: 3, output: 8 }
}

/// Hands over arrivals from several threads at once; returns how often each run was sent.
fn send_from_threads(node: &Node, now: Time) -> BTreeMap<RunId, usize> {
    let barrier = Barrier::new(usize::try_from(THREADS).expect("few"));
    let ask = |thread: u64| {
        let mut sent = Vec::new();
        for n in 0..REQUESTS {
            if n % 20 == 0 {
                barrier.wait();
            }
            let id = RequestId(1_000_000 + thread * REQUESTS + n);
            for order in node.handle(now, Event::RequestArrived(id, Box::new(arrival()))) {
                if let Command::Dispatch(_, Dispatch { run, .. }) = order {
                    sent.push(run);
                }
            }
        }
        sent
    };
    let mut counts = BTreeMap::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || ask(thread))).collect();
        for thread in threads {
            for run in thread.join().expect("no thread panics") {
                *counts.entry(run).or_default() += 1;
            }
        }
    });
    counts
}

#[test]
fn a_request_is_sent_once_though_many_threads_look_at_the_queue() {
    let mut fleet = Fleet::started(Shape { engines: 64, noise: 0, ..Shape::default() });
    // Demand, so that the process holds tokens.
    for _ in 0..200 {
        fleet.ask(0, Wish { prompt: 900, output: 100, ..wish() });
        fleet.advance(Duration::from_millis(20));
    }
    fleet.advance(Duration::from_secs(5));
    let now = Time(fleet.now.since(Time::from_millis(1000)));
    let node = fleet.node(0).expect("it runs");
    let sent = send_from_threads(node, now);
    assert!(sent.len() > 500, "only {} were sent", sent.len());
    let total: usize = sent.values().sum();
    assert_eq!(total, sent.len(), "some of {} runs were sent more than once", sent.len());
}
