//! Messages to a peer whose replies wait, or are lost, at its own full link: what others tell it
//! must not depend on its being able to answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::message::{Envelope, Message, UpstreamUpdate};
use badgerfield_core::upstream_list::{ListVersion, UpstreamListChanges};
use badgerfield_node::peers::{FleetSecret, PeerTransport};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The interval between two messages: some more than the busiest pairs of VMs exchange.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// The number of removals in a message, which makes it as large as an update of the list with a few
/// changed entries.
const REMOVALS: u64 = 16;
/// Maximum time from queueing a message until it is received on a connection that is open.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// The way back from the peer.
#[derive(Debug)]
struct ReturnPath {
    /// How long each packet waits, in milliseconds; `LOST` if it is dropped.
    delay_ms: AtomicU64,
}

/// The delay of packets that are dropped.
const LOST: u64 = u64::MAX;

impl ReturnPath {
    fn new(delay_ms: u64) -> Arc<Self> {
        Arc::new(Self { delay_ms: AtomicU64::new(delay_ms) })
    }

    fn set(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    fn delay(&self) -> Option<Duration> {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        (delay_ms != LOST).then(|| Duration::from_millis(delay_ms))
    }
}

/// Returns a loopback address that depends on the process id, so that concurrent test runs do not
/// use the same address.
fn address(port: u16) -> SocketAddr {
    let host = u8::try_from(std::process::id() % 190).unwrap_or(0) + 2;
    SocketAddr::from(([127, host, 254, 1], port))
}

fn listen(port: u16) -> Result<Arc<PeerTransport>> {
    let secret: FleetSecret = "1".repeat(64).parse().expect("the digits are hexadecimal");
    Ok(Arc::new(PeerTransport::listen(address(port), &secret, &[])?))
}

/// Forwards the packets of one sender to `to`, and the replies over the return path.
async fn forward(port: u16, to: SocketAddr, back: Arc<ReturnPath>) -> Result<()> {
    let front = Arc::new(UdpSocket::bind(address(port)).await?);
    let rear = Arc::new(UdpSocket::bind(address(0)).await?);
    tokio::spawn(async move {
        let mut sender = None;
        let (mut sent, mut reply) = ([0; 2048], [0; 2048]);
        loop {
            tokio::select! {
                Ok((size, from)) = front.recv_from(&mut sent) => {
                    sender = Some(from);
                    let _ = rear.send_to(&sent[..size], to).await;
                }
                Ok((size, _)) = rear.recv_from(&mut reply) => {
                    let (Some(delay), Some(sender)) = (back.delay(), sender) else {
                        continue;
                    };
                    let (front, packet) = (Arc::clone(&front), reply[..size].to_vec());
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        let _ = front.send_to(&packet, sender).await;
                    });
                }
            }
        }
    });
    Ok(())
}

/// Returns an update of the list of upstreams with a number.
fn update(revision: u64) -> Message {
    let id = |n: u64| -> UpstreamId { format!("i-{n:010}").parse().expect("the name is valid") };
    let gone = (0..REMOVALS).map(|n| (id(n), revision)).collect();
    Message::UpstreamChanges(UpstreamUpdate {
        changes: UpstreamListChanges { gone, ..UpstreamListChanges::default() },
        since: revision,
        version: ListVersion { revision, digest: 0 },
        reach: 0,
    })
}

/// Sends numbered updates over `span`, and returns how long each took to arrive; `None` for those
/// that have not arrived 2 s after the last one was queued.
async fn send_updates(
    from: &PeerTransport,
    port: u16,
    received: &mut mpsc::UnboundedReceiver<(u64, Instant)>,
    numbers: std::ops::Range<u64>,
    interval: Duration,
) -> Vec<Option<Duration>> {
    let mut queued = Vec::new();
    for number in numbers.clone() {
        let message = update(number);
        let sender_address = address(port);
        let envelope =
            Envelope { from: Incarnation(1), sender_address, to: Incarnation(2), message };
        queued.push(Instant::now());
        from.send(address(port), envelope);
        tokio::time::sleep(interval).await;
    }
    let mut delays = vec![None; queued.len()];
    let until = tokio::time::Instant::now() + Duration::from_secs(2);
    while let Ok(Some((number, at))) = tokio::time::timeout_at(until, received.recv()).await {
        let index = usize::try_from(number - numbers.start).expect("few updates");
        delays[index].get_or_insert(at.duration_since(queued[index]));
    }
    delays
}

/// Passes the numbers of the received updates and the times of their arrival.
fn receive(peer: &Arc<PeerTransport>) -> mpsc::UnboundedReceiver<(u64, Instant)> {
    let (sender, received) = mpsc::unbounded_channel();
    let peer = Arc::clone(peer);
    tokio::spawn(async move {
        peer.receive(move |envelope| {
            if let Message::UpstreamChanges(update) = envelope.message {
                let _ = sender.send((update.version.revision, Instant::now()));
            }
        })
        .await;
    });
    received
}

/// Returns the longest delay, or `None` if a message has not arrived, and the number of those.
fn summary(delays: &[Option<Duration>]) -> (Option<Duration>, usize) {
    let missing = delays.iter().filter(|delay| delay.is_none()).count();
    (delays.iter().flatten().max().copied(), missing)
}

/// Guards against a sender that stops, and keeps all later messages waiting, because the peer
/// cannot acknowledge what it receives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_reach_a_peer_whose_acknowledgements_are_lost() -> Result<()> {
    let (a, b) = (listen(30_301)?, listen(30_302)?);
    let back = ReturnPath::new(0);
    forward(30_303, address(30_302), Arc::clone(&back)).await?;
    let mut received = receive(&b);
    let before = send_updates(&a, 30_303, &mut received, 0..5, SEND_INTERVAL).await;
    assert_eq!(summary(&before).1, 0, "{before:?}");
    back.set(LOST);
    // The link of a VM that is asked too much is full for seconds.
    let delays = send_updates(&a, 30_303, &mut received, 5..155, SEND_INTERVAL).await;
    let (longest, missing) = summary(&delays);
    println!("longest {longest:?}, {missing} missing");
    assert_eq!(missing, 0, "of {} messages", delays.len());
    assert!(longest.is_some_and(|longest| longest <= MAX_DELAY), "{longest:?}");
    Ok(())
}

/// Guards against messages that are dropped because a peer answers the handshake late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_reach_a_peer_that_answers_the_handshake_late() -> Result<()> {
    let (a, b) = (listen(30_304)?, listen(30_305)?);
    let wait = Duration::from_millis(1500);
    let back = ReturnPath::new(1500);
    forward(30_306, address(30_305), Arc::clone(&back)).await?;
    let mut received = receive(&b);
    let delays = send_updates(&a, 30_306, &mut received, 0..100, SEND_INTERVAL).await;
    let (longest, missing) = summary(&delays);
    println!("longest {longest:?}, {missing} missing");
    assert_eq!(missing, 0, "of {} messages", delays.len());
    // The first messages wait for the reply of the peer, which takes one wait.
    assert!(longest.is_some_and(|longest| longest <= wait + MAX_DELAY), "{longest:?}");
    Ok(())
}

/// Guards against a connection that is given up while its peer receives but gets no reply through: a
/// new one cannot be opened then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn messages_reach_a_peer_whose_replies_are_lost_for_long() -> Result<()> {
    /// The interval of broadcasts.
    const INTERVAL: Duration = Duration::from_millis(400);
    let (a, b) = (listen(30_307)?, listen(30_308)?);
    let back = ReturnPath::new(0);
    forward(30_309, address(30_308), Arc::clone(&back)).await?;
    let mut received = receive(&b);
    let before = send_updates(&a, 30_309, &mut received, 0..5, INTERVAL).await;
    assert_eq!(summary(&before).1, 0, "{before:?}");
    back.set(LOST);
    let delays = send_updates(&a, 30_309, &mut received, 5..40, INTERVAL).await;
    let (longest, missing) = summary(&delays);
    println!("longest {longest:?}, {missing} missing");
    assert_eq!(missing, 0, "of {} messages", delays.len());
    assert!(longest.is_some_and(|longest| longest <= MAX_DELAY), "{longest:?}");
    Ok(())
}
