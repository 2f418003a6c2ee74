//! Peers prove that they know the fleet's secret; others are refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::{Envelope, Heartbeat, Message};
use badgerfield_node::peers::{Peers, Secret};
use tokio::sync::mpsc;
use tokio::time::timeout;

fn secret(digit: char) -> Secret {
    digit.to_string().repeat(64).parse().expect("the digits are hexadecimal")
}

fn listen(port: u16, own: char, accepted: &[char]) -> Result<Arc<Peers>> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let accepted: Vec<_> = accepted.iter().map(|digit| secret(*digit)).collect();
    Ok(Arc::new(Peers::listen(address, &secret(own), &accepted)?))
}

/// Sends messages from one to the other until one arrives, or some time has passed.
async fn arrives(from: &Peers, to: &Arc<Peers>, port: u16) -> bool {
    let (heard, mut line) = mpsc::unbounded_channel();
    let receiver = Arc::clone(to);
    tokio::spawn(async move {
        receiver.receive(move |envelope| drop(heard.send(envelope))).await;
    });
    for _ in 0..8 {
        let message = Message::Heartbeat(Heartbeat::default());
        let envelope = Envelope {
            from: Incarnation(1),
            address: ([127, 0, 0, 1], 1).into(),
            to: Incarnation(2),
            message,
        };
        from.send(SocketAddr::from(([127, 0, 0, 1], port)), envelope);
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
