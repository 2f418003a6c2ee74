//! Messages between the processes of the fleet over QUIC with mutual authentication.
//!
//! Each process authenticates itself with a raw public key (RFC 7250) derived from the fleet
//! secret in its settings. A peer with an unknown key is refused in the handshake. Messages
//! may be lost: a sender that needs a reply repeats its message.

pub(crate) mod calls;
mod sender;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::Envelope;
use quinn::congestion::CubicConfig;
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

use self::calls::CallHandler;
use self::sender::PeerSender;
use crate::clock::{Clock, SystemClocks};
use crate::logs::PEERS;
use crate::sync::lock;

/// Maximum size of a batch of messages.
const MAX_BATCH_BYTES: usize = 4_000_000;
/// Maximum number of messages queued for one peer; further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 256;
/// Timeout for opening a connection. The replies of a VM whose link is full of answers to callers
/// wait for more than a second; messages to it are dropped if its handshake is given up earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the next attempt to connect to an unreachable peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Time without messages in either direction after which a connection is closed. Heartbeats keep the
/// connections between neighbours open.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without any packet from the peer after which a connection is given up. While the link of a
/// VM is full, it receives but none of its packets may get through, nor could a new connection be
/// opened. A member that is silent for longer is removed from the view.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Flow-control window of one stream. Most messages have 100 B; the largest, a complete set of
/// templates, takes several round trips. This constant and the ones below limit the memory that
/// is bound by a peer that does not read.
const STREAM_WINDOW_BYTES: u32 = 128 << 10;
/// Flow-control window of all streams of a connection together.
const CONNECTION_WINDOW_BYTES: u32 = 512 << 10;
/// Maximum number of streams, one batch each, that a peer may have open at once. A stream counts
/// until its end is acknowledged, so this is the number of batches to a VM in the seconds in which
/// its acknowledgements wait or are lost at its full link. Each stream that a peer may open takes
/// some 30 bytes, whether or not it is used.
const MAX_STREAMS: u32 = 256;
/// Maximum number of calls that a peer may have open at once on one connection.
const MAX_CALLS: u32 = 64;
/// Initial congestion window: the messages to one VM in the seconds in which its acknowledgements
/// wait or are lost. With a smaller one, what others tell the VM would wait for its full link too.
const INITIAL_WINDOW_BYTES: u64 = 128 << 10;
/// Size of the send buffer and of the receive buffer for datagrams, which carry heartbeats and
/// other repeated messages. A full buffer drops the oldest datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 16 << 10;
/// The ALPN protocol name.
const ALPN_PROTOCOL: &[u8] = b"badgerfield/1";
/// The bytes before the seed of an Ed25519 key in PKCS #8 (RFC 8410).
const PKCS8_PREFIX: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// Why the endpoint for peers cannot be set up.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No key can be derived from the secret.
    #[error(
        "cannot derive a key from the fleet secret; create another with `badgerfield key --fleet`"
    )]
    Secret,
    /// The TLS configuration is invalid.
    #[error("cannot set up the handshake: {0}")]
    Handshake(#[from] rustls::Error),
    /// The TLS configuration has no cipher suite for QUIC's initial packets.
    #[error("cannot set up the handshake: {0}")]
    Cipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// The socket cannot be bound to its address.
    #[error("cannot listen for peers: {0}")]
    Listen(#[from] std::io::Error),
}

/// The secret shared by all processes of a fleet: 32 bytes, written as 64 hexadecimal digits.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetSecret([u8; 32]);

/// The error for a text that is not a fleet secret.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected 64 hexadecimal digits; create them with `badgerfield key --fleet`")]
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
    /// Derives the Ed25519 key pair from the secret.
    fn derive_key(&self) -> Result<CertifiedKey, PeerError> {
        let mut der = PKCS8_PREFIX.to_vec();
        der.extend_from_slice(&self.0);
        let key = ring::sign::any_eddsa_type(&PrivatePkcs8KeyDer::from(der));
        let key = key.map_err(|_| PeerError::Secret)?;
        let public = key.public_key().ok_or(PeerError::Secret)?;
        let raw = CertificateDer::from(public.as_ref().to_vec());
        Ok(CertifiedKey::new(vec![raw], key))
    }
}

/// Verifies that the raw public key of a peer belongs to the fleet.
#[derive(Debug)]
struct FleetKeyVerifier {
    keys: Vec<Vec<u8>>,
    algorithms: WebPkiSupportedAlgorithms,
}

impl FleetKeyVerifier {
    fn check(&self, key: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        if self.keys.iter().any(|k| k == key.as_ref()) {
            return Ok(());
        }
        log::warn!(target: PEERS, "refused a peer: its public key does not match the fleet secret");
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

impl ServerCertVerifier for FleetKeyVerifier {
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

impl ClientCertVerifier for FleetKeyVerifier {
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
    peers: Mutex<HashMap<Incarnation, Peer>>,
}

/// Callback for received messages.
type MessageHandler = Arc<dyn Fn(Envelope) + Send + Sync>;

/// The connections of this process. Each is used in both directions, whichever side opened it.
#[derive(Clone)]
struct Network {
    endpoint: Endpoint,
    /// Keyed by incarnation: a process that restarts on a VM has the address of its predecessor
    /// but not its connections.
    connections: Arc<Mutex<HashMap<Incarnation, OpenConnection>>>,
    handler: Arc<OnceLock<MessageHandler>>,
    /// The connections on which this process calls peers.
    call_connections: Arc<Mutex<HashMap<Incarnation, OpenConnection>>>,
    call_handler: Arc<OnceLock<CallHandler>>,
    clock: Arc<Clock>,
}

/// A connection with a peer.
#[derive(Debug)]
struct OpenConnection {
    connection: Connection,
    /// When it was last used to send messages.
    used_at: Time,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").field("endpoint", &self.endpoint).finish_non_exhaustive()
    }
}

/// A peer that messages are sent to.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// The messages to be sent.
    queue: mpsc::Sender<Envelope>,
}

impl PeerTransport {
    /// Binds the endpoint that accepts connections from peers and opens connections to them.
    ///
    /// # Errors
    ///
    /// Fails if no key can be derived from a secret, or the address is in use.
    pub fn listen(
        address: SocketAddr,
        secret: &FleetSecret,
        accepted: &[FleetSecret],
    ) -> Result<Self, PeerError> {
        let own_key = Arc::new(secret.derive_key()?);
        let mut keys = vec![raw_key(&own_key)];
        for other in accepted {
            keys.push(raw_key(&other.derive_key()?));
        }
        let provider = Arc::new(ring::default_provider());
        let algorithms = provider.signature_verification_algorithms;
        let verifier = Arc::new(FleetKeyVerifier { keys, algorithms });
        let versions = &[&rustls::version::TLS13];

        let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(versions)?
            .with_client_cert_verifier(Arc::clone(&verifier) as Arc<dyn ClientCertVerifier>)
            .with_cert_resolver(Arc::new(rustls::server::AlwaysResolvesServerRawPublicKeys::new(
                Arc::clone(&own_key),
            )));
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(versions)?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_cert_resolver(Arc::new(
                rustls::client::AlwaysResolvesClientRawPublicKeys::new(own_key),
            ));
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];

        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(SILENCE_TIMEOUT.try_into().ok());
        transport.max_concurrent_bidi_streams(MAX_CALLS.into());
        transport.max_concurrent_uni_streams(MAX_STREAMS.into());
        transport.stream_receive_window(STREAM_WINDOW_BYTES.into());
        transport.receive_window(CONNECTION_WINDOW_BYTES.into());
        transport.send_window(CONNECTION_WINDOW_BYTES.into());
        transport.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
        transport.datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
        let mut congestion = CubicConfig::default();
        congestion.initial_window(INITIAL_WINDOW_BYTES);
        transport.congestion_controller_factory(Arc::new(congestion));
        // No path MTU discovery: messages fit into the minimum MTU of QUIC, which every path has.
        transport.mtu_discovery_config(None);
        let transport = Arc::new(transport);
        let mut server =
            quinn::ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(Arc::clone(&transport));
        let mut client = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let (connections, handler) = (Arc::default(), Arc::default());
        let (call_connections, call_handler) = (Arc::default(), Arc::default());
        let clock = Arc::new(Clock::new(Box::new(SystemClocks)));
        let network =
            Network { endpoint, connections, handler, call_connections, call_handler, clock };
        Ok(Self { network, peers: Mutex::default() })
    }

    /// Passes received messages to a handler until the endpoint is closed.
    pub async fn receive(&self, handler: impl Fn(Envelope) + Send + Sync + 'static) {
        // Only the first handler is used; a process sets one.
        let _ = self.network.handler.set(Arc::new(handler));
        while let Some(incoming) = self.network.endpoint.accept().await {
            let network = self.network.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => network.serve(connection).await,
                    Err(error) => log::debug!(target: PEERS, "incoming connection failed: {error}"),
                }
            });
        }
    }

    /// Queues a message; drops it if the queue of its receiver is full.
    pub fn send(&self, address: SocketAddr, envelope: Envelope) {
        let mut peers = lock(&self.peers);
        let to = envelope.to;
        if peers.get(&to).is_some_and(|peer| peer.address != address || peer.queue.is_closed()) {
            peers.remove(&to);
        }
        if !peers.contains_key(&to) {
            peers.retain(|_, peer| !peer.queue.is_closed());
        }
        let peer = peers.entry(to).or_insert_with(|| {
            let (queue, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
            tokio::spawn(PeerSender::new(self.network.clone(), to, address).run(receiver));
            Peer { address, queue }
        });
        if peer.queue.try_send(envelope).is_err() {
            log::debug!(target: PEERS, "dropped a message to {to}");
        }
    }

    /// Closes the queues of all peers that do not satisfy a predicate.
    pub fn retain_peers(&self, is_wanted: impl Fn(Incarnation) -> bool) {
        let mut peers = lock(&self.peers);
        peers.retain(|id, _| is_wanted(*id));
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
    // Encoding cannot fail: messages have no field that postcard cannot encode.
    postcard::to_stdvec(batch).unwrap_or_default()
}

/// Decodes a batch of messages.
///
/// # Errors
///
/// Fails if the bytes are not an encoded batch.
pub fn decode(bytes: &[u8]) -> Result<Vec<Envelope>, postcard::Error> {
    postcard::from_bytes(bytes)
}

impl Network {
    /// Receives messages on a connection, whichever side opened it, until it is closed or neither
    /// side uses it.
    async fn serve(self, connection: Connection) {
        let active_calls = Arc::new(());
        let error = loop {
            tokio::select! {
                () = tokio::time::sleep(UNUSED_TIMEOUT) => {
                    let has_calls = Arc::strong_count(&active_calls) > 1;
                    if !has_calls && !self.is_sending_on(&connection) {
                        connection.close(0_u32.into(), b"unused");
                    }
                }
                call = connection.accept_bi() => match call {
                    Ok((send, receive)) => self.handle_call(send, receive, &active_calls),
                    Err(error) => break error,
                },
                stream = connection.accept_uni() => match stream {
                    Ok(mut stream) => {
                        let (network, connection) = (self.clone(), connection.clone());
                        tokio::spawn(async move {
                            // A batch that is cut off is sent again if it is still needed.
                            if let Ok(bytes) = stream.read_to_end(MAX_BATCH_BYTES).await {
                                network.receive_batch(&connection, &bytes);
                            }
                        });
                    }
                    Err(error) => break error,
                },
                datagram = connection.read_datagram() => match datagram {
                    Ok(bytes) => self.receive_batch(&connection, &bytes),
                    Err(error) => break error,
                },
            }
        };
        let address = connection.remote_address();
        log::debug!(target: PEERS, "connection with {address} closed: {error}");
        let id = connection.stable_id();
        lock(&self.connections).retain(|_, open| open.connection.stable_id() != id);
    }

    /// Returns whether messages were sent on a connection recently.
    fn is_sending_on(&self, connection: &Connection) -> bool {
        let (id, now) = (connection.stable_id(), self.clock.now());
        lock(&self.connections)
            .values()
            .any(|open| open.connection.stable_id() == id && open.is_used(now))
    }

    /// Passes the messages of a batch to the handler and records which peer the connection
    /// belongs to.
    fn receive_batch(&self, connection: &Connection, bytes: &[u8]) {
        let Some(handler) = self.handler.get() else {
            return;
        };
        match decode(bytes) {
            Ok(batch) => {
                if let Some(first) = batch.first() {
                    self.record_connection(first.from, connection);
                }
                for envelope in batch {
                    handler(envelope);
                }
            }
            Err(error) => log::warn!(target: PEERS, "dropped an invalid batch: {error}"),
        }
    }

    /// Records the connection with a peer unless it has an open connection already.
    fn record_connection(&self, peer: Incarnation, connection: &Connection) {
        let mut connections = lock(&self.connections);
        if connections.get(&peer).is_none_or(OpenConnection::is_closed) {
            connections.insert(peer, self.open_connection(connection));
        }
    }

    fn open_connection(&self, connection: &Connection) -> OpenConnection {
        OpenConnection { connection: connection.clone(), used_at: self.clock.now() }
    }

    /// Returns the open connection with a peer, or opens one.
    async fn get_or_connect(
        &self,
        to: Incarnation,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let (connection, is_new) = self.connect_in(&self.connections, to, address).await?;
        if is_new {
            tokio::spawn(self.clone().serve(connection.clone()));
        }
        Ok(connection)
    }

    /// Returns the open connection with a peer among `connections`, or opens one. Also returns
    /// whether it is new.
    async fn connect_in(
        &self,
        connections: &Mutex<HashMap<Incarnation, OpenConnection>>,
        to: Incarnation,
        address: SocketAddr,
    ) -> Result<(Connection, bool), ConnectError> {
        if let Some(open) = lock(connections).get_mut(&to).filter(|open| !open.is_closed()) {
            open.used_at = self.clock.now();
            return Ok((open.connection.clone(), false));
        }
        let connection = connect(&self.endpoint, address).await?;
        let mut open = lock(connections);
        open.retain(|_, open| !open.is_closed());
        open.insert(to, self.open_connection(&connection));
        Ok((connection, true))
    }
}

impl OpenConnection {
    fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    fn is_used(&self, now: Time) -> bool {
        now.since(self.used_at) < UNUSED_TIMEOUT
    }
}

/// Why a connection to a peer could not be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The connection cannot be started.
    #[error(transparent)]
    Start(#[from] quinn::ConnectError),
    /// The handshake failed.
    #[error(transparent)]
    Handshake(#[from] quinn::ConnectionError),
    /// The handshake did not end in time.
    #[error("no answer within {CONNECT_TIMEOUT:?}")]
    TimedOut,
}

/// Opens a connection.
async fn connect(endpoint: &Endpoint, address: SocketAddr) -> Result<Connection, ConnectError> {
    let connecting = endpoint.connect(address, "badgerfield")?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(connection) => Ok(connection?),
        Err(_) => Err(ConnectError::TimedOut),
    }
}
