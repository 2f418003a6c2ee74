//! Messages between the system's processes: QUIC, both sides proving that they know
//! the fleet's secret.
//!
//! Each process proves itself by a raw public key derived from the secret in its
//! settings. A peer with an unknown key is refused in the handshake. Messages may be
//! lost: whoever needs an answer sends again.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::Envelope;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, Endpoint, TransportConfig};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{WebPkiSupportedAlgorithms, ring, verify_tls13_signature_with_raw_key};
use rustls::pki_types::{
    CertificateDer, PrivatePkcs8KeyDer, ServerName, SubjectPublicKeyInfoDer, UnixTime,
};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::sign::CertifiedKey;
use rustls::{CertificateError, DigitallySignedStruct, DistinguishedName, SignatureScheme};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::logs::PEERS;
use crate::sync::lock;

/// The largest batch of messages, in bytes.
const MAX_BATCH: usize = 4_000_000;
/// How many messages may wait for one peer; more are dropped.
const QUEUE: usize = 4096;
/// How many messages go into one batch.
const BATCH: usize = 256;
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a peer that could not be reached is left alone.
const PAUSE: Duration = Duration::from_millis(200);
/// How long a connection may stay silent. It is not kept alive: signs of life keep those of
/// neighbours open, and all others are closed when they are no longer used.
const IDLE: Duration = Duration::from_secs(10);
/// How many bytes one stream may carry ahead of its reader. Most messages have 100 B; the
/// largest, a whole set of templates, takes a few more round trips. This and the bounds below
/// were chosen, not measured: they bound what a peer that does not read can hold up.
const STREAM_WINDOW: u32 = 128 << 10;
/// How many bytes all streams of a connection may carry ahead of their reader.
const WINDOW: u32 = 512 << 10;
/// How many batches one peer may send at once.
const STREAMS: u32 = 64;
/// How many bytes of signs of life may wait to be sent or read; older ones are dropped.
const DATAGRAMS: usize = 16 << 10;
/// The name of the protocol in the handshake.
const PROTOCOL: &[u8] = b"badgerfield/1";
/// What precedes the seed of an Ed25519 key in PKCS #8, by RFC 8410.
const PKCS8: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Why peers cannot be talked to.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The secret gives no key.
    #[error("the fleet's secret gives no key; make another with `badgerfield key --fleet`")]
    Secret,
    /// The handshake cannot be set up.
    #[error("cannot set up the handshake: {0}")]
    Handshake(#[from] rustls::Error),
    /// The handshake lacks a cipher.
    #[error("cannot set up the handshake: {0}")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The address cannot be listened on.
    #[error("cannot listen for peers: {0}")]
    Listen(#[from] std::io::Error),
}

/// A secret of the fleet: 32 bytes, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetSecret([u8; 32]);

/// Why a text is not a secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected 64 hexadecimal digits; make some with `badgerfield key --fleet`")]
pub struct SecretError;

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for FleetSecret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        let digest: badgerfield_core::template::KeyDigest =
            text.parse().map_err(|_| SecretError)?;
        Ok(Self(digest.0))
    }
}

impl FleetSecret {
    fn certified(&self) -> Result<CertifiedKey, PeerError> {
        let mut der = PKCS8.to_vec();
        der.extend_from_slice(&self.0);
        let key = ring::sign::any_eddsa_type(&PrivatePkcs8KeyDer::from(der));
        let key = key.map_err(|_| PeerError::Secret)?;
        let public = key.public_key().ok_or(PeerError::Secret)?;
        let raw = CertificateDer::from(public.as_ref().to_vec());
        Ok(CertifiedKey::new(vec![raw], key))
    }
}

/// Accepts peers whose raw public key is one of the fleet's.
#[derive(Debug)]
struct Accept {
    keys: Vec<Vec<u8>>,
    algorithms: WebPkiSupportedAlgorithms,
}

impl Accept {
    fn check(&self, key: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        if self.keys.iter().any(|k| k == key.as_ref()) {
            return Ok(());
        }
        log::warn!(target: PEERS, "refused a peer with an unknown key");
        Err(rustls::Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }

    fn verify(
        &self,
        message: &[u8],
        key: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let key = SubjectPublicKeyInfoDer::from(key.as_ref());
        verify_tls13_signature_with_raw_key(message, &key, signed, &self.algorithms)
    }
}

impl ServerCertVerifier for Accept {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _name: &ServerName<'_>,
        _ocsp: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("expected TLS 1.3".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}

impl ClientCertVerifier for Accept {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _message: &[u8],
        _cert: &CertificateDer<'_>,
        _signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::General("expected TLS 1.3".to_owned()))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }

    fn requires_raw_public_keys(&self) -> bool {
        true
    }
}

/// Sends messages to peers and receives theirs.
#[derive(Debug)]
pub struct PeerTransport {
    network: Network,
    lines: Mutex<HashMap<Incarnation, Line>>,
}

/// What receives messages.
type Deliver = Arc<dyn Fn(Envelope) + Send + Sync>;

/// The connections of this process; one serves both directions, whoever opened it.
#[derive(Clone)]
struct Network {
    endpoint: Endpoint,
    /// A process that starts anew on a VM has the address of the one before, but none of its
    /// connections, so these belong to incarnations.
    open: Arc<Mutex<HashMap<Incarnation, Connection>>>,
    deliver: Arc<OnceLock<Deliver>>,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").field("endpoint", &self.endpoint).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct Line {
    address: SocketAddr,
    queue: mpsc::Sender<Envelope>,
}

impl PeerTransport {
    /// Listens for peers and prepares to connect to them.
    ///
    /// # Errors
    ///
    /// Fails if the secret gives no key, or the address is taken.
    pub fn listen(
        address: SocketAddr,
        secret: &FleetSecret,
        accepted: &[FleetSecret],
    ) -> Result<Self, PeerError> {
        let own = Arc::new(secret.certified()?);
        let mut keys = vec![raw_key(&own)];
        for other in accepted {
            keys.push(raw_key(&other.certified()?));
        }
        let provider = Arc::new(ring::default_provider());
        let algorithms = provider.signature_verification_algorithms;
        let accept = Arc::new(Accept { keys, algorithms });
        let versions = &[&rustls::version::TLS13];

        let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(versions)?
            .with_client_cert_verifier(Arc::clone(&accept) as Arc<dyn ClientCertVerifier>)
            .with_cert_resolver(Arc::new(rustls::server::AlwaysResolvesServerRawPublicKeys::new(
                Arc::clone(&own),
            )));
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(versions)?
            .dangerous()
            .with_custom_certificate_verifier(accept)
            .with_client_cert_resolver(Arc::new(
                rustls::client::AlwaysResolvesClientRawPublicKeys::new(own),
            ));
        client.alpn_protocols = vec![PROTOCOL.to_vec()];

        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(IDLE.try_into().ok());
        transport.max_concurrent_bidi_streams(0_u32.into());
        transport.max_concurrent_uni_streams(STREAMS.into());
        transport.stream_receive_window(STREAM_WINDOW.into());
        transport.receive_window(WINDOW.into());
        transport.send_window(WINDOW.into());
        transport.datagram_receive_buffer_size(Some(DATAGRAMS));
        transport.datagram_send_buffer_size(DATAGRAMS);
        // Messages are smaller than the least that every path carries.
        transport.mtu_discovery_config(None);
        let transport = Arc::new(transport);
        let mut server =
            quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(Arc::clone(&transport));
        let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let (open, deliver) = (Arc::default(), Arc::default());
        Ok(Self { network: Network { endpoint, open, deliver }, lines: Mutex::default() })
    }

    /// Receives messages until the process ends.
    pub async fn receive(&self, deliver: impl Fn(Envelope) + Send + Sync + 'static) {
        // Only the first receiver is told anything; a process has one.
        let _ = self.network.deliver.set(Arc::new(deliver));
        while let Some(incoming) = self.network.endpoint.accept().await {
            let network = self.network.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => network.serve(connection).await,
                    Err(error) => log::debug!(target: PEERS, "no connection came up: {error}"),
                }
            });
        }
    }

    /// Queues a message; drops it if the peer is too far behind.
    pub fn send(&self, address: SocketAddr, envelope: Envelope) {
        let mut lines = lock(&self.lines);
        let to = envelope.to;
        if lines.get(&to).is_some_and(|line| line.address != address || line.queue.is_closed()) {
            lines.remove(&to);
        }
        if !lines.contains_key(&to) {
            lines.retain(|_, line| !line.queue.is_closed());
        }
        let line = lines.entry(to).or_insert_with(|| {
            let (queue, waiting) = mpsc::channel(QUEUE);
            tokio::spawn(self.network.clone().pass_on(to, address, waiting));
            Line { address, queue }
        });
        if line.queue.try_send(envelope).is_err() {
            log::debug!(target: PEERS, "dropped a message to {to}");
        }
    }

    /// Drops the lines to peers that are gone.
    pub fn keep(&self, wanted: impl Fn(Incarnation) -> bool) {
        let mut lines = lock(&self.lines);
        lines.retain(|id, _| wanted(*id));
    }

    /// Closes all connections.
    pub async fn close(&self) {
        let endpoint = &self.network.endpoint;
        endpoint.close(0_u32.into(), b"stopping");
        let _ = tokio::time::timeout(Duration::from_millis(500), endpoint.wait_idle()).await;
    }
}

fn raw_key(key: &CertifiedKey) -> Vec<u8> {
    key.cert.first().map(|c| c.as_ref().to_vec()).unwrap_or_default()
}

/// Encodes a batch of messages.
#[must_use]
pub fn encode(batch: &[Envelope]) -> Vec<u8> {
    // Messages hold nothing that the encoding cannot express.
    postcard::to_stdvec(batch).unwrap_or_default()
}

/// Decodes a batch of messages.
///
/// # Errors
///
/// Refuses bytes that are not a batch.
pub fn decode(bytes: &[u8]) -> Result<Vec<Envelope>, postcard::Error> {
    postcard::from_bytes(bytes)
}

impl Network {
    /// Receives messages on a connection until it is closed, whoever opened it.
    async fn serve(self, connection: Connection) {
        let ended = loop {
            tokio::select! {
                stream = connection.accept_uni() => match stream {
                    Ok(mut stream) => {
                        let (network, connection) = (self.clone(), connection.clone());
                        tokio::spawn(async move {
                            // A batch whose sender went away is sent again or not needed.
                            if let Ok(bytes) = stream.read_to_end(MAX_BATCH).await {
                                network.take(&connection, &bytes);
                            }
                        });
                    }
                    Err(error) => break error,
                },
                datagram = connection.read_datagram() => match datagram {
                    Ok(bytes) => self.take(&connection, &bytes),
                    Err(error) => break error,
                },
            }
        };
        let address = connection.remote_address();
        log::debug!(target: PEERS, "connection with {address} ended: {ended}");
        lock(&self.open).retain(|_, open| open.stable_id() != connection.stable_id());
    }

    /// Hands on a batch, and notes whose connection it came on.
    fn take(&self, connection: &Connection, bytes: &[u8]) {
        let Some(deliver) = self.deliver.get() else {
            return;
        };
        match decode(bytes) {
            Ok(batch) => {
                if let Some(first) = batch.first() {
                    self.note(first.from, connection);
                }
                for envelope in batch {
                    deliver(envelope);
                }
            }
            Err(error) => log::warn!(target: PEERS, "dropped a batch: {error}"),
        }
    }

    fn note(&self, peer: Incarnation, connection: &Connection) {
        let mut open = lock(&self.open);
        let is_open = open.get(&peer).is_some_and(|c| c.close_reason().is_none());
        if !is_open {
            open.insert(peer, connection.clone());
        }
    }

    /// Sends what is queued for one peer until nothing has come for a while.
    async fn pass_on(
        self,
        to: Incarnation,
        address: SocketAddr,
        mut waiting: mpsc::Receiver<Envelope>,
    ) {
        let mut batch = Vec::new();
        loop {
            let received = waiting.recv_many(&mut batch, BATCH);
            match tokio::time::timeout(IDLE, received).await {
                Ok(count) if count > 0 => {}
                Ok(_) | Err(_) => return,
            }
            let Some(connection) = self.connection(to, address).await else {
                // Messages for a peer that cannot be reached are worth nothing later.
                batch.clear();
                tokio::time::sleep(PAUSE).await;
                while waiting.try_recv().is_ok() {}
                continue;
            };
            let (repeated, others): (Vec<_>, Vec<_>) =
                batch.drain(..).partition(|envelope| envelope.message.is_repeated());
            let unsent = send_datagram(&connection, repeated);
            let rest: Vec<_> = unsent.into_iter().chain(others).collect();
            if rest.is_empty() {
                continue;
            }
            if let Err(error) = send_stream(&connection, &rest).await {
                log::debug!(target: PEERS, "lost {} messages to {address}: {error}", rest.len());
            }
        }
    }

    /// Returns the connection with a peer, opening one if there is none.
    async fn connection(&self, to: Incarnation, address: SocketAddr) -> Option<Connection> {
        let open = lock(&self.open).get(&to).cloned();
        if let Some(connection) = open.filter(|c| c.close_reason().is_none()) {
            return Some(connection);
        }
        let connection = connect(&self.endpoint, address).await?;
        lock(&self.open).insert(to, connection.clone());
        tokio::spawn(self.clone().serve(connection.clone()));
        Some(connection)
    }
}

/// Sends messages that may be lost in one packet; returns those that do not fit.
fn send_datagram(connection: &Connection, batch: Vec<Envelope>) -> Vec<Envelope> {
    if batch.is_empty() {
        return batch;
    }
    let bytes = encode(&batch);
    let fits = connection.max_datagram_size().is_some_and(|most| bytes.len() <= most);
    if fits && connection.send_datagram(bytes.into()).is_ok() {
        return Vec::new();
    }
    batch
}

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

async fn connect(endpoint: &Endpoint, address: SocketAddr) -> Option<Connection> {
    let connecting = match endpoint.connect(address, "badgerfield") {
        Ok(connecting) => connecting,
        Err(error) => {
            log::warn!(target: PEERS, "cannot begin to connect to {address}: {error}");
            return None;
        }
    };
    match tokio::time::timeout(CONNECT, connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!(target: PEERS, "cannot reach {address}: {error}");
            None
        }
        Err(_) => {
            log::debug!(target: PEERS, "{address} did not answer in {CONNECT:?}");
            None
        }
    }
}
