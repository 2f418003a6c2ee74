//! Connections between peers: authentication by the fleet secret, and simultaneous starts.

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

/// Returns a loopback address that depends on the process id, so that concurrent test runs do not
/// use the same address.
fn address(port: u16) -> SocketAddr {
    let host = u8::try_from(std::process::id() % 190).unwrap_or(0) + 2;
    SocketAddr::from(([127, host, 255, 1], port))
}

fn listen(port: u16, own: char, accepted: &[char]) -> Result<Arc<PeerTransport>> {
    let accepted: Vec<_> = accepted.iter().map(|digit| secret(*digit)).collect();
    Ok(Arc::new(PeerTransport::listen(address(port), &secret(own), &accepted)?))
}

/// Sends up to 8 messages from one endpoint to the other, waiting up to 300 ms for each; returns
/// whether one has arrived.
async fn can_send(from: &PeerTransport, to: &Arc<PeerTransport>, port: u16) -> bool {
    let (sender, mut messages) = mpsc::unbounded_channel();
    let receiver = Arc::clone(to);
    tokio::spawn(async move {
        receiver.receive(move |envelope| drop(sender.send(envelope))).await;
    });
    for _ in 0..8 {
        let message = Message::Heartbeat(Heartbeat::default());
        let envelope = Envelope {
            from: Incarnation(1),
            sender_address: ([127, 0, 0, 1], 1).into(),
            to: Incarnation(2),
            message,
        };
        from.send(address(port), envelope);
        if timeout(Duration::from_millis(300), messages.recv()).await.is_ok() {
            return true;
        }
    }
    false
}

/// Guards against a handshake that refuses peers of the same fleet.
#[tokio::test]
async fn same_secret_is_accepted() -> Result<()> {
    let (a, b) = (listen(30_001, '1', &[])?, listen(30_002, '1', &[])?);
    assert!(can_send(&a, &b, 30_002).await);
    Ok(())
}

/// Guards against processes that exchange messages without the secret of the fleet. Both sides
/// must accept the key of the other.
#[tokio::test]
async fn wrong_secret_is_refused() -> Result<()> {
    let (a, b) = (listen(30_003, '1', &[])?, listen(30_004, '2', &[])?);
    assert!(!can_send(&a, &b, 30_004).await);
    // Accepting the key of the other process is not enough if that process refuses this one.
    let (a, b) = (listen(30_005, '1', &['2'])?, listen(30_006, '2', &[])?);
    assert!(!can_send(&a, &b, 30_006).await);
    Ok(())
}

/// Guards against an outage while operators replace the fleet secret. During the change, processes
/// with the old and the new secret accept both keys.
#[tokio::test]
async fn secret_changes_without_downtime() -> Result<()> {
    let (old, new) = (listen(30_007, '1', &['2'])?, listen(30_008, '2', &['1'])?);
    assert!(can_send(&old, &new, 30_008).await);
    assert!(can_send(&new, &old, 30_007).await);
    Ok(())
}

/// Number of processes that start at once.
const FLEET_SIZE: usize = 40;
/// The peers that each process sends to, as offsets on a ring of all processes.
const PEER_OFFSETS: [usize; 6] = [1, 2, 4, 8, 16, 32];

/// Guards against pairs of processes without a working connection after a simultaneous start, when
/// both sides of a pair open a connection at the same time. Each process must receive at least 10 of
/// the 30 heartbeats from each of its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn processes_that_start_at_once_receive_heartbeats() -> Result<()> {
    let first_port = 30_100;
    let port = |n: usize| first_port + u16::try_from(n).expect("few processes");
    let received = Arc::new(Mutex::new(BTreeMap::<(u64, u64), u32>::new()));
    let mut fleet = Vec::new();
    for n in 0..FLEET_SIZE {
        fleet.push(listen(port(n), '1', &[])?);
    }
    for (n, peers) in fleet.iter().enumerate() {
        let (peers, received) = (Arc::clone(peers), Arc::clone(&received));
        let to = u64::try_from(n)?;
        tokio::spawn(async move {
            let count = move |envelope: Envelope| {
                let mut received = received.lock().expect("no thread panics while holding it");
                *received.entry((envelope.from.0, to)).or_default() += 1;
            };
            peers.receive(count).await;
        });
    }
    for _ in 0..30 {
        for (n, peers) in fleet.iter().enumerate() {
            for offset in PEER_OFFSETS {
                let to = (n + offset) % FLEET_SIZE;
                let envelope = Envelope {
                    from: Incarnation(u64::try_from(n)?),
                    sender_address: address(port(n)),
                    to: Incarnation(u64::try_from(to)?),
                    message: Message::Heartbeat(Heartbeat::default()),
                };
                peers.send(address(port(to)), envelope);
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let received = received.lock().expect("no thread panics while holding it");
    let mut incomplete = Vec::new();
    for n in 0..FLEET_SIZE {
        for offset in PEER_OFFSETS {
            let pair = (u64::try_from(n)?, u64::try_from((n + offset) % FLEET_SIZE)?);
            if received.get(&pair).is_none_or(|count| *count < 10) {
                incomplete.push((pair, received.get(&pair).copied()));
            }
        }
    }
    assert!(
        incomplete.is_empty(),
        "{} pairs exchanged fewer than 10 messages: {incomplete:?}",
        incomplete.len()
    );
    Ok(())
}
