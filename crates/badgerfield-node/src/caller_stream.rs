//! The connection of a caller, and how it is closed.
//!
//! A caller of HTTP/1.0 reads no chunks, so an answer without a length ends for it with the
//! connection. If that answer breaks off, the connection is reset: closed in order, it would look
//! like the end of a whole one.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Body;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Method, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::logs::NODE;

/// The answer of a connection that ends with it, if there is one. It is always the last.
#[derive(Debug, Default)]
pub(crate) struct LastAnswer {
    has_begun: AtomicBool,
    is_whole: AtomicBool,
}

impl LastAnswer {
    /// Records that the next answer ends with the connection.
    pub(crate) fn begin(&self) {
        self.has_begun.store(true, Ordering::Relaxed);
    }

    /// Records that the body has ended without an error.
    pub(crate) fn finish(&self) {
        self.is_whole.store(true, Ordering::Relaxed);
    }

    fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    fn is_whole(&self) -> bool {
        self.is_whole.load(Ordering::Relaxed)
    }
}

/// Returns whether the end of the connection is the end of a response, by RFC 9112, section 6.3.
pub(crate) fn ends_with_connection<B: Body>(
    version: Version,
    method: &Method,
    response: &Response<B>,
) -> bool {
    let status = response.status();
    let has_no_body = method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || response.body().is_end_stream();
    version < Version::HTTP_11 && !has_no_body && response.body().size_hint().exact().is_none()
}

/// The connection of a caller. It is reset when it is dropped within an answer that ends with it,
/// also by the end of the process.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TokioIo<TcpStream>,
    last_answer: Arc<LastAnswer>,
    /// Whether closing the socket resets the connection.
    resets: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, last_answer: Arc<LastAnswer>) -> Self {
        Self { stream: TokioIo::new(stream), last_answer, resets: false }
    }

    fn pinned(&mut self) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.stream)
    }

    /// Lets the socket reset the connection before the first byte of an answer that ends with it.
    fn prepare_write(&mut self) {
        if !self.resets && self.last_answer.has_begun() {
            self.set_resets(true);
        }
    }

    fn set_resets(&mut self, resets: bool) {
        self.resets = resets;
        // Closing a socket that lingers for no time discards what is unsent and resets.
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(self.stream.inner()).set_linger(linger) {
            log::warn!(target: NODE, "a connection may not end as its answer does: {error}");
        }
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        self.pinned().poll_read(context, buffer)
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.prepare_write();
        self.pinned().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        self.pinned().poll_flush(context)
    }

    /// Closes the sending half, unless an answer that ends with the connection is not whole.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.last_answer.has_begun() && !self.last_answer.is_whole() {
            return Poll::Ready(Ok(()));
        }
        if self.resets {
            // The operating system still sends what the caller has not received.
            self.set_resets(false);
        }
        self.pinned().poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.prepare_write();
        self.pinned().poll_write_vectored(context, parts)
    }
}
