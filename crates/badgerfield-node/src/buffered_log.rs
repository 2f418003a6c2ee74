//! A logger with a bounded buffer that never blocks the code that logs.
//!
//! Logging appends a line to the buffer. A dedicated thread writes the buffer to the sink, and only
//! this thread waits if the reader is slow. Lines that do not fit are dropped and counted; lines
//! about successful requests are dropped first.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use log::{Log, Metadata, Record};

use crate::logs::REQUESTS;
use crate::sync::lock;

/// The maximum number of bytes that are waiting to be written.
pub const MAX_PENDING_BYTES: usize = 256 * 1024;
/// The maximum number of waiting bytes up to which lines about successful requests are accepted.
/// Lines about failures are accepted up to [`MAX_PENDING_BYTES`].
const MAX_SUCCESS_BYTES: usize = MAX_PENDING_BYTES / 2;
/// The number of waiting bytes at which the buffer is written at once. If many requests end
/// together, their lines do not fit into the buffer until the next regular write.
const URGENT_BYTES: usize = MAX_SUCCESS_BYTES / 4;
/// The longest interval between writes of the buffer.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of bytes in one write, except for a single longer line. A pipe accepts up to
/// this size (`PIPE_BUF`) atomically; readers may truncate longer writes.
const MAX_WRITE_BYTES: usize = 4096;
/// The interval at which a flush checks whether the reader still reads. A reader that is stuck would
/// only delay the next start of the process.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum number of such intervals that a flush waits, for instance when the process exits:
/// 1.8 s, since the process has to end within the grace time of its stop.
const MAX_FLUSH_INTERVALS: usize = 6;

/// The number of lines dropped by all logs of this process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether the writer thread is writing bytes that it took from the buffer.
    is_writing: bool,
    /// Whether the buffer has to be written at once.
    is_urgent: bool,
    /// The number of completed writes to the sink.
    writes: u64,
}

impl Pending {
    fn is_busy(&self) -> bool {
        self.is_writing || !self.bytes.is_empty()
    }
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    /// Notified when the buffer has to be written at once.
    is_urgent: Condvar,
    /// Notified after each write of the buffer.
    writer_idle: Condvar,
}

/// A log that writes its lines to a sink through a buffer.
#[derive(Debug, Clone, Default)]
pub struct BufferedLog {
    shared: Arc<Shared>,
}

impl BufferedLog {
    /// Starts the thread that writes lines to a sink.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<Self> {
        let log = Self::default();
        let shared = Arc::clone(&log.shared);
        std::thread::Builder::new().name("log".into()).spawn(move || run_writer(&shared, sink))?;
        Ok(log)
    }

    /// Returns the number of bytes that are waiting to be written.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        lock(&self.shared.pending).bytes.len()
    }

    fn push(&self, line: &str, is_success_line: bool) {
        let mut pending = lock(&self.shared.pending);
        let max_bytes = if is_success_line { MAX_SUCCESS_BYTES } else { MAX_PENDING_BYTES };
        if pending.bytes.len() + line.len() >= max_bytes {
            pending.dropped += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        pending.bytes.extend_from_slice(line.as_bytes());
        pending.bytes.push(b'\n');
        if pending.bytes.len() >= URGENT_BYTES {
            pending.is_urgent = true;
            self.shared.is_urgent.notify_one();
        }
    }
}

impl Log for BufferedLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        let is_success_line = record.target() == REQUESTS && is_success(&line);
        self.push(&line, is_success_line);
    }

    /// Waits until the buffer is written, so that the last lines are not lost.
    ///
    /// Gives up after `MAX_FLUSH_INTERVALS`, or after one in which the reader accepted nothing.
    fn flush(&self) {
        let mut pending = lock(&self.shared.pending);
        pending.is_urgent = true;
        self.shared.is_urgent.notify_one();
        for _ in 0..MAX_FLUSH_INTERVALS {
            let writes = pending.writes;
            let waited =
                self.shared
                    .writer_idle
                    .wait_timeout_while(pending, FLUSH_CHECK_INTERVAL, |p| p.is_busy());
            pending = waited.unwrap_or_else(PoisonError::into_inner).0;
            if !pending.is_busy() || pending.writes == writes {
                return;
            }
        }
    }
}

/// Returns whether a line reports no failure: it has no outcome, or a successful one.
fn is_success(line: &str) -> bool {
    let Some((_, outcome)) = line.split_once("outcome=") else {
        return true;
    };
    outcome.starts_with("served") || outcome.starts_with("done")
}

/// Splits lines into batches, each for one write.
fn split_batches(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut remaining = bytes;
    std::iter::from_fn(move || {
        let mut length = 0;
        for line in remaining.split_inclusive(|byte| *byte == b'\n') {
            if length > 0 && length + line.len() > MAX_WRITE_BYTES {
                break;
            }
            length += line.len();
        }
        let (batch, next) = remaining.split_at(length);
        remaining = next;
        (!batch.is_empty()).then_some(batch)
    })
}

/// Waits until the buffer is to be written, and takes its bytes and the number of dropped lines.
fn wait_for_lines(shared: &Shared) -> (Vec<u8>, u64) {
    let pending = lock(&shared.pending);
    let waited =
        shared.is_urgent.wait_timeout_while(pending, WRITE_INTERVAL, |pending| !pending.is_urgent);
    let mut pending = waited.unwrap_or_else(PoisonError::into_inner).0;
    pending.is_urgent = false;
    pending.is_writing = true;
    (std::mem::take(&mut pending.bytes), std::mem::take(&mut pending.dropped))
}

fn run_writer(shared: &Shared, mut sink: impl Write) {
    loop {
        let (bytes, dropped) = wait_for_lines(shared);
        let mut refused = 0;
        for batch in split_batches(&bytes) {
            if sink.write_all(batch).is_err() {
                refused += count_lines(batch);
            }
            lock(&shared.pending).writes += 1;
        }
        DROPPED_LINES.fetch_add(refused, Ordering::Relaxed);
        let dropped = dropped + refused;
        let report = if dropped > 0 {
            writeln!(sink, "WARN  node: log lines dropped={dropped}")
        } else {
            Ok(())
        };
        // A report that fails is repeated after the next write.
        let is_reported = report.and_then(|()| sink.flush()).is_ok();
        finish_write(shared, if is_reported { 0 } else { dropped });
    }
}

/// Records that the writer has written what it took, and the dropped lines that are not reported.
fn finish_write(shared: &Shared, unreported: u64) {
    let mut pending = lock(&shared.pending);
    pending.is_writing = false;
    pending.dropped += unreported;
    shared.writer_idle.notify_all();
}

fn count_lines(batch: &[u8]) -> u64 {
    u64::try_from(batch.split_inclusive(|byte| *byte == b'\n').count()).unwrap_or(u64::MAX)
}
