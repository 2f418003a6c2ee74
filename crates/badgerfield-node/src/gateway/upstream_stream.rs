//! The TCP stream of a connection to an upstream. While it is watched, it records until when the
//! upstream had certainly not closed it.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use badgerfield_core::TICK_INTERVAL;
use badgerfield_core::amount::Time;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock::Clock;
use crate::sync::lock;

/// How long a reader may leave bytes unread and still count as keeping up with the upstream.
const MAX_READ_GAP: Duration = Duration::from_millis(5);
/// How long a reader that fell behind must keep up again. What a process had written before it
/// ended arrives within that time, and the end of the connection after it.
const SETTLING_TIME: Duration = Duration::from_millis(250);

/// Until when a connection was open, with all that the upstream had sent read.
#[derive(Debug)]
pub(crate) struct OpenTime {
    clock: Arc<Clock>,
    stream: Weak<TcpStream>,
    reading: Mutex<Reading>,
}

#[derive(Debug, Default)]
struct Reading {
    /// When the last request was sent.
    sent_at: Time,
    /// The time after which a stall of this process matters to the response.
    stable_from: Time,
    is_watched: bool,
    /// When bytes were read, until the reader asks for more.
    read_at: Option<Time>,
    /// From when on an empty socket counts; `None` while the reader is behind.
    settled_at: Option<Time>,
    last: OpenTimes,
    /// Why the connection has failed, if a check has found that out.
    failure: Option<ErrorKind>,
}

/// The last times at which a connection was certainly open; `None` if it never was.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OpenTimes {
    /// The last time.
    pub(crate) open: Option<Time>,
    /// The last time that data arrived. The path may hold back the end of a connection.
    pub(crate) data: Option<Time>,
}

impl Reading {
    /// Returns whether the reader keeps up with what arrives, and has for a while.
    fn is_settled(&self, now: Time) -> bool {
        self.settled_at.is_some_and(|at| at <= now)
    }
}

impl OpenTime {
    /// Records that a request is about to be sent.
    pub(crate) fn record_request(&self) {
        let now = self.clock.now();
        // The next tick records a stall that has just ended.
        let delay =
            if self.clock.has_stalled_since(now) { TICK_INTERVAL * 2 } else { Duration::ZERO };
        let mut reading = lock(&self.reading);
        reading.sent_at = now;
        reading.stable_from = now.after(delay);
    }

    /// Starts to watch the connection for the response to the last request.
    pub(crate) fn watch(&self) {
        {
            let mut reading = lock(&self.reading);
            reading.is_watched = true;
            reading.settled_at = Some(reading.sent_at);
        }
        self.sample();
    }

    /// Returns when the last request was sent.
    pub(crate) fn sent_at(&self) -> Time {
        lock(&self.reading).sent_at
    }

    /// Returns whether this process has been stalled since the last request was sent.
    pub(crate) fn has_stalled(&self) -> bool {
        self.clock.has_stalled_since(lock(&self.reading).stable_from)
    }

    /// Returns when the connection was last known to be open.
    pub(crate) fn last(&self) -> OpenTimes {
        lock(&self.reading).last
    }

    /// Checks whether the connection is open and empty now.
    ///
    /// After a suspension of this VM the end of the connection may still be on its way, so that
    /// nothing counts any more.
    pub(crate) fn sample(&self) {
        let now = self.clock.now();
        let mut reading = lock(&self.reading);
        if !reading.is_watched || self.is_unstable(&reading, now) {
            return;
        }
        match self.peek() {
            Some(ErrorKind::WouldBlock) => {}
            // The operating system reports it once, and the end of the connection from then on.
            Some(failure) => {
                reading.failure = Some(failure);
                return;
            }
            None => return,
        }
        reading.settled_at.get_or_insert(now.after(SETTLING_TIME));
        if reading.is_settled(now) {
            reading.last.open = Some(now);
        }
    }

    /// Looks for bytes that are left to read. Returns `None` if there are any, or the connection has
    /// ended; the error is [`ErrorKind::WouldBlock`] if it is open and empty.
    fn peek(&self) -> Option<ErrorKind> {
        let stream = self.stream.upgrade()?;
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*stream).peek(&mut byte).err().map(|error| error.kind())
    }

    /// Returns the error that a check has found, for the reader to which it belongs.
    fn take_failure(&self) -> Option<ErrorKind> {
        lock(&self.reading).failure.take()
    }

    /// Records that the reader asks for more bytes.
    fn record_poll(&self) {
        let mut reading = lock(&self.reading);
        let Some(read_at) = reading.read_at.take() else {
            return;
        };
        if self.clock.now().since(read_at) > MAX_READ_GAP {
            reading.settled_at = None;
        }
    }

    /// Returns whether the VM may have been suspended since the last request was sent.
    fn is_unstable(&self, reading: &Reading, now: Time) -> bool {
        now < reading.stable_from || self.clock.may_have_been_suspended_since(reading.stable_from)
    }

    /// Records that so many bytes were read; none are the end of the connection.
    fn record_read(&self, count: usize) {
        let mut reading = lock(&self.reading);
        if !reading.is_watched || count == 0 {
            return;
        }
        let now = self.clock.now();
        reading.read_at = Some(now);
        if reading.is_settled(now) && !self.is_unstable(&reading, now) {
            reading.last.data = Some(now);
        }
    }
}

/// The stream of a connection to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamStream {
    stream: Arc<TcpStream>,
    open_time: Arc<OpenTime>,
}

impl UpstreamStream {
    pub(crate) fn new(stream: TcpStream, clock: &Arc<Clock>) -> Self {
        let stream = Arc::new(stream);
        let open_time = OpenTime {
            clock: Arc::clone(clock),
            stream: Arc::downgrade(&stream),
            reading: Mutex::default(),
        };
        Self { stream, open_time: Arc::new(open_time) }
    }

    /// Returns the record of the time until which the connection was open.
    pub(crate) fn open_time(&self) -> Arc<OpenTime> {
        Arc::clone(&self.open_time)
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.open_time.record_poll();
        loop {
            let polled = self.stream.poll_read_ready(context);
            if polled.is_pending() {
                self.open_time.sample();
            }
            if let Some(failure) = self.open_time.take_failure() {
                return Poll::Ready(Err(failure.into()));
            }
            ready!(polled)?;
            let read = self.stream.try_read_buf(buffer);
            // A check may have found the failure since; then the read finds only the end.
            if let Some(failure) = self.open_time.take_failure() {
                return Poll::Ready(Err(failure.into()));
            }
            match read {
                Ok(count) => {
                    self.open_time.record_read(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let shutdown = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        Poll::Ready(match shutdown {
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(()),
            shutdown => shutdown,
        })
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
