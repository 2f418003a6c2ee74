//! Streams are resumed at the version that began them, or refused, after all processes of a fleet
//! were killed. Their records are left in the store only.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::VersionTag;
use badgerfield_core::stream_origins::{StreamKey, StreamOrigin, max_lifetime};
use badgerfield_core::stream_segments::{SHARDS, StreamShard};
use badgerfield_standin::fleet::{Fleet, FleetConfig, SegmentFaults, service, version};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The timeout of the streams' route.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The time between two moments at which streams begin.
const STEP: Duration = Duration::from_millis(20);
/// The streams that begin at each VM in 100 s.
const STREAMS_PER_100_S: u64 = 300;
/// The time within which a record is in the store: it arrives at its writer, waits for the writer's
/// last write to be 250 ms ago and for a tick, and is written.
const WRITE_TIME: Duration = Duration::from_millis(350);
/// The maximum number of new writes a second: four of each shard's writer.
const MAX_WRITES_PER_SECOND: u64 = SHARDS as u64 * 4;
/// The maximum number of expired segments that a process leaves in the store.
const MAX_LEFT: usize = 15;

/// A stream that has begun.
#[derive(Debug, Clone, Copy)]
struct Begun {
    key: StreamKey,
    version: VersionTag,
    at: Time,
}

/// How many streams were looked up, and with what result.
#[derive(Debug, Clone, Copy, Default)]
struct Found {
    all: usize,
    same: usize,
    other: usize,
    /// Streams that were not found though they had begun at least [`WRITE_TIME`] before the next
    /// loss.
    old_missing: usize,
}

impl Found {
    fn add(&mut self, found: Self) {
        self.all += found.all;
        self.same += found.same;
        self.other += found.other;
        self.old_missing += found.old_missing;
    }

    /// Checks that no stream is found at another version, and that at least half are found.
    fn assert_half(self, case: &str) {
        println!("{case}: {self:?}");
        assert!(self.all > 0, "{case}: no streams");
        assert_eq!(self.other, 0, "{case}: {self:?}");
        assert!(self.same * 2 >= self.all, "{case}: {self:?}");
    }
}

/// A fleet whose VMs begin streams.
struct StreamFleet {
    fleet: Fleet,
    begun: Vec<Begun>,
    /// When VMs were killed.
    losses: Vec<Time>,
    versions: Vec<VersionTag>,
    /// Whether records need copies.
    copied: bool,
    /// The streams that are due, in parts of one.
    due: u64,
    next: u64,
    rng: ChaCha8Rng,
}

impl StreamFleet {
    fn new(vms: usize, noise_permille: u64, seed: u64) -> Self {
        let config = FleetConfig {
            regions: vec![vms],
            domains: 3,
            seals: true,
            unordered_incarnations: true,
            noise_permille,
            seed,
            ..FleetConfig::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names = ["v1", "v2", "v3"].map(version);
        let tags = names.iter().map(|name| VersionTag::new(&service(), Some(name)));
        let versions = tags.take(rng.random_range(2..=3)).collect();
        let fleet = Fleet::started(config);
        Self {
            fleet,
            begun: Vec::new(),
            losses: Vec::new(),
            versions,
            copied: true,
            due: 0,
            next: 0,
            rng,
        }
    }

    /// Lets streams begin at random VMs for a span.
    fn run(&mut self, span: Duration) {
        let until = self.fleet.now.after(span);
        while self.fleet.now < until {
            let usable = self.fleet.usable_vms();
            let vms = u64::try_from(usable.len()).expect("few VMs");
            self.due += vms * STREAMS_PER_100_S;
            // There are 5000 steps in 100 s.
            for _ in 0..self.due / 5000 {
                self.begin(&usable);
            }
            self.due %= 5000;
            self.fleet.advance(STEP);
        }
    }

    fn begin(&mut self, usable: &[usize]) {
        let vm = *usable.choose(&mut self.rng).expect("a usable VM");
        let version = *self.versions.choose(&mut self.rng).expect("a version");
        self.next += 1;
        let key = StreamKey::new(None, &format!("stream-{}", self.next));
        let origin = StreamOrigin::new(key, version, TIMEOUT);
        self.fleet.begin_stream(vm, origin, self.copied);
        self.begun.push(Begun { key, version, at: self.fleet.now });
    }

    fn random_ms(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..until))
    }

    /// Kills VMs at the same moment, and starts them again a little later.
    fn kill(&mut self, vms: &[usize]) {
        self.losses.push(self.fleet.now);
        for vm in vms {
            self.fleet.kill(*vm);
        }
        let away = self.random_ms(200, 1000);
        self.fleet.advance(away);
        for vm in vms {
            self.fleet.start(*vm);
        }
    }

    fn kill_all(&mut self) {
        let running: Vec<_> =
            (0..self.fleet.size()).filter(|vm| self.fleet.is_running(*vm)).collect();
        self.kill(&running);
    }

    /// Waits until some VMs take requests.
    fn wait_until_usable(&mut self) {
        for _ in 0..500 {
            if !self.fleet.usable_vms().is_empty() {
                return;
            }
            self.fleet.advance(STEP);
        }
        panic!("no VM is usable 10 s after the start");
    }

    /// Looks up the streams that had begun before the last loss and can still be resumed.
    fn find_all(&mut self) -> Found {
        self.find(|_| true)
    }

    /// Looks up some of these streams.
    fn find(&mut self, is_chosen: impl Fn(&Begun) -> bool) -> Found {
        let usable = self.fleet.usable_vms();
        let now = self.fleet.now;
        let mut found = Found::default();
        for stream in self.begun.clone() {
            let Some(lost_at) = self.losses.iter().find(|lost| stream.at < **lost).copied() else {
                continue;
            };
            if now.since(stream.at) >= max_lifetime(TIMEOUT) || !is_chosen(&stream) {
                continue;
            }
            let vm = *usable.choose(&mut self.rng).expect("a usable VM");
            found.all += 1;
            match self.fleet.find_stream(vm, stream.key) {
                Some(version) if version == stream.version => found.same += 1,
                Some(_) => found.other += 1,
                None => {
                    found.old_missing += usize::from(lost_at.since(stream.at) >= WRITE_TIME);
                }
            }
        }
        found
    }

    /// Kills all VMs several times and looks up the streams after the last time.
    fn lose_all(&mut self, times: usize) -> Found {
        for _ in 0..times {
            let span = self.random_ms(1200, 3000);
            self.run(span);
            self.kill_all();
            self.wait_until_usable();
        }
        self.find_all()
    }
}

/// Kills all VMs of several fleets several times, and returns how many streams were found.
fn lose_fleets(vms: usize, seeds: u64, times: usize, set_faults: fn(&mut StreamFleet)) -> Found {
    let mut all = Found::default();
    for seed in 1..=seeds {
        let mut fleet = StreamFleet::new(vms, 5, seed);
        set_faults(&mut fleet);
        let found = fleet.lose_all(times);
        assert_eq!(found.other, 0, "seed {seed}: {found:?}");
        all.add(found);
    }
    all
}

/// Kills all VMs of fleets of two sizes, once and three times in a row.
fn assert_half_found(case: &str, set_faults: fn(&mut StreamFleet)) {
    for (vms, seeds) in [(6, 8), (72, 1)] {
        for times in [1, 3] {
            let found = lose_fleets(vms, seeds, times, set_faults);
            found.assert_half(&format!("{case}, {vms} VMs, {times} losses"));
        }
    }
}

/// Guards against streams that are refused, or joined from two versions, after all VMs were lost.
#[test]
fn streams_are_found_after_the_loss_of_all_vms() {
    for (vms, seeds, times) in [(6, 12, 1), (6, 12, 3), (72, 2, 1), (72, 2, 3), (300, 1, 3)] {
        let mut all = Found::default();
        for seed in 1..=seeds {
            let found = StreamFleet::new(vms, 0, seed).lose_all(times);
            assert_eq!(found.other, 0, "seed {seed}: {found:?}");
            if times == 1 {
                assert_eq!(found.old_missing, 0, "seed {seed}: {found:?}");
            }
            all.add(found);
        }
        all.assert_half(&format!("{vms} VMs, {times} losses"));
    }
}

/// Guards against records that wait for one slow write after another.
#[test]
fn streams_are_found_though_the_store_was_slow() {
    assert_half_found("slow", |fleet| fleet.fleet.store.slow = Duration::from_millis(150));
}

/// Guards against records that are dropped when a write is refused or not answered.
#[test]
fn streams_are_found_though_writes_failed() {
    assert_half_found("refused and unanswered", |fleet| {
        let faults = SegmentFaults { refused: 3, unanswered: 3, ..SegmentFaults::default() };
        fleet.fleet.store.segments.faults = faults;
    });
}

/// Guards against segments that are changed by a write that is late or done twice.
#[test]
fn streams_are_found_though_writes_were_late_and_repeated() {
    assert_half_found("late and twice", |fleet| {
        fleet.fleet.store.segments.faults.repeated_after = Some(Duration::from_millis(1700));
        for vm in 0..fleet.fleet.size() {
            let late = fleet.random_ms(0, 500);
            fleet.fleet.store.late_vms.insert(vm, late);
        }
    });
}

/// Guards against a store that answers from the past, and is taken to have no more records.
#[test]
fn streams_are_found_though_reads_were_behind() {
    assert_half_found("behind", |fleet| {
        fleet.fleet.store.stale = true;
        fleet.fleet.store.segments.faults.behind = Duration::from_millis(1200);
    });
}

/// Guards against records that are not written after the store was away, and against a guess at
/// the streams that were not written before the loss.
#[test]
fn streams_are_found_though_the_store_was_away() {
    for (vms, seeds) in [(6, 8), (72, 1)] {
        let mut all = Found::default();
        for seed in 1..=seeds {
            let mut fleet = StreamFleet::new(vms, 5, seed);
            fleet.run(Duration::from_secs(2));
            fleet.fleet.store.down = true;
            let away = fleet.random_ms(2000, 4000);
            fleet.run(away);
            fleet.fleet.store.down = false;
            // Calls that were not answered are given up after a second, and then repeated.
            fleet.run(Duration::from_secs(3));
            fleet.fleet.store.down = true;
            let away = fleet.random_ms(500, 2500);
            fleet.run(away);
            fleet.kill_all();
            fleet.fleet.store.down = false;
            fleet.wait_until_usable();
            let found = fleet.find_all();
            assert_eq!(found.other, 0, "seed {seed}: {found:?}");
            all.add(found);
        }
        all.assert_half(&format!("away, {vms} VMs"));
    }
}

/// Guards against records that are looked for at the few VMs that are left only.
#[test]
fn streams_are_found_after_the_loss_of_all_but_two_vms() {
    for (vms, seeds) in [(6, 8), (72, 1)] {
        let mut all = Found::default();
        for seed in 1..=seeds {
            let mut fleet = StreamFleet::new(vms, 5, seed);
            for _ in 0..2 {
                let span = fleet.random_ms(1200, 3000);
                fleet.run(span);
                let killed: Vec<_> = (2..vms).collect();
                fleet.kill(&killed);
            }
            fleet.fleet.advance(Duration::from_millis(500));
            let found = fleet.find_all();
            assert_eq!(found.other, 0, "seed {seed}: {found:?}");
            all.add(found);
        }
        all.assert_half(&format!("all but two, {vms} VMs"));
    }
}

/// Guards against the streams of a shard that are refused when its keepers are lost.
#[test]
fn streams_are_found_after_the_loss_of_the_keepers_of_a_shard() {
    for (vms, seeds) in [(6, 8), (72, 2)] {
        let mut all = Found::default();
        for seed in 1..=seeds {
            let mut fleet = StreamFleet::new(vms, 5, seed);
            fleet.run(Duration::from_secs(3));
            let key = fleet.begun.choose(&mut fleet.rng).expect("a stream").key;
            let keepers = fleet.fleet.stream_keepers(0, key);
            fleet.kill(&keepers);
            fleet.fleet.advance(Duration::from_millis(500));
            let shard = StreamShard::of(key);
            let found = fleet.find(|stream| StreamShard::of(stream.key) == shard);
            assert_eq!(found.other, 0, "seed {seed}: {found:?}");
            all.add(found);
        }
        all.assert_half(&format!("keepers of a shard, {vms} VMs"));
    }
}

/// Guards against segments that stay in the store, those of writers that are gone among them.
#[test]
fn expired_segments_are_removed() {
    let mut fleet = StreamFleet::new(6, 5, 1);
    for _ in 0..2 {
        fleet.run(Duration::from_secs(4));
        fleet.kill_all();
        fleet.wait_until_usable();
    }
    fleet.fleet.advance(Duration::from_secs(3));
    let left = fleet.fleet.store.segments.len();
    assert!(left > MAX_LEFT * 6, "{left} segments of processes that are gone");
    // Their shards are read, since streams are resumed.
    fleet.find_all().assert_half("before the segments expire");
    fleet.fleet.advance(max_lifetime(TIMEOUT) + Duration::from_secs(10));
    let kept = fleet.fleet.store.segments.len();
    println!("{left} segments, {kept} after they expired");
    assert!(kept <= MAX_LEFT * 6, "{kept} of {left} segments are kept");
    // New writes remove the others.
    fleet.run(Duration::from_secs(4));
    let running: Vec<_> = (0..6).filter_map(|vm| fleet.fleet.incarnation(vm)).collect();
    let gone = fleet.fleet.store.segments.writers();
    let gone: Vec<_> = gone.into_iter().filter(|writer| !running.contains(writer)).collect();
    assert!(gone.is_empty(), "segments of {gone:?} are kept");
}

/// What records of streams cost in a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cost {
    writes: u64,
    bytes_written: u64,
    messages: u64,
    message_bytes: u64,
}

impl StreamFleet {
    fn cost(&self) -> Cost {
        let counts = self.fleet.store.segments.counts;
        let sent = self.fleet.messages().get("streams").copied().unwrap_or_default();
        let (writes, bytes_written) = (counts.writes, counts.bytes);
        Cost { writes, bytes_written, messages: sent.0, message_bytes: sent.1 }
    }
}

/// Measures a fleet of a size in which several versions serve.
fn assert_bounded_cost(vms: usize, seconds: u64) {
    let mut fleet = StreamFleet::new(vms, 0, 1);
    let before = fleet.cost();
    let (streams, mut most_writes) = (fleet.begun.len(), 0);
    for _ in 0..seconds {
        let writes = fleet.cost().writes;
        fleet.run(Duration::from_secs(1));
        most_writes = most_writes.max(fleet.cost().writes - writes);
    }
    let after = fleet.cost();
    let streams = fleet.begun.len() - streams;
    let records = (0..vms).filter_map(|vm| fleet.fleet.node(vm));
    let busiest = records.map(|node| node.status().recorded_streams).max().unwrap_or(0);
    let segments = fleet.fleet.store.segments.counts.most;
    let per_vm = |count: u64| count / seconds / u64::try_from(vms).expect("few VMs");
    println!(
        "{vms} VMs, {seconds} s: {streams} streams; {} writes/s, {most_writes} at most, {} B/s;          {segments} segments at most; {:.2} messages/s and {} B/s a VM; {busiest} records at most",
        (after.writes - before.writes) / seconds,
        (after.bytes_written - before.bytes_written) / seconds,
        Duration::from_millis((after.messages - before.messages) * 1000 / seconds).as_secs_f64()
            / Duration::from_secs(u64::try_from(vms).expect("few VMs")).as_secs_f64(),
        per_vm(after.message_bytes - before.message_bytes),
    );
    assert!(most_writes <= MAX_WRITES_PER_SECOND, "{most_writes} writes a second");
    fleet.kill_all();
    fleet.wait_until_usable();
    let before = fleet.fleet.store.segments.counts;
    let found = fleet.find_all();
    let after = fleet.fleet.store.segments.counts;
    let (reads, bytes) = (after.reads - before.reads, after.bytes_read - before.bytes_read);
    println!("{vms} VMs: {reads} reads and {bytes} B for the look-up of all streams");
    assert_eq!(found.old_missing, 0, "{found:?}");
    found.assert_half(&format!("{vms} VMs"));
}

/// Guards against writes that grow with the number of VMs or streams.
#[test]
fn writes_do_not_grow_with_the_fleet() {
    assert_bounded_cost(6, 20);
    assert_bounded_cost(72, 8);
    assert_bounded_cost(300, 3);
}

/// Guards against messages, writes and reads for records while one version serves.
#[test]
fn records_without_copies_cost_nothing() {
    let mut fleet = StreamFleet::new(6, 0, 1);
    fleet.copied = false;
    let before = fleet.cost();
    assert_eq!((before.writes, before.messages), (0, 0));
    fleet.run(Duration::from_secs(5));
    assert!(fleet.begun.len() > 50);
    assert_eq!(fleet.cost(), before);
    assert!(fleet.fleet.store.segments.is_empty());
}
