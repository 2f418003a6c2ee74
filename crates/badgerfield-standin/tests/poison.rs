//! How word of requests under which upstreams end reaches every VM, and outlasts them.

use std::time::Duration;

use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Crash, Fingerprint};
use badgerfield_standin::fleet::{Fleet, Shape};

/// By when every VM must know: a caller whose answer broke off takes about as long to come back
/// over a new connection.
const AIM: Duration = Duration::from_millis(60);
const STEP: Duration = Duration::from_millis(5);

fn fleet(vms: usize, seed: u64) -> Fleet {
    noisy_fleet(vms, 0, seed)
}

fn noisy_fleet(vms: usize, noise: u64, seed: u64) -> Fleet {
    Fleet::started(Shape { regions: vec![vms], seals: true, noise, seed, ..Shape::default() })
}

fn account() -> Account {
    "account".parse().expect("the name is valid")
}

fn request(n: u32) -> Fingerprint {
    Fingerprint::new(Some(&account()), "POST", ("host", "/x"), &[], &n.to_be_bytes())
}

fn crash(request: Fingerprint, n: u32) -> Crash {
    let upstream: UpstreamId = format!("i-{n}").parse().expect("the name is valid");
    Crash::new(request, Some(&account()), &upstream, 0)
}

/// Lets time pass until so many VMs block a request; returns how long it took.
fn until(fleet: &mut Fleet, request: Fingerprint, count: usize, most: Duration) -> Duration {
    let mut took = Duration::ZERO;
    while fleet.blocked_at(request) != count {
        assert!(took < most, "{} of {count} after {took:?}", fleet.blocked_at(request));
        fleet.advance(STEP);
        took += STEP;
    }
    took
}

fn told(fleet: &Fleet) -> (u64, u64) {
    fleet.messages().get("crashes").copied().unwrap_or_default()
}

#[test]
fn every_vm_knows_before_a_caller_is_back() {
    for vms in [6, 87, 300] {
        let mut fleet = fleet(vms, 1);
        assert_eq!(told(&fleet), (0, 0), "nothing is said while no upstream ends");
        let request = request(1);
        // The second crash is seen by another VM, to which the caller came back.
        fleet.crash(1, crash(request, 1));
        fleet.advance(Duration::from_millis(100));
        fleet.crash(vms - 1, crash(request, 2));
        let took = until(&mut fleet, request, vms, AIM);
        let sent = told(&fleet);
        println!("{vms} VMs: known after {took:?}, {sent:?} messages, bytes");
        let vms = u64::try_from(vms).expect("few");
        assert!(sent.0 <= 3 * vms, "{sent:?} messages are more than one a VM for each crash");
    }
}

#[test]
fn a_vm_that_missed_the_news_hears_it_from_a_neighbour() {
    for seed in 0..5 {
        let mut fleet = noisy_fleet(48, 100, seed);
        let request = request(1);
        fleet.crash(1, crash(request, 1));
        fleet.advance(Duration::from_millis(100));
        fleet.crash(40, crash(request, 2));
        until(&mut fleet, request, 48, Duration::from_secs(3));
    }
}

#[test]
fn many_requests_at_one_crash_take_few_messages() {
    let vms = 87;
    let mut fleet = fleet(vms, 2);
    // A failure domain is lost: each VM has some requests there.
    for n in 0..560 {
        let vm = usize::try_from(n).expect("few") % vms;
        fleet.crash(vm, crash(request(n), n % 47));
    }
    fleet.advance(Duration::from_secs(2));
    let (messages, bytes) = told(&fleet);
    println!("{messages} messages, {bytes} bytes");
    let per_vm = bytes / u64::try_from(vms).expect("few");
    assert!(per_vm <= 60_000, "{per_vm} B a VM");
    let blocked: usize = (0..560).map(|n| fleet.blocked_at(request(n))).sum();
    assert_eq!(blocked, 0, "one crash blocks nobody");
}

#[test]
fn it_is_known_without_the_store_and_after_all_power_was_lost() {
    let vms = 24;
    let mut fleet = fleet(vms, 3);
    let first = request(1);
    fleet.crash(0, crash(first, 1));
    fleet.crash(0, crash(first, 2));
    until(&mut fleet, first, vms, AIM);
    fleet.advance(Duration::from_secs(1));
    for vm in 0..vms {
        fleet.kill(vm);
    }
    for vm in 0..vms {
        fleet.start(vm);
    }
    until(&mut fleet, first, vms, Duration::from_secs(2));
    // While the store is away the others tell one that starts, and write it down afterwards.
    fleet.advance(Duration::from_secs(4));
    fleet.platform.down = true;
    let second = request(2);
    fleet.crash(5, crash(second, 1));
    fleet.crash(6, crash(second, 2));
    until(&mut fleet, second, vms, AIM);
    fleet.advance(Duration::from_secs(6));
    fleet.platform.down = false;
    fleet.advance(Duration::from_secs(3));
    fleet.kill(7);
    fleet.start(7);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(fleet.blocked_at(second), vms);
    for vm in 0..vms {
        fleet.kill(vm);
    }
    for vm in 0..vms {
        fleet.start(vm);
    }
    until(&mut fleet, second, vms, Duration::from_secs(2));
    assert_eq!(fleet.blocked_at(first), vms);
}

#[test]
fn a_request_that_was_served_is_blocked_nowhere() {
    let vms = 24;
    let mut fleet = fleet(vms, 4);
    let request = request(1);
    fleet.crash(0, crash(request, 1));
    fleet.advance(Duration::from_millis(200));
    fleet.served_whole(3, request);
    fleet.advance(Duration::from_millis(200));
    fleet.crash(9, crash(request, 2));
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.blocked_at(request), 0);
    fleet.crash(4, crash(request, 3));
    until(&mut fleet, request, vms, AIM);
}
