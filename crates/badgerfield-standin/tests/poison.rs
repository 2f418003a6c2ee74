//! Crashes of upstreams under poison requests: updates must reach all VMs, and blocked requests
//! must stay blocked when processes restart.

use std::time::Duration;

use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Crash, Fingerprint};
use badgerfield_standin::fleet::{Fleet, Shape};

/// The time within which all VMs must block a request. A caller whose answer broke off takes about
/// as long to retry over a new connection.
const BLOCK_TIMEOUT: Duration = Duration::from_millis(60);
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

/// Advances the time until `count` VMs block a request. Returns how long that took.
fn wait_until_blocked(
    fleet: &mut Fleet,
    request: Fingerprint,
    count: usize,
    timeout: Duration,
) -> Duration {
    let mut took = Duration::ZERO;
    while fleet.blocking_vm_count(request) != count {
        assert!(took < timeout, "{} of {count} after {took:?}", fleet.blocking_vm_count(request));
        fleet.advance(STEP);
        took += STEP;
    }
    took
}

fn update_counts(fleet: &Fleet) -> (u64, u64) {
    fleet.messages().get("crashes").copied().unwrap_or_default()
}

/// If a VM did not receive the update in time, it would send the retry of a poison request to
/// another upstream.
#[test]
fn all_vms_block_a_poison_request_before_its_caller_retries() {
    for vms in [6, 87, 300] {
        let mut fleet = fleet(vms, 1);
        assert_eq!(update_counts(&fleet), (0, 0), "updates were sent without a crash");
        let request = request(1);
        // The caller retries at another VM, which sees the second crash.
        fleet.report_crash(1, crash(request, 1));
        fleet.advance(Duration::from_millis(100));
        fleet.report_crash(vms - 1, crash(request, 2));
        let took = wait_until_blocked(&mut fleet, request, vms, BLOCK_TIMEOUT);
        let sent = update_counts(&fleet);
        println!("{vms} VMs: blocked after {took:?}, {sent:?} messages, bytes");
        let vms = u64::try_from(vms).expect("few VMs");
        assert!(sent.0 <= 3 * vms, "{sent:?} messages for two crashes");
    }
}

/// Updates may be lost. A VM that has missed one must receive it when neighbors compare digests.
#[test]
fn vms_that_missed_an_update_receive_it_from_neighbors() {
    for seed in 0..5 {
        let mut fleet = noisy_fleet(48, 100, seed);
        let request = request(1);
        fleet.report_crash(1, crash(request, 1));
        fleet.advance(Duration::from_millis(100));
        fleet.report_crash(40, crash(request, 2));
        wait_until_blocked(&mut fleet, request, 48, Duration::from_secs(3));
    }
}

/// When a failure domain is lost, hundreds of requests break off at once. Their updates must not
/// cause much traffic, and requests with one crash must not be blocked.
#[test]
fn updates_of_many_requests_need_few_bytes() {
    let vms = 87;
    let mut fleet = fleet(vms, 2);
    // A failure domain is lost, where each VM has some requests.
    for n in 0..560 {
        let vm = usize::try_from(n).expect("few") % vms;
        fleet.report_crash(vm, crash(request(n), n % 47));
    }
    fleet.advance(Duration::from_secs(2));
    let (messages, bytes) = update_counts(&fleet);
    println!("{messages} messages, {bytes} bytes");
    let per_vm = bytes / u64::try_from(vms).expect("few");
    assert!(per_vm <= 60_000, "{per_vm} bytes per VM");
    let blocked: usize = (0..560).map(|n| fleet.blocking_vm_count(request(n))).sum();
    assert_eq!(blocked, 0, "requests are blocked after one crash");
}

/// Blocked requests are recorded in the store. They must stay blocked after all processes have
/// restarted, and requests that are blocked during an outage must be recorded afterwards.
#[test]
fn blocked_requests_survive_outages_and_restarts() {
    let vms = 24;
    let mut fleet = fleet(vms, 3);
    let first = request(1);
    fleet.report_crash(0, crash(first, 1));
    fleet.report_crash(0, crash(first, 2));
    wait_until_blocked(&mut fleet, first, vms, BLOCK_TIMEOUT);
    fleet.advance(Duration::from_secs(1));
    for vm in 0..vms {
        fleet.kill(vm);
    }
    for vm in 0..vms {
        fleet.start(vm);
    }
    wait_until_blocked(&mut fleet, first, vms, Duration::from_secs(2));
    // A request that is blocked during an outage is written to the store afterwards, and peers send
    // it to a process that starts.
    fleet.advance(Duration::from_secs(4));
    fleet.platform.down = true;
    let second = request(2);
    fleet.report_crash(5, crash(second, 1));
    fleet.report_crash(6, crash(second, 2));
    wait_until_blocked(&mut fleet, second, vms, BLOCK_TIMEOUT);
    fleet.advance(Duration::from_secs(6));
    fleet.platform.down = false;
    fleet.advance(Duration::from_secs(3));
    fleet.kill(7);
    fleet.start(7);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(fleet.blocking_vm_count(second), vms);
    for vm in 0..vms {
        fleet.kill(vm);
    }
    for vm in 0..vms {
        fleet.start(vm);
    }
    wait_until_blocked(&mut fleet, second, vms, Duration::from_secs(2));
    assert_eq!(fleet.blocking_vm_count(first), vms);
}

/// A request that an upstream has served completely did not cause the crash before. Only crashes
/// after the complete answer count.
#[test]
fn request_that_was_served_is_not_blocked() {
    let vms = 24;
    let mut fleet = fleet(vms, 4);
    let request = request(1);
    fleet.report_crash(0, crash(request, 1));
    fleet.advance(Duration::from_millis(200));
    fleet.report_suspect_served(3, request);
    fleet.advance(Duration::from_millis(200));
    fleet.report_crash(9, crash(request, 2));
    fleet.advance(Duration::from_secs(2));
    assert_eq!(fleet.blocking_vm_count(request), 0);
    fleet.report_crash(4, crash(request, 3));
    wait_until_blocked(&mut fleet, request, vms, BLOCK_TIMEOUT);
}
