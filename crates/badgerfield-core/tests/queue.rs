//! The fair queue against one that serves in the order of arrival.

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::ids::{Account, RunId};
use badgerfield_core::queue::{Queue, QueuedRequest};

fn account(name: &str) -> Account {
    name.parse().expect("the name is valid")
}

fn push(queue: &mut Queue, name: &str, id: u64) {
    let until = Time::from_millis(1_000_000);
    queue.push(&account(name), QueuedRequest { run: RunId(id), deadline: until });
}

/// Serves one request of 100 tokens; returns whose it was.
fn serve(queue: &mut Queue, priority: impl Fn(&str) -> u32) -> Option<String> {
    let (name, waiting) = queue.heads().into_iter().next()?;
    queue.remove(&name, waiting.run);
    queue.start_request(&name);
    queue.count_tokens(&name, priority(name.as_str()), Tokens(100));
    queue.finish_request(Time::default(), &name);
    Some(name.to_string())
}

#[test]
fn flood_does_not_hold_up_another_account() {
    let mut queue = Queue::default();
    for id in 0..1000 {
        push(&mut queue, "flood", id);
    }
    for id in 1000..1010 {
        push(&mut queue, "small", id);
    }
    let served: Vec<_> = (0..20).filter_map(|_| serve(&mut queue, |_| 1)).collect();
    // In the order of arrival, the small account would come after a thousand others.
    assert_eq!(served.iter().filter(|name| *name == "small").count(), 10);
}

#[test]
fn priority_divides_the_service() {
    let mut queue = Queue::default();
    for id in 0..400 {
        push(&mut queue, if id % 2 == 0 { "gold" } else { "plain" }, id);
    }
    let priority = |name: &str| if name == "gold" { 3 } else { 1 };
    let served: Vec<_> = (0..200).filter_map(|_| serve(&mut queue, priority)).collect();
    let gold = served.iter().filter(|name| *name == "gold").count();
    assert_eq!(gold, 150);
}

#[test]
fn idle_account_gets_no_hoard() {
    let mut queue = Queue::default();
    for id in 0..500 {
        push(&mut queue, "busy", id);
        serve(&mut queue, |_| 1);
    }
    for id in 500..600 {
        push(&mut queue, if id % 2 == 0 { "busy" } else { "late" }, id);
    }
    let served: Vec<_> = (0..20).filter_map(|_| serve(&mut queue, |_| 1)).collect();
    let late = served.iter().filter(|name| *name == "late").count();
    assert!((9..=11).contains(&late), "late was served {late} of 20");
}
