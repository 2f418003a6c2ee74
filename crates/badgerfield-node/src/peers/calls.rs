//! Calls between peers: a request and its response on a stream of their own.
//!
//! Calls use connections of their own, so that a response that its receiver reads slowly does not
//! use up the flow-control window of other messages. Dropping either half of a stream cancels the
//! call at the other end.

use std::net::SocketAddr;
use std::sync::Arc;

use badgerfield_core::ids::Incarnation;
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::{ConnectError, Network, PeerTransport};

/// Handles the stream of a call from a peer.
pub(super) type CallHandler = Arc<dyn Fn(CallStream) + Send + Sync>;

/// The stream of a call. If it is dropped before it is completed, the other end sees an error: a part
/// of a response must not look like a whole one.
#[derive(Debug)]
pub(crate) struct CallStream {
    pub(crate) send: SendStream,
    pub(crate) receive: RecvStream,
    is_completed: bool,
    /// Keeps the connection open.
    _active: Arc<()>,
}

impl CallStream {
    fn new(send: SendStream, receive: RecvStream, active: Arc<()>) -> Self {
        Self { send, receive, is_completed: false, _active: active }
    }

    /// Sends the last frame.
    pub(crate) async fn answer<T: Serialize>(mut self, value: &T) -> Result<(), CallError> {
        write_frame(&mut self.send, value).await?;
        self.complete().await;
        Ok(())
    }

    /// Ends the stream, and waits until the other end has received all of it.
    pub(crate) async fn complete(mut self) {
        self.is_completed = true;
        // Both fail only if the other end has withdrawn the call.
        let _ = self.send.finish();
        let _ = self.send.stopped().await;
    }

    /// Ends the stream with an error.
    pub(crate) fn abort(mut self, code: u32) {
        self.is_completed = true;
        let _ = self.send.reset(code.into());
    }
}

impl Drop for CallStream {
    fn drop(&mut self) {
        if !self.is_completed {
            let _ = self.send.reset(ABANDONED_CODE.into());
        }
    }
}

/// The error code with which an abandoned stream is reset.
const ABANDONED_CODE: u32 = 0;

/// Why a call failed.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error(transparent)]
    Connection(#[from] quinn::ConnectionError),
    #[error(transparent)]
    Write(#[from] quinn::WriteError),
    #[error(transparent)]
    Read(#[from] quinn::ReadExactError),
    #[error(transparent)]
    Format(#[from] postcard::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("expected a frame of at most {max} bytes, found {size}")]
    TooLarge { size: usize, max: usize },
}

impl PeerTransport {
    /// Starts a call to a peer.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened.
    pub(crate) async fn call(
        &self,
        to: Incarnation,
        address: SocketAddr,
    ) -> Result<CallStream, CallError> {
        let network = &self.network;
        let (connection, _) = network.connect_in(&network.call_connections, to, address).await?;
        let (send, receive) = connection.open_bi().await?;
        Ok(CallStream::new(send, receive, Arc::default()))
    }

    /// Sets the handler of calls from peers. Only the first one is used.
    pub(crate) fn set_call_handler(&self, handler: impl Fn(CallStream) + Send + Sync + 'static) {
        let _ = self.network.call_handler.set(Arc::new(handler));
    }
}

impl Network {
    /// Passes the stream of a call to the handler. The connection stays open until the clones of
    /// `active` are dropped.
    pub(super) fn handle_call(&self, send: SendStream, receive: RecvStream, active: &Arc<()>) {
        // Without a handler the call is cancelled.
        if let Some(handler) = self.call_handler.get() {
            handler(CallStream::new(send, receive, Arc::clone(active)));
        }
    }
}

/// Writes a value with its length.
pub(crate) async fn write_frame<T: Serialize>(
    send: &mut SendStream,
    value: &T,
) -> Result<(), CallError> {
    let bytes = postcard::to_stdvec(value)?;
    let size = u32::try_from(bytes.len())
        .map_err(|_| CallError::TooLarge { size: bytes.len(), max: u32::MAX as usize })?;
    send.write_all(&size.to_be_bytes()).await?;
    send.write_all(&bytes).await?;
    Ok(())
}

/// Reads a value with its length, which may be `max` bytes.
pub(crate) async fn read_frame<T: DeserializeOwned>(
    receive: &mut RecvStream,
    max: usize,
) -> Result<T, CallError> {
    let mut length = [0; 4];
    receive.read_exact(&mut length).await?;
    let size = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if size > max {
        return Err(CallError::TooLarge { size, max });
    }
    let mut bytes = vec![0; size];
    receive.read_exact(&mut bytes).await?;
    Ok(postcard::from_bytes(&bytes)?)
}
