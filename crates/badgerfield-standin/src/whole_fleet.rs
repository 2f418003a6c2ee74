//! Measures a fleet of a thousand VMs and more: its start, and how long changes take to reach all
//! VMs.
//!
//! Each VM has a link of limited bandwidth. The time of the decisions is measured; that of
//! handshakes and system calls is not part of the simulation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use badgerfield_core::ids::TemplateVersion;

use crate::fleet::{Fleet, FleetConfig, Link};

/// The bandwidth of a VM's link, in bits per second.
const VM_LINK: f64 = 20e6;
/// The delay of a VM's link.
const VM_LATENCY: Duration = Duration::from_micros(500);
/// The longest time that is waited for an event to reach all VMs.
const MAX_WAIT: Duration = Duration::from_secs(40);
/// The step in which it is found out whether an event has reached all VMs.
const STEP: Duration = Duration::from_millis(50);

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// The number of VMs.
    pub vms: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The number of upstreams.
    pub upstreams: usize,
    /// The number of budgets.
    pub budgets: usize,
    /// The seed of the delays.
    pub seed: u64,
}

/// The number and the bytes of messages, by kind.
type Messages = BTreeMap<&'static str, (u64, u64)>;

/// Runs the measurements of one size and prints them.
pub fn print(size: FleetSize) {
    println!("{size:?}");
    let mut fleet = create(size);
    print_start(&mut fleet, size, "start of all");
    settle(&mut fleet, "10 s without requests");
    print_leaving(&mut fleet, "an upstream leaves");
    print_loss(&mut fleet, "one VM is lost", &[size.vms / 3]);
    let tenth: Vec<_> = (0..size.vms).filter(|vm| vm % 10 == 3).collect();
    print_loss(&mut fleet, "a tenth of the VMs is lost", &tenth);
    print_leaving(&mut fleet, "an upstream leaves, a tenth of the VMs dead");
    let domain: Vec<_> = (0..size.vms).filter(|vm| vm % size.domains == 1).collect();
    print_loss(&mut fleet, "a failure domain is lost", &domain);
    for vm in 0..size.vms {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    print_start(&mut fleet, size, "start after the loss of all");
}

/// Creates a fleet whose processes have not started.
#[must_use]
pub fn create(size: FleetSize) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig {
        regions: vec![size.vms],
        domains: size.domains,
        limits: vec![1_000_000; size.budgets],
        routes: size.budgets,
        seals: true,
        noise_permille: 0,
        seed: size.seed,
        ..FleetConfig::default()
    });
    for vm in 0..size.vms {
        fleet.full_links.insert(vm, Link::new(VM_LATENCY, VM_LINK));
    }
    fleet.listing.upstreams = size.upstreams;
    fleet.listing.writes_per_second = size.upstreams / 20;
    fleet.listing.lapses_per_second = size.upstreams / 50;
    fleet
}

/// Starts all processes and returns the time until 95 in 100 and until all are usable, with
/// templates and a list of upstreams; `None` if that takes too long.
pub fn start(fleet: &mut Fleet) -> (Option<Duration>, Option<Duration>) {
    for vm in 0..fleet.size() {
        fleet.start(vm);
    }
    let started = fleet.now;
    let all = fleet.size();
    let most = wait_until(fleet, |fleet| ready_count(fleet) * 100 >= all * 95);
    let rest = wait_until(fleet, |fleet| ready_count(fleet) == all);
    let elapsed = most.map(|_| fleet.now.since(started));
    (most, rest.and(elapsed))
}

/// Returns the number of VMs that are in the view, know all members, and have templates and
/// upstreams.
#[must_use]
pub fn ready_count(fleet: &Fleet) -> usize {
    let members = fleet.store.view().members.len();
    let is_ready = |vm: &usize| {
        let has_list = fleet.listing.upstreams == 0 || fleet.known_upstreams(*vm) > 0;
        fleet.node(*vm).is_some_and(|node| {
            node.template_version() > TemplateVersion(0)
                && node.member_count() == members
                && node.is_ready()
                && has_list
        })
    };
    (0..fleet.size()).filter(is_ready).count()
}

fn print_start(fleet: &mut Fleet, size: FleetSize, title: &str) {
    let before = Counts::of(fleet);
    let wall = Instant::now();
    let (most, all) = start(fleet);
    println!(
        "{title}: 95 in 100 ready after {}, all after {}; {} of {} upstreams listed, {} known",
        text(most),
        text(all),
        fleet.listing.len(),
        size.upstreams,
        fleet.known_upstreams(size.vms / 2)
    );
    Counts::of(fleet).print_since(&before, fleet.size(), wall.elapsed());
}

fn settle(fleet: &mut Fleet, title: &str) {
    fleet.advance_listing(Duration::from_secs(20));
    let before = Counts::of(fleet);
    let wall = Instant::now();
    fleet.advance_listing(Duration::from_secs(10));
    println!("{title}: {} upstreams listed", fleet.listing.len());
    Counts::of(fleet).print_since(&before, fleet.size(), wall.elapsed());
}

fn print_leaving(fleet: &mut Fleet, title: &str) {
    let Some((upstream, since)) = fleet.leave_one_upstream(0) else {
        println!("{title}: no upstream is used");
        return;
    };
    wait_until(fleet, |fleet| fleet.leaving_known(&upstream).iter().all(Option::is_some));
    let mut times: Vec<_> =
        fleet.leaving_known(&upstream).into_iter().flatten().map(|at| at.since(since)).collect();
    let running = (0..fleet.size()).filter(|vm| fleet.is_running(*vm)).count();
    times.sort_unstable();
    println!(
        "{title}: known at {} of {running} VMs, at half of them after {}, at the last after {}",
        times.len(),
        text(times.get(times.len() / 2).copied()),
        text(times.last().copied())
    );
}

fn print_loss(fleet: &mut Fleet, title: &str, lost: &[usize]) {
    let before = Counts::of(fleet);
    let wall = Instant::now();
    for vm in lost {
        fleet.kill(*vm);
    }
    let is_named = |fleet: &Fleet, vm: usize| {
        let named = fleet.directory_of(vm);
        lost.iter().any(|gone| named.contains(gone))
    };
    // Some VMs are asked: all have the same reports.
    let asked: Vec<_> = (0..fleet.size()).filter(|vm| fleet.is_running(*vm)).step_by(23).collect();
    let unnamed = wait_until(fleet, |fleet| asked.iter().all(|vm| !is_named(fleet, *vm)));
    println!("{title}: no directory names them after {}", text(unnamed));
    Counts::of(fleet).print_since(&before, fleet.size() - lost.len(), wall.elapsed());
}

/// Advances the fleet until a condition holds; returns how long that took.
fn wait_until(fleet: &mut Fleet, holds: impl Fn(&Fleet) -> bool) -> Option<Duration> {
    let start = fleet.now;
    while fleet.now.since(start) < MAX_WAIT {
        if holds(fleet) {
            return Some(fleet.now.since(start));
        }
        fleet.advance_listing(STEP);
    }
    None
}

fn text(span: Option<Duration>) -> String {
    span.map_or_else(|| "never".to_owned(), |span| format!("{} ms", span.as_millis()))
}

/// What a fleet has sent so far.
#[derive(Debug, Clone)]
struct Counts {
    messages: Messages,
    cross_domain: Messages,
    store_calls: u64,
    list_calls: u64,
}

impl Counts {
    fn of(fleet: &Fleet) -> Self {
        Self {
            messages: fleet.messages().clone(),
            cross_domain: fleet.cross_domain_messages().clone(),
            store_calls: fleet.store.reads + fleet.store.writes,
            list_calls: fleet.listing.calls,
        }
    }

    /// Prints what each VM has sent since, by kind.
    fn print_since(&self, before: &Self, vms: usize, wall: Duration) {
        println!(
            "  {} calls of the store, {} of the list; {:.1} ms of decisions a VM",
            self.store_calls - before.store_calls,
            self.list_calls - before.list_calls,
            wall.as_secs_f64() * 1e3 / to_f64(vms)
        );
        for (kind, now) in &self.messages {
            let then = before.messages.get(kind).copied().unwrap_or_default();
            let crossed = self.cross_domain.get(kind).copied().unwrap_or_default();
            let crossed_then = before.cross_domain.get(kind).copied().unwrap_or_default();
            if now.0 == then.0 {
                continue;
            }
            println!(
                "  {kind:<12} {:>9.1} messages {:>10.0} B {:>10.0} B to other domains, a VM",
                to_f64(now.0 - then.0) / to_f64(vms),
                to_f64(now.1 - then.1) / to_f64(vms),
                to_f64(crossed.1 - crossed_then.1) / to_f64(vms)
            );
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "values of printed tables")]
fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(0) as f64
}
