//! Event streams: finds where events begin and end, and what their numbers are.
//!
//! The bytes are passed on as they are; only whole events leave the scanner, so that a
//! stream which breaks off in the middle of an event can go on elsewhere.
//! Source: the event stream format of the HTML standard, section 9.2.

use bytes::{Bytes, BytesMut};

/// The largest event that is kept until its end has come, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventScanner {
    rest: BytesMut,
    last: Option<u64>,
    events: u64,
}

impl EventScanner {
    /// Makes a scanner for a stream that goes on after an event.
    #[must_use]
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Takes bytes, and returns all whole events that are new.
    ///
    /// Events whose number is not above the last one were passed on before, by an
    /// earlier upstream, and are left out.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = event_end(&self.rest) {
            let event = self.rest.split_to(end);
            let number = event_number(&event);
            if number.is_some() && number <= self.last {
                continue;
            }
            if number.is_some() {
                self.last = number;
                self.events += 1;
            }
            whole.extend_from_slice(&event);
        }
        whole.freeze()
    }

    /// Returns what has come of an event that is not whole yet.
    #[must_use]
    pub fn partial_event(&self) -> &[u8] {
        &self.rest
    }

    /// Takes what has come of an event that is not whole.
    #[must_use]
    pub fn take_partial(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Drops what has come of an event that is not whole.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
    }

    /// Returns the number of the last whole event.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many numbered events were passed on.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.events
    }
}

/// Returns where the first event ends: behind the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = bytes.get(line_start..i)?;
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

/// Returns the number in an event's `id` field.
fn event_number(event: &[u8]) -> Option<u64> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
