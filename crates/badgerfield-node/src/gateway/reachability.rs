//! Finds out whether this VM reaches upstreams: opens connections without requests to a few of
//! them, and asks peers for those that do not answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::reachability::{ProbeRound, ReachChange};
use badgerfield_core::view::Member;
use futures::future::{join_all, try_join};
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::driver::Driver;
use crate::gateway::forward::{PeerCall, Reached};
use crate::gateway::state::Gateway;
use crate::logs::NODE;
use crate::peers::calls::{CallError, read_frame, write_frame};

/// How often this process checks whether probes are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The number of upstreams that are probed at once if nothing is wrong as far as known.
const PROBED_UPSTREAMS: usize = 1;
/// How long an upstream is expected to keep a connection on which nothing was sent. Its answers say
/// how long it keeps others.
const PROBE_KEEP_ALIVE: Duration = Duration::from_millis(1900);
/// The number of upstreams that are probed at once in doubt.
const PROBED_IN_DOUBT: usize = 8;
/// The maximum number of upstreams that peers are asked for.
const ASKED_UPSTREAMS: usize = 3;
/// The number of peers that are asked. Requests go through those that reach upstreams.
const ASKED_PEERS: usize = 4;
/// How many of these are the nearest ones; the others are in other failure domains, since a whole
/// domain may be cut off.
const NEAR_PEERS: usize = 2;
/// How long a peer may take to answer, and to accept a connection. At a VM whose own link is full,
/// connections open late to whomever; its requests must not go through peers, as they would wait at
/// that link in any case.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval at which peers are asked while this VM is cut off.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum size of an answer of a peer.
const MAX_ANSWER_BYTES: usize = 4096;

/// Probes upstreams whenever that is due, until the process ends.
pub(crate) async fn watch(driver: Arc<Driver>, gateway: Arc<Gateway>) {
    let mut asked = Asked::default();
    loop {
        driver.clock.sleep(CHECK_INTERVAL).await;
        if gateway.reachability().is_round_due(driver.now()) {
            run_round(&driver, &gateway, &mut asked).await;
        }
    }
}

/// When peers were asked.
#[derive(Debug, Default)]
struct Asked {
    last: Option<Time>,
    /// How often in a row none of them has answered.
    unanswered: u32,
}

impl Asked {
    /// Returns whether peers should be asked again. Before a cut is noticed, each round may decide.
    fn is_due(&self, now: Time, is_cut_off: bool) -> bool {
        !is_cut_off || self.last.is_none_or(|at| now.since(at) >= ASK_INTERVAL)
    }
}

/// Probes upstreams, asks peers for those that do not answer, and applies the result.
async fn run_round(driver: &Arc<Driver>, gateway: &Arc<Gateway>, asked: &mut Asked) {
    let started = driver.now();
    let (opened, mut missed) = probe(started, gateway).await;
    let mut round = ProbeRound { probed: opened + missed.len(), opened, asked: 0, reached: 0 };
    let is_cut_off = gateway.reachability().is_cut_off();
    if !missed.is_empty() && asked.is_due(started, is_cut_off) {
        asked.last = Some(started);
        missed.truncate(ASKED_UPSTREAMS);
        (round.asked, round.reached) = ask_peers(driver, gateway, missed, asked).await;
    }
    if round.opened < round.probed {
        let took = driver.now().since(started);
        log::info!(target: NODE, "upstreams missed {} took_ms={}", evidence(round), took.as_millis());
    }
    // A process that was stalled may have missed all answers itself.
    if driver.clock.has_stalled_since(started) {
        return;
    }
    let change = gateway.reachability().record_round(driver.now(), round);
    if let Some(change) = change {
        apply_change(driver, gateway, change, round);
    }
    gateway.notify_round();
}

/// Opens connections to some upstreams. Returns how many opened, and the upstreams of the others.
async fn probe(now: Time, gateway: &Gateway) -> (usize, Vec<UpstreamId>) {
    let is_decisive = gateway.reachability().is_decisive();
    let count = if is_decisive { PROBED_IN_DOUBT } else { PROBED_UPSTREAMS };
    let turn = gateway.next_probe_turn();
    let targets = gateway.upstreams().probe_targets(now, count, turn, None);
    let probes = targets.iter().map(|(_, address)| gateway.connections.open(*address));
    let results = join_all(probes).await;
    let (mut opened, mut missed) = (0, Vec::new());
    for ((id, _), connection) in targets.into_iter().zip(results) {
        let Ok(connection) = connection else {
            missed.push(id);
            continue;
        };
        opened += 1;
        // The next request to the upstream needs no new connection then.
        gateway.connections.keep(id, connection, Some(PROBE_KEEP_ALIVE));
    }
    (opened, missed)
}

/// Asks peers which upstreams they reach. Returns for how many upstreams an answer came, and how
/// many of these a peer reaches.
async fn ask_peers(
    driver: &Arc<Driver>,
    gateway: &Gateway,
    upstreams: Vec<UpstreamId>,
    asked: &mut Asked,
) -> (usize, usize) {
    let peers = candidates(driver);
    let calls = peers.iter().map(|peer| ask_peer(driver, peer, &upstreams));
    let answers = join_all(calls).await;
    let mut reached = BTreeSet::new();
    let mut found = Vec::new();
    for (peer, answer) in peers.iter().zip(&answers) {
        let Some(answer) = answer else {
            continue;
        };
        if !answer.is_empty() {
            found.push(peer.clone());
        }
        reached.extend(answer.iter().filter(|id| upstreams.contains(id)).cloned());
    }
    let is_answered = answers.iter().any(Option::is_some);
    asked.unanswered = if is_answered { 0 } else { asked.unanswered + 1 };
    // Answers may be lost now and then; the peers known so far are probably still there.
    if asked.unanswered != 1 {
        gateway.forward_peers.replace(&found);
    }
    (if is_answered { upstreams.len() } else { 0 }, reached.len())
}

/// Returns the upstreams that a peer reaches, or `None` if it does not answer in time.
async fn ask_peer(
    driver: &Arc<Driver>,
    peer: &Member,
    upstreams: &[UpstreamId],
) -> Option<Vec<UpstreamId>> {
    let id = peer.incarnation;
    let call = async {
        let mut stream = driver.peers().call(id, peer.peer).await?;
        write_frame(&mut stream.send, &PeerCall::Reach(upstreams.to_vec())).await?;
        let reached = read_frame::<Reached>(&mut stream.receive, MAX_ANSWER_BYTES).await?;
        Ok::<_, CallError>(reached.upstreams)
    };
    let connection = async { Ok(TcpStream::connect(peer.caller).await?) };
    match tokio::time::timeout(ANSWER_TIMEOUT, try_join(call, connection)).await {
        Ok(Ok((reached, _))) => Some(reached),
        Ok(Err(error)) => {
            log::debug!(target: NODE, "peer {id} not asked: {error}");
            None
        }
        Err(_) => None,
    }
}

/// Returns the peers to ask: the nearest ones, and some in other failure domains. Each VM asks
/// others first, so that the requests of many VMs that are cut off are spread.
///
/// Peers that are cut off come last. Their links may be back already, and no other peer may be left.
fn candidates(driver: &Driver) -> Vec<Member> {
    let now = driver.now();
    let me = driver.node.id();
    let settings = &driver.settings;
    let overloaded = driver.node.overloaded_members(now);
    let cut_off = driver.node.cut_off_members(now);
    let mut members: Vec<Member> = driver.node.available_members(now);
    members.retain(|member| member.incarnation != me && !overloaded.contains(&member.incarnation));
    let rank = |member: &Member| {
        let distance =
            u8::from(member.domain != settings.domain) + u8::from(member.region != settings.region);
        (distance, xxh3_64_with_seed(&member.incarnation.0.to_be_bytes(), me.0))
    };
    members.sort_by_key(rank);
    let (last, first): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|member| cut_off.contains(&member.incarnation));
    let (near, far): (Vec<_>, Vec<_>) =
        first.into_iter().partition(|member| member.domain == settings.domain);
    near.into_iter().take(NEAR_PEERS).chain(far).chain(last).take(ASKED_PEERS).collect()
}

/// Returns the evidence of a round, for the log.
fn evidence(round: ProbeRound) -> String {
    let ProbeRound { probed, opened, asked, reached } = round;
    format!("probed={probed} opened={opened} asked={asked} reached={reached}")
}

fn apply_change(driver: &Arc<Driver>, gateway: &Gateway, change: ReachChange, round: ProbeRound) {
    let evidence = evidence(round);
    match change {
        ReachChange::CutOff => {
            gateway.upstreams().forget_failures();
            let peers: Vec<_> =
                gateway.forward_peers.ids().iter().map(ToString::to_string).collect();
            log::warn!(target: NODE, "upstreams cut off {evidence} peers={}", peers.join(","));
            driver.handle_event(Event::CutOff(true));
        }
        ReachChange::Returning => {
            gateway.upstreams().forget_failures();
            log::info!(target: NODE, "upstreams reached {evidence}");
        }
        ReachChange::Returned(away) => {
            let away_ms = away.as_millis();
            log::info!(target: NODE, "upstreams direct {evidence} away_ms={away_ms}");
            driver.handle_event(Event::CutOff(false));
        }
    }
}
