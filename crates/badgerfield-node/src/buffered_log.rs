//! Lines of the log on their way out: bounded, and never waited for.
//!
//! Whoever logs puts a line into a buffer and goes on. A thread of its own writes the
//! buffer out; only it waits when the reader is slow. What does not fit is dropped and
//! counted, lines about requests that went well first.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use log::{Log, Metadata, Record};

use crate::logs::REQUESTS;
use crate::sync::lock;

/// The most bytes that wait to be written.
pub const MAX_PENDING_BYTES: usize = 256 * 1024;
/// From how many waiting bytes on lines about requests that went well are dropped.
const CROWDED: usize = MAX_PENDING_BYTES / 2;
/// How often the buffer is written out.
const PACE: Duration = Duration::from_millis(100);
/// The most bytes that are written at once, but for a longer line: as many as a pipe takes whole
/// (`PIPE_BUF`). Readers may cut what is longer.
const AT_ONCE: usize = 4096;
/// How long the end of the process waits for the last lines.
const LAST_LINES: Duration = Duration::from_millis(300);

/// How many lines all logs of this process dropped.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the start.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether the writer is at work on bytes that it took.
    writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    written: Condvar,
}

/// A log whose lines go to a sink through a buffer.
#[derive(Debug, Clone, Default)]
pub struct BufferedLog {
    shared: Arc<Shared>,
}

impl BufferedLog {
    /// Starts the thread that writes lines to a sink.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(sink: impl Write + Send + 'static) -> std::io::Result<Self> {
        let lines = Self::default();
        let shared = Arc::clone(&lines.shared);
        std::thread::Builder::new().name("log".into()).spawn(move || write_out(&shared, sink))?;
        Ok(lines)
    }

    /// Returns how many bytes wait to be written.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        lock(&self.shared.waiting).bytes.len()
    }

    fn push(&self, line: &str, good: bool) {
        let mut waiting = lock(&self.shared.waiting);
        let most = if good { CROWDED } else { MAX_PENDING_BYTES };
        if waiting.bytes.len() + line.len() >= most {
            waiting.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return;
        }
        waiting.bytes.extend_from_slice(line.as_bytes());
        waiting.bytes.push(b'\n');
    }
}

impl Log for BufferedLog {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        let good = record.target() == REQUESTS && went_well(&line);
        self.push(&line, good);
    }

    /// Waits a moment for what is in the buffer, so that the last lines are not lost.
    fn flush(&self) {
        let waiting = lock(&self.shared.waiting);
        let busy = |w: &mut Waiting| w.writing || !w.bytes.is_empty();
        // A reader that is too slow for this loses the last lines.
        let _ = self.shared.written.wait_timeout_while(waiting, LAST_LINES, busy);
    }
}

/// Tells whether a line is about a request that went well, as far as it says.
fn went_well(line: &str) -> bool {
    let Some((_, outcome)) = line.split_once("outcome=") else {
        return true;
    };
    outcome.starts_with("served") || outcome.starts_with("done")
}

/// Divides lines into batches that are written at once.
fn batches(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let mut count = 0;
        for line in rest.split_inclusive(|byte| *byte == b'\n') {
            if count > 0 && count + line.len() > AT_ONCE {
                break;
            }
            count += line.len();
        }
        let (batch, later) = rest.split_at(count);
        rest = later;
        (!batch.is_empty()).then_some(batch)
    })
}

fn write_out(shared: &Shared, mut sink: impl Write) {
    loop {
        std::thread::sleep(PACE);
        let (bytes, dropped) = {
            let mut waiting = lock(&shared.waiting);
            waiting.writing = true;
            (std::mem::take(&mut waiting.bytes), std::mem::take(&mut waiting.dropped))
        };
        for lines in batches(&bytes) {
            // A sink that fails cannot be told about anywhere.
            let _ = sink.write_all(lines);
        }
        if dropped > 0 {
            let _ = writeln!(sink, "WARN  node: log lines dropped={dropped}");
        }
        let _ = sink.flush();
        lock(&shared.waiting).writing = false;
        shared.written.notify_all();
    }
}
