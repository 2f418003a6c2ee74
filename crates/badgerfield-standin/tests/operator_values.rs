//! Changes of operators' values, such as a key that is taken away, must be in force in time at all
//! VMs that are in touch, whichever VMs watch the store and whatever their links are like.

use std::time::Duration;

use badgerfield_core::ids::TemplateVersion;
use badgerfield_core::routing::Route;
use badgerfield_core::template::KeyDigest;
use badgerfield_standin::fleet::{Fleet, Link};

/// The number of upstreams in the platform's list.
const UPSTREAMS: usize = 140;
/// The time from the acknowledgement of a change until it must be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which the VMs are checked while a change is distributed.
const STEP: Duration = Duration::from_millis(10);

fn fleet(vms: usize, seed: u64, warm_up: Duration) -> Fleet {
    Fleet::started_with_listing(vms, UPSTREAMS, seed, warm_up)
}

/// Takes the keys of a budget away and returns the version of that change.
fn replace_key(fleet: &mut Fleet, secret: &str) -> TemplateVersion {
    let is_written = fleet.change_templates(|set| {
        if let Some(budget) = set.budgets.get_mut(&Fleet::budget(1)) {
            budget.keys = [KeyDigest::from_secret(secret)].into();
        }
    });
    assert!(is_written, "the store has refused a change");
    fleet.templates.version
}

/// Advances the time until the VMs have a version, or for 8 s. Returns how long half of them and
/// all of them needed.
fn wait_for(fleet: &mut Fleet, vms: &[usize], version: TemplateVersion) -> (Duration, Duration) {
    let (mut took, mut half) = (Duration::ZERO, None);
    while took < Duration::from_secs(8) {
        let is_done =
            |vm: &&usize| fleet.node(**vm).is_some_and(|node| node.template_version() >= version);
        let done = vms.iter().filter(is_done).count();
        if done * 2 >= vms.len() {
            half.get_or_insert(took);
        }
        if done == vms.len() {
            break;
        }
        fleet.advance_listing(STEP);
        took += STEP;
    }
    (half.unwrap_or(took), took)
}

/// Guards against a change that nobody reads because the VMs that watch and read operators' values
/// have lost the store, and others that took over their work confirm only the list of upstreams.
#[test]
fn changes_are_in_force_in_time_though_their_readers_lose_the_store() {
    let mut late = Vec::new();
    for seed in 1..=4 {
        let vms = 87;
        // The watches of the VMs that were the first to start have ended by then.
        let mut fleet = fleet(vms, seed, Duration::from_secs(28));
        // A quarter of the other VMs lose it too.
        let cut = fleet.operator_readers().into_iter().chain((0..vms).step_by(4));
        fleet.store.partitioned_vms = cut.collect();
        let in_touch: Vec<_> =
            (0..vms).filter(|vm| !fleet.store.partitioned_vms.contains(vm)).collect();
        for change in 0..4 {
            fleet.advance_listing(Duration::from_millis(300 + 250 * change));
            let version = replace_key(&mut fleet, &format!("secret {change}"));
            let took = wait_for(&mut fleet, &in_touch, version);
            println!("seed {seed}, change {change}: {took:?}");
            if took.1 > APPLY_TIMEOUT {
                late.push((seed, change, took));
            }
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against changes that need several round trips to a VM whose link makes messages wait, and
/// against a storm of changes that keeps such a VM from ever catching up.
#[test]
fn changes_are_in_force_in_time_behind_a_full_link() {
    const LINK_BITS_PER_SECOND: f64 = 10e6;
    let cases = [
        (60, 1, 1200, APPLY_TIMEOUT),
        (60, 2, 1200, APPLY_TIMEOUT),
        (60, 2, 200, Duration::from_millis(800)),
        (300, 1, 1200, APPLY_TIMEOUT),
    ];
    let mut late = Vec::new();
    for (vms, seed, wait_ms, timeout) in cases {
        let mut fleet = fleet(vms, seed, Duration::from_secs(8));
        for vm in (3..vms).step_by(10) {
            fleet.kill(vm);
        }
        let link = Link::new(Duration::from_millis(wait_ms), LINK_BITS_PER_SECOND);
        fleet.advance_listing(Duration::from_secs(6));
        // A VM that reads the values itself need not hear of them.
        let readers = fleet.operator_readers();
        let mut others = (0..vms).filter(|vm| vm % 10 != 3 && !readers.contains(vm));
        let busy = others.next().expect("most VMs do not read the values");
        fleet.full_links.insert(busy, link);
        fleet.advance_listing(Duration::from_secs(3));
        for change in 0..16 {
            replace_key(&mut fleet, &format!("secret {change}"));
            fleet.advance_listing(Duration::from_millis(300));
        }
        let version = replace_key(&mut fleet, "the last secret");
        let (_, storm) = wait_for(&mut fleet, &[busy], version);
        fleet.advance_listing(Duration::from_secs(4));
        let version = replace_key(&mut fleet, "another secret");
        let (_, single) = wait_for(&mut fleet, &[busy], version);
        println!("{vms} VMs, seed {seed}, {wait_ms} ms: storm {storm:?}, single {single:?}");
        if storm.max(single) > timeout {
            late.push((vms, seed, wait_ms, storm, single));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against a VM that misses changes because its own messages wait: it cannot fetch them, and
/// as it seems silent to others, broadcasts must not leave it out.
#[test]
fn changes_reach_vms_that_seem_silent() {
    let mut late = Vec::new();
    for (vms, seed) in [(60, 1), (60, 2), (200, 1)] {
        // The watches of the VMs that were the first to start have ended by then.
        let mut fleet = fleet(vms, seed, Duration::from_secs(28));
        let readers = fleet.operator_readers();
        let mute: Vec<_> = (0..vms).filter(|vm| !readers.contains(vm)).step_by(9).collect();
        let paths = mute.iter().flat_map(|vm| (0..vms).map(move |other| (*vm, other)));
        fleet.lost_paths = paths.collect();
        for change in 0..4 {
            fleet.advance_listing(Duration::from_secs(3));
            let version = replace_key(&mut fleet, &format!("secret {change}"));
            let (_, took) = wait_for(&mut fleet, &mute, version);
            println!("{vms} VMs, seed {seed}, change {change}: {took:?}");
            if took > Duration::from_millis(800) {
                late.push((vms, seed, change, took));
            }
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against an evacuation that nobody reads because the VMs that watch and read operators'
/// values have lost the store.
#[test]
fn evacuations_are_in_force_in_time_though_their_readers_lose_the_store() {
    for seed in 1..=3 {
        let vms = 87;
        // The watches of the VMs that were the first to start have ended by then.
        let mut fleet = fleet(vms, seed, Duration::from_secs(28));
        let cut = fleet.operator_readers().into_iter().chain((0..vms).step_by(4));
        fleet.store.partitioned_vms = cut.collect();
        fleet.advance_listing(Duration::from_millis(300));
        let domain = "d-1".parse().expect("the name is valid");
        assert!(fleet.evacuate(&domain, true));
        let mut took = Duration::ZERO;
        while fleet.evacuated_count(&domain) < vms && took < Duration::from_secs(8) {
            fleet.advance_listing(STEP);
            took += STEP;
        }
        println!("seed {seed}: {took:?}");
        assert!(took <= APPLY_TIMEOUT, "seed {seed}: in force after {took:?}");
    }
}

/// Guards against watches that have stalled without notice, as over a connection that went silent,
/// while the VMs that read the values each second have ended.
#[test]
fn changes_are_in_force_in_time_though_watches_stall() {
    for seed in 1..=3 {
        let vms = 87;
        let mut fleet = fleet(vms, seed, Duration::from_secs(28));
        for vm in fleet.regular_readers() {
            fleet.kill(vm);
        }
        fleet.store.watches_stalled = true;
        fleet.advance_listing(Duration::from_millis(300));
        let running: Vec<_> = (0..vms).filter(|vm| fleet.is_running(*vm)).collect();
        for change in 0..4 {
            let version = replace_key(&mut fleet, &format!("secret {change}"));
            let (_, took) = wait_for(&mut fleet, &running, version);
            println!("seed {seed}, change {change}: {took:?}, {} of {vms} VMs", running.len());
            assert!(took <= APPLY_TIMEOUT, "seed {seed}: in force after {took:?}");
        }
    }
}

/// Guards against a large change that is sent several times to each VM, because it is fetched again
/// while the reply is still on its way, and that therefore takes several times as long.
#[test]
fn large_change_is_sent_to_each_vm_about_once() {
    for (vms, seed) in [(60, 1), (60, 2), (120, 1)] {
        let mut fleet = fleet(vms, seed, Duration::from_secs(8));
        for vm in 0..vms {
            fleet.full_links.insert(vm, Link::new(Duration::from_millis(1), 10e6));
        }
        fleet.advance_listing(Duration::from_secs(2));
        let sent = |fleet: &Fleet| fleet.messages().get("templates").map_or(0, |sent| sent.0);
        let before = sent(&fleet);
        let is_written = fleet.change_templates(|set| {
            let route = set.routing.routes[0].clone();
            let new = (0..2800).map(|n| {
                let name = format!("new-{n}");
                Route { host: format!("{name}.example"), name, ..route.clone() }
            });
            set.routing.routes.extend(new);
        });
        assert!(is_written, "the store has refused a change");
        let version = fleet.templates.version;
        let all: Vec<_> = (0..vms).collect();
        let (half, took) = wait_for(&mut fleet, &all, version);
        fleet.advance_listing(Duration::from_secs(2));
        let copies = sent(&fleet) - before;
        println!("{vms} VMs, seed {seed}: half {half:?}, all {took:?}, {copies} copies");
        assert!(took <= APPLY_TIMEOUT, "{vms} VMs, seed {seed}: in force after {took:?}");
        let most = u64::try_from(vms * 6 / 5).expect("few VMs");
        assert!(copies <= most, "{vms} VMs, seed {seed}: {copies} copies");
    }
}
