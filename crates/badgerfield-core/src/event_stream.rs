//! Event streams: finds the boundaries and the numeric ids of events.
//!
//! The scanner forwards the bytes unchanged, but only complete events, so that a stream that breaks
//! off within an event can resume at another upstream.
//! The format is specified in the HTML standard, section 9.2 (server-sent events).

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The maximum size of an event that is buffered until it is complete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into complete events, and finds out whether it can be whole.
#[derive(Debug, Default)]
pub struct EventScanner {
    partial: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
    /// The greatest id of an event of the current source.
    source_id: Option<u64>,
    /// Whether the current source must continue an event that an earlier one had begun.
    owes_event: bool,
    /// Whether an event had a smaller id than one before it from the same source.
    has_fallen_back: bool,
    /// Whether an event without an id has arrived.
    has_unnumbered: bool,
}

/// Why a stream whose source has ended in good order is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamFault {
    /// It ends within an event.
    #[error("ends within an event")]
    PartialEvent,
    /// Its source has sent events, but not all that had arrived before.
    #[error("ends before an event that has arrived")]
    EndsEarly,
    /// It was broken off within an event that its source does not contain.
    #[error("lacks an event that had begun")]
    MissingEvent,
}

impl EventScanner {
    /// Creates a scanner for a stream that resumes after the event with this id.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends bytes and returns all new complete events.
    ///
    /// Events whose id is not greater than the last one are skipped: they were already received
    /// from an earlier upstream. None is returned from the one on whose id is smaller than that of
    /// the event before it.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            if id.is_some() && id < self.source_id {
                self.has_fallen_back = true;
                self.partial.clear();
                break;
            }
            self.source_id = self.source_id.max(id);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            if id.is_some() {
                self.last_id = id;
                self.event_count += 1;
                self.owes_event = false;
            } else {
                self.has_unnumbered |= has_content(&event);
            }
            complete.extend_from_slice(&event);
        }
        complete.freeze()
    }

    /// Prepares for events of another source, which resumes the stream. Discards an incomplete event.
    pub fn start_source(&mut self) {
        self.owes_event |= has_content(&self.partial);
        self.partial.clear();
        self.source_id = None;
    }

    /// Returns whether a source went back to an earlier event.
    #[must_use]
    pub fn has_fallen_back(&self) -> bool {
        self.has_fallen_back
    }

    /// Returns whether another source can continue the stream. It cannot if an event has arrived
    /// after which it cannot be told to continue.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered && !self.has_fallen_back
    }

    /// Checks that the stream can be whole if it ends now.
    ///
    /// # Errors
    ///
    /// Fails if the events show that it is not.
    pub fn check_end(&self) -> Result<(), StreamFault> {
        if has_content(&self.partial) {
            Err(StreamFault::PartialEvent)
        } else if self.source_id.is_some() && self.source_id < self.last_id {
            Err(StreamFault::EndsEarly)
        } else if self.owes_event {
            Err(StreamFault::MissingEvent)
        } else {
            Ok(())
        }
    }

    /// Returns the received bytes of an incomplete event.
    #[must_use]
    pub fn partial_event(&self) -> &[u8] {
        &self.partial
    }

    /// Removes and returns the received bytes of an incomplete event.
    #[must_use]
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of forwarded events that have an id.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

/// Returns the end of the first event, which is the offset after its final empty line.
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

/// Returns whether the lines of an event are more than comments.
fn has_content(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the numeric value of an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}
