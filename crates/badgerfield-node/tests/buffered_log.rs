//! The log buffer: a slow or blocked reader neither delays the code that logs nor uses unbounded
//! memory.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use badgerfield_node::buffered_log::{BufferedLog, MAX_PENDING_BYTES, dropped_lines};
use badgerfield_node::logs::{NODE, REQUESTS};
use log::{Log, Record};

/// A sink that blocks on every write.
struct BlockedSink;

impl Write for BlockedSink {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A sink that sends the bytes of each write to a channel.
struct ChannelSink(Sender<Vec<u8>>);

impl Write for ChannelSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(buffer: &BufferedLog, target: &str, text: &str) {
    buffer.log(&Record::builder().target(target).args(format_args!("{text}")).build());
}

fn text(writes: &Receiver<Vec<u8>>) -> String {
    let bytes: Vec<u8> = writes.try_iter().flatten().collect();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Fails if logging waits for a blocked reader, or if the buffer grows beyond its bound.
#[test]
fn blocked_reader_does_not_delay_logging() {
    let buffer = BufferedLog::start(BlockedSink).expect("the thread starts");
    log(&buffer, NODE, "first");
    std::thread::sleep(Duration::from_millis(250));
    let (before, started) = (dropped_lines(), Instant::now());
    for n in 0..100_000 {
        log(&buffer, REQUESTS, &format!("ended id={n} outcome=broken_off status=502"));
    }
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(buffer.pending_bytes() <= MAX_PENDING_BYTES);
    assert!(dropped_lines() > before);
}

/// Fails if a write is larger than a pipe accepts atomically, or ends within a line.
///
/// Half of the lines were missing at a VM with 900 requests in two seconds: the log wrote 9 to 20
/// KB at a time, ten times a second, and the log collector read only 8 KB of each write.
#[test]
fn each_write_is_whole_lines_that_fit_a_pipe() {
    let (sink, writes) = channel();
    let buffer = BufferedLog::start(ChannelSink(sink)).expect("the thread starts");
    let longest = "x".repeat(6000);
    for n in 0..500 {
        let text =
            if n == 250 { longest.clone() } else { format!("admitted id={n} route=r account=a") };
        log(&buffer, REQUESTS, &text);
    }
    buffer.flush();
    let written: Vec<_> = writes.try_iter().collect();
    let all: Vec<u8> = written.concat();
    assert_eq!(String::from_utf8_lossy(&all).lines().count(), 500);
    for bytes in written {
        assert_eq!(bytes.last(), Some(&b'\n'));
        assert!(bytes.len() <= 4096 || bytes.len() == longest.len() + 1, "{} bytes", bytes.len());
    }
}

/// Fails if lines about successful requests fill the buffer so far that lines about failures are
/// dropped.
#[test]
fn success_lines_are_dropped_before_failure_lines() {
    let buffer = BufferedLog::start(BlockedSink).expect("the thread starts");
    log(&buffer, NODE, "first");
    std::thread::sleep(Duration::from_millis(250));
    for n in 0..10_000 {
        log(&buffer, REQUESTS, &format!("ended id={n} outcome=served status=200"));
    }
    let success_bytes = buffer.pending_bytes();
    assert!(success_bytes < MAX_PENDING_BYTES / 2 + 100);
    log(&buffer, REQUESTS, "ended id=x outcome=budget_held status=503");
    assert!(buffer.pending_bytes() > success_bytes);
}

/// Fails if lines are lost, joined or reordered on the way to the sink.
#[test]
fn lines_are_written_whole_and_in_order() {
    let (sink, writes) = channel();
    let buffer = BufferedLog::start(ChannelSink(sink)).expect("the thread starts");
    log(&buffer, NODE, "one");
    log(&buffer, REQUESTS, "two");
    buffer.flush();
    assert_eq!(text(&writes), "one\ntwo\n");
}
