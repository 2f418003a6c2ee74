//! Tests of the fair queue.

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::ids::{Account, RunId};
use badgerfield_core::queue::{Queue, QueuedRequest};

fn account(name: &str) -> Account {
    name.parse().expect("the name is valid")
}

fn push(queue: &mut Queue, name: &str, id: u64) {
    let deadline = Time::from_millis(1_000_000);
    queue.push(&account(name), QueuedRequest { run: RunId(id), deadline });
}

/// Serves the next request with 100 tokens and returns its account.
fn serve_next(queue: &mut Queue, priority: impl Fn(&str) -> u32) -> Option<String> {
    let (name, head) = queue.heads().into_iter().next()?;
    queue.remove(&name, head.run);
    queue.start_request(&name);
    queue.count_tokens(&name, priority(name.as_str()), Tokens(100));
    queue.finish_request(Time::default(), &name);
    Some(name.to_string())
}

/// Guards against an account whose many requests delay those of other accounts. In a queue ordered
/// by arrival, the small account would be served after 1000 other requests.
#[test]
fn many_requests_of_one_account_do_not_delay_another() {
    let mut queue = Queue::default();
    for id in 0..1000 {
        push(&mut queue, "flood", id);
    }
    for id in 1000..1010 {
        push(&mut queue, "small", id);
    }
    let served: Vec<_> = (0..20).filter_map(|_| serve_next(&mut queue, |_| 1)).collect();
    assert_eq!(served.iter().filter(|name| *name == "small").count(), 10);
}

/// Guards against service that does not follow priorities: at priority 3 against 1, an account gets
/// three quarters of the service.
#[test]
fn service_is_proportional_to_priority() {
    let mut queue = Queue::default();
    for id in 0..400 {
        push(&mut queue, if id % 2 == 0 { "gold" } else { "plain" }, id);
    }
    let priority = |name: &str| if name == "gold" { 3 } else { 1 };
    let served: Vec<_> = (0..200).filter_map(|_| serve_next(&mut queue, priority)).collect();
    let gold = served.iter().filter(|name| *name == "gold").count();
    assert_eq!(gold, 150);
}

/// Guards against an account that collects credit while it is idle and then delays all other
/// accounts.
#[test]
fn idle_account_gains_no_credit() {
    let mut queue = Queue::default();
    for id in 0..500 {
        push(&mut queue, "busy", id);
        serve_next(&mut queue, |_| 1);
    }
    for id in 500..600 {
        push(&mut queue, if id % 2 == 0 { "busy" } else { "late" }, id);
    }
    let served: Vec<_> = (0..20).filter_map(|_| serve_next(&mut queue, |_| 1)).collect();
    let late = served.iter().filter(|name| *name == "late").count();
    assert!((9..=11).contains(&late), "late was served {late} of 20");
}
