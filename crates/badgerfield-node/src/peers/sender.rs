//! Sends the messages queued for one peer.

use std::net::SocketAddr;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::Envelope;
use quinn::Connection;
use thiserror::Error;
use tokio::sync::mpsc;

use super::{ConnectError, MAX_BATCH_MESSAGES, Network, RECONNECT_DELAY, UNUSED_TIMEOUT, encode};
use crate::logs::PEERS;

/// How long a batch may take to be handed to its connection before that is logged.
const SLOW_SEND: Duration = Duration::from_millis(200);

/// Sends the messages queued for one peer.
pub(super) struct PeerSender {
    network: Network,
    to: Incarnation,
    address: SocketAddr,
    /// The first failure to connect since the peer was last reached.
    outage: Option<Outage>,
}

/// A time in which no connection to the peer could be opened.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Time,
    /// The number of messages that were dropped.
    dropped: usize,
}

impl PeerSender {
    pub(super) fn new(network: Network, to: Incarnation, address: SocketAddr) -> Self {
        Self { network, to, address, outage: None }
    }

    /// Sends messages until none has been queued for `UNUSED_TIMEOUT`.
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Envelope>) {
        let mut batch = Vec::new();
        loop {
            let received = queue.recv_many(&mut batch, MAX_BATCH_MESSAGES);
            match tokio::time::timeout(UNUSED_TIMEOUT, received).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return,
            }
            let started = self.network.clock.now();
            match self.network.get_or_connect(self.to, self.address).await {
                Ok(connection) => {
                    self.record_reached();
                    self.send(&connection, std::mem::take(&mut batch)).await;
                }
                Err(error) => {
                    // Messages to an unreachable peer are dropped: they are outdated when it is
                    // reachable again.
                    let mut dropped = batch.drain(..).count();
                    tokio::time::sleep(RECONNECT_DELAY).await;
                    while queue.try_recv().is_ok() {
                        dropped += 1;
                    }
                    self.record_unreachable(started, dropped, &error);
                }
            }
        }
    }

    /// Sends a batch: messages that are repeated anyway, and so may be lost, in a datagram if they
    /// fit, and the others on a stream.
    async fn send(&self, connection: &Connection, batch: Vec<Envelope>) {
        let started = self.network.clock.now();
        let (repeated, others): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|envelope| envelope.message.is_repeated());
        let unsent = send_datagram(connection, repeated);
        let remaining: Vec<_> = unsent.into_iter().chain(others).collect();
        if remaining.is_empty() {
            return;
        }
        let (to, count) = (self.to, remaining.len());
        if let Err(error) = send_stream(connection, &remaining).await {
            log::info!(target: PEERS, "lost peer={to} messages={count} reason={error:?}");
        }
        let took = self.network.clock.now().since(started);
        if took >= SLOW_SEND {
            let path = connection.stats().path;
            log::info!(
                target: PEERS,
                "delayed peer={to} messages={count} waited_ms={} rtt_ms={} window={} lost_packets={}",
                took.as_millis(),
                path.rtt.as_millis(),
                path.cwnd,
                path.lost_packets
            );
        }
    }

    fn record_unreachable(&mut self, started: Time, dropped: usize, error: &ConnectError) {
        if let Some(outage) = &mut self.outage {
            outage.dropped += dropped;
            return;
        }
        self.outage = Some(Outage { since: started, dropped });
        let (to, address) = (self.to, self.address);
        log::info!(
            target: PEERS,
            "unreachable peer={to} address={address} dropped={dropped} reason={:?}",
            error.to_string()
        );
    }

    fn record_reached(&mut self) {
        let Some(outage) = self.outage.take() else {
            return;
        };
        let (to, dropped) = (self.to, outage.dropped);
        let away_ms = self.network.clock.now().since(outage.since).as_millis();
        log::info!(target: PEERS, "reached peer={to} away_ms={away_ms} dropped={dropped}");
    }
}

/// Sends messages in one datagram. Returns them if they do not fit or cannot be sent.
fn send_datagram(connection: &Connection, batch: Vec<Envelope>) -> Vec<Envelope> {
    if batch.is_empty() {
        return batch;
    }
    let bytes = encode(&batch);
    let fits = connection.max_datagram_size().is_some_and(|max| bytes.len() <= max);
    if fits && connection.send_datagram(bytes.into()).is_ok() {
        return Vec::new();
    }
    batch
}

/// Sends messages on a stream of their own.
async fn send_stream(connection: &Connection, batch: &[Envelope]) -> Result<(), SendError> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(&encode(batch)).await?;
    stream.finish()?;
    Ok(())
}

/// Why a batch was not sent.
#[derive(Debug, Error)]
enum SendError {
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Write(#[from] quinn::WriteError),
    #[error(transparent)]
    Closed(#[from] quinn::ClosedStream),
}
