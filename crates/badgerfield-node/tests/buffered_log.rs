//! The log buffer: a slow or blocked reader neither delays the code that logs nor uses unbounded
//! memory.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
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

/// Reads from a pipe at most this many bytes at a time.
const READ_BYTES: usize = 8192;

/// Starts a reader of a pipe that rests after each read. Returns the sink of the log, and the
/// thread that returns all text it has read once the sink is closed.
fn slow_pipe(rest: Duration) -> (io::PipeWriter, thread::JoinHandle<String>) {
    let (mut reader, writer) = io::pipe().expect("a pipe is created");
    let reading = thread::spawn(move || {
        let (mut read, mut buffer) = (Vec::new(), vec![0; READ_BYTES]);
        while let Ok(length @ 1..) = reader.read(&mut buffer) {
            read.extend_from_slice(&buffer[..length]);
            thread::sleep(rest);
        }
        String::from_utf8_lossy(&read).into_owned()
    });
    (writer, reading)
}

/// The sink of a process that ends: nothing is written after its end.
struct EndingSink {
    pipe: Option<io::PipeWriter>,
    ended: Arc<AtomicBool>,
}

impl Write for EndingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.ended.load(Ordering::Relaxed) {
            self.pipe = None;
        }
        let Some(pipe) = &mut self.pipe else {
            return Err(io::ErrorKind::BrokenPipe.into());
        };
        pipe.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn ended_line(n: usize, outcome: &str) -> String {
    let filler = "x".repeat(150);
    format!("ended id=p-{n:06} outcome={outcome} attempts=1 upstream=u-17 {filler}")
}

/// Fails if the lines of the last ended requests are lost at the end of a process because the log
/// collector reads slowly: it reads 400 KB/s, and the buffer holds nearly all it may.
#[test]
fn lines_of_ended_requests_reach_a_slow_reader_before_the_end() {
    let (pipe, reading) = slow_pipe(Duration::from_millis(20));
    let ended = Arc::new(AtomicBool::new(false));
    let sink = EndingSink { pipe: Some(pipe), ended: Arc::clone(&ended) };
    let buffer = BufferedLog::start(sink).expect("the thread starts");
    let mut lines = 0;
    while buffer.pending_bytes() + 300 < MAX_PENDING_BYTES {
        log(&buffer, REQUESTS, &ended_line(lines, "broken_off status=502"));
        lines += 1;
    }
    let started = Instant::now();
    buffer.flush();
    let waited = started.elapsed();
    ended.store(true, Ordering::Relaxed);
    // Makes the writer notice the end.
    log(&buffer, NODE, "after the end");
    let text = reading.join().expect("the reader ends");
    assert_eq!(text.matches("ended id=").count(), lines);
    assert!(waited < Duration::from_secs(2), "{waited:?}");
}

/// Fails if a reader that reads nothing holds the end of a process.
#[test]
fn blocked_reader_does_not_hold_the_end() {
    let buffer = BufferedLog::start(BlockedSink).expect("the thread starts");
    log(&buffer, NODE, "first");
    let started = Instant::now();
    buffer.flush();
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
}

/// Fails if lines of requests that all end within the last 100 ms are dropped though the reader is
/// quick: 2,000 connections may be open at a VM.
#[test]
fn requests_that_end_at_once_all_have_their_lines() {
    const OPEN_REQUESTS: usize = 2000;
    let (sink, writes) = channel();
    let buffer = BufferedLog::start(ChannelSink(sink)).expect("the thread starts");
    for n in 0..OPEN_REQUESTS {
        log(&buffer, REQUESTS, &ended_line(n, "served status=200"));
        if n % 20 == 19 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    buffer.flush();
    assert_eq!(text(&writes).matches("ended id=").count(), OPEN_REQUESTS);
}

/// A sink that cannot take the first writes.
struct FailingSink {
    fails: usize,
    writes: Sender<Vec<u8>>,
}

impl Write for FailingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.fails > 0 {
            self.fails -= 1;
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.writes.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails if lines that the sink does not take are missing and no line tells of it.
#[test]
fn lines_that_the_sink_refuses_are_counted() {
    let (writes, read) = channel();
    let buffer = BufferedLog::start(FailingSink { fails: 1, writes }).expect("the thread starts");
    log(&buffer, NODE, "one");
    log(&buffer, NODE, "two");
    buffer.flush();
    assert!(text(&read).contains("log lines dropped=2"));
}
