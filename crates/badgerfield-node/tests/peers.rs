//! Peers prove that they know the fleet's secret; others are refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::{Envelope, Heartbeat, Message};
use badgerfield_node::peers::{FleetSecret, PeerTransport};
use tokio::sync::mpsc;
use tokio::time::timeout;

fn secret(digit: char) -> FleetSecret {
    digit.to_string().repeat(64).parse().expect("the digits are hexadecimal")
}

/// Returns the address of a port: a test run beside this one has another loopback address.
fn at(port: u16) -> SocketAddr {
    let run = u8::try_from(std::process::id() % 190).unwrap_or(0) + 2;
    SocketAddr::from(([127, run, 255, 1], port))
}

fn listen(port: u16, own: char, accepted: &[char]) -> Result<Arc<PeerTransport>> {
    let accepted: Vec<_> = accepted.iter().map(|digit| secret(*digit)).collect();
    Ok(Arc::new(PeerTransport::listen(at(port), &secret(own), &accepted)?))
}

/// Sends messages from one to the other until one arrives, or some time has passed.
async fn arrives(from: &PeerTransport, to: &Arc<PeerTransport>, port: u16) -> bool {
    let (heard, mut line) = mpsc::unbounded_channel();
    let receiver = Arc::clone(to);
    tokio::spawn(async move {
        receiver.receive(move |envelope| drop(heard.send(envelope))).await;
    });
    for _ in 0..8 {
        let message = Message::Heartbeat(Heartbeat::default());
        let envelope = Envelope {
            from: Incarnation(1),
            sender_address: ([127, 0, 0, 1], 1).into(),
            to: Incarnation(2),
            message,
        };
        from.send(at(port), envelope);
        if timeout(Duration::from_millis(300), line.recv()).await.is_ok() {
            return true;
        }
    }
    false
}

#[tokio::test]
async fn same_secret_is_let_in() -> Result<()> {
    let (a, b) = (listen(30_001, '1', &[])?, listen(30_002, '1', &[])?);
    assert!(arrives(&a, &b, 30_002).await);
    Ok(())
}

#[tokio::test]
async fn wrong_secret_is_refused() -> Result<()> {
    let (a, b) = (listen(30_003, '1', &[])?, listen(30_004, '2', &[])?);
    assert!(!arrives(&a, &b, 30_004).await);
    // Knowing the other's secret is not enough, the other must accept this one too.
    let (a, b) = (listen(30_005, '1', &['2'])?, listen(30_006, '2', &[])?);
    assert!(!arrives(&a, &b, 30_006).await);
    Ok(())
}

#[tokio::test]
async fn secret_changes_without_a_stop() -> Result<()> {
    let (old, new) = (listen(30_007, '1', &['2'])?, listen(30_008, '2', &['1'])?);
    assert!(arrives(&old, &new, 30_008).await);
    assert!(arrives(&new, &old, 30_007).await);
    Ok(())
}

/// How many processes start at once.
const FLEET: usize = 40;
/// The neighbours of each, as steps round a ring.
const STEPS: [usize; 6] = [1, 2, 4, 8, 16, 32];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_that_start_at_once_hear_their_neighbours() -> Result<()> {
    let first = 30_100;
    let port = |n: usize| first + u16::try_from(n).expect("few processes");
    let heard = Arc::new(Mutex::new(BTreeMap::<(u64, u64), u32>::new()));
    let mut fleet = Vec::new();
    for n in 0..FLEET {
        fleet.push(listen(port(n), '1', &[])?);
    }
    for (n, peers) in fleet.iter().enumerate() {
        let (peers, heard) = (Arc::clone(peers), Arc::clone(&heard));
        let me = u64::try_from(n)?;
        tokio::spawn(async move {
            let note = move |envelope: Envelope| {
                let mut heard = heard.lock().expect("no test panics here");
                *heard.entry((envelope.from.0, me)).or_default() += 1;
            };
            peers.receive(note).await;
        });
    }
    for _ in 0..30 {
        for (n, peers) in fleet.iter().enumerate() {
            for step in STEPS {
                let to = (n + step) % FLEET;
                let envelope = Envelope {
                    from: Incarnation(u64::try_from(n)?),
                    sender_address: at(port(n)),
                    to: Incarnation(u64::try_from(to)?),
                    message: Message::Heartbeat(Heartbeat::default()),
                };
                peers.send(at(port(to)), envelope);
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let heard = heard.lock().expect("no test panics here");
    let mut silent = Vec::new();
    for n in 0..FLEET {
        for step in STEPS {
            let pair = (u64::try_from(n)?, u64::try_from((n + step) % FLEET)?);
            if heard.get(&pair).is_none_or(|count| *count < 10) {
                silent.push((pair, heard.get(&pair).copied()));
            }
        }
    }
    assert!(silent.is_empty(), "{} pairs are silent: {silent:?}", silent.len());
    Ok(())
}
