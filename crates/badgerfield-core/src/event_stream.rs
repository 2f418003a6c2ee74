//! Event streams: finds the boundaries and the numeric ids of events.
//!
//! The scanner forwards the bytes unchanged, but only complete events, so that a stream that breaks
//! off within an event can resume at another upstream.
//! The format is specified in the HTML standard, section 9.2 (server-sent events).

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The maximum size of an event that is buffered until it is complete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// A byte order mark, which may precede the first event of a source.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// What a source is to the stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum SourceKind {
    /// It began the stream.
    #[default]
    First,
    /// It resumes the stream, and a byte order mark may still precede its first event.
    Unread,
    /// It resumes the stream.
    Resumed,
}

/// Splits a stream into complete events, and finds out whether it can be whole.
#[derive(Debug, Default)]
pub struct EventScanner {
    partial: BytesMut,
    last_id: Option<u64>,
    event_count: u64,
    /// The greatest id of an event of the current source.
    source_id: Option<u64>,
    /// The hash of that event.
    source_digest: u64,
    source_kind: SourceKind,
    /// The ids of events that had begun to arrive from earlier sources and are missing.
    owed_ids: BTreeSet<u64>,
    /// Whether an event is missing that had begun to arrive without its id.
    owes_event: bool,
    /// Why the current source does not continue the stream.
    source_fault: Option<SourceFault>,
    /// Whether an event without an id has arrived.
    has_unnumbered: bool,
}

/// Why the events of a source are not those of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SourceFault {
    /// An event has a smaller id than one before it, or the id of another event.
    #[error("goes back to an earlier event")]
    FallenBack,
    /// The first new event is a later one than the one that had begun to arrive.
    #[error("leaves out an event that had begun")]
    LeavesOut,
    /// It resumes the stream with lines that are no fields of events.
    #[error("sends no events")]
    NoEvents,
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
    /// from an earlier upstream. None is returned from the one on that shows that the source does
    /// not continue the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        self.skip_mark();
        let mut complete = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            let id = event_id(&event);
            self.source_fault = self.source_fault.or_else(|| self.find_fault(&event, id));
            if self.source_fault.is_some() {
                self.owed_ids.extend(id.filter(|_| id > self.last_id));
                continue;
            }
            if id.is_some() {
                self.source_id = id;
                self.source_digest = digest(&event);
            }
            if id.is_some() && id <= self.last_id {
                continue;
            }
            if let Some(number) = id {
                self.last_id = id;
                self.event_count += 1;
                self.owed_ids.remove(&number);
                self.owes_event = false;
            } else if needs_id(&event) {
                if self.is_behind() {
                    continue;
                }
                self.has_unnumbered = true;
            }
            complete.extend_from_slice(&event);
        }
        complete.freeze()
    }

    /// Removes the byte order mark of a source that resumes the stream.
    fn skip_mark(&mut self) {
        if self.source_kind != SourceKind::Unread {
            return;
        }
        if self.partial.starts_with(BYTE_ORDER_MARK) {
            self.partial.advance(BYTE_ORDER_MARK.len());
            self.source_kind = SourceKind::Resumed;
        } else if !BYTE_ORDER_MARK.starts_with(&self.partial) {
            self.source_kind = SourceKind::Resumed;
        }
    }

    /// Returns why an event cannot be the next one of its source.
    fn find_fault(&self, event: &[u8], id: Option<u64>) -> Option<SourceFault> {
        let is_other = id == self.source_id && digest(event) != self.source_digest;
        let owed = self.owed_ids.first().copied();
        if id.is_some() && (id < self.source_id || is_other) {
            Some(SourceFault::FallenBack)
        } else if owed.is_some() && id > owed {
            Some(SourceFault::LeavesOut)
        } else if self.source_kind != SourceKind::First && has_content(event) && !has_field(event) {
            Some(SourceFault::NoEvents)
        } else {
            None
        }
    }

    /// Returns whether the current source has not yet reached the last event that had arrived.
    fn is_behind(&self) -> bool {
        self.source_id.is_some() && self.source_id < self.last_id
    }

    /// Prepares for events of another source, which resumes the stream. Discards an incomplete event.
    pub fn start_source(&mut self) {
        let id = event_id(whole_lines(&self.partial));
        let is_unknown = id.is_none() && !self.is_behind();
        self.owes_event |= is_unknown && has_content(&self.partial);
        self.owed_ids.extend(id.filter(|_| id > self.last_id));
        self.partial.clear();
        self.source_id = None;
        self.source_kind = SourceKind::Unread;
        self.source_fault = self.source_fault.filter(|fault| *fault == SourceFault::FallenBack);
    }

    /// Returns why the events of the current source are not those of the stream.
    #[must_use]
    pub fn source_fault(&self) -> Option<SourceFault> {
        self.source_fault
    }

    /// Returns whether a source went back to an earlier event.
    #[must_use]
    pub fn has_fallen_back(&self) -> bool {
        self.source_fault == Some(SourceFault::FallenBack)
    }

    /// Returns whether another source can continue the stream. It cannot if an event has arrived
    /// after which it cannot be told to continue.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered && !self.has_fallen_back()
    }

    /// Checks that the stream can be whole if it ends now.
    ///
    /// # Errors
    ///
    /// Fails if the events show that it is not.
    pub fn check_end(&self) -> Result<(), StreamFault> {
        if self.source_fault.is_some() {
            Err(StreamFault::MissingEvent)
        } else if has_content(&self.partial) {
            Err(StreamFault::PartialEvent)
        } else if self.is_behind() {
            Err(StreamFault::EndsEarly)
        } else if self.owes_event || !self.owed_ids.is_empty() {
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

    /// Returns whether the received bytes end within a line.
    #[must_use]
    pub fn is_within_line(&self) -> bool {
        self.partial.last().is_some_and(|byte| !is_line_end(*byte))
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

/// Removes and returns the first complete event of a buffer.
#[must_use]
pub fn split_event(buffer: &mut BytesMut) -> Option<Bytes> {
    event_end(buffer).map(|end| buffer.split_to(end).freeze())
}

/// Returns the `data` lines of an event without their line ends.
#[must_use]
pub fn event_data(event: &[u8]) -> Bytes {
    let mut data = BytesMut::new();
    for (name, value) in field_lines(event).map(split_field) {
        if name == b"data" {
            data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
        }
    }
    data.freeze()
}

/// Returns the end of the first event, which is the offset after its final empty line. A line ends
/// with a carriage return, a line feed or both.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = bytes.get(line_start..)?.iter().position(|byte| is_line_end(*byte)) {
        let end = line_start + length;
        let has_both = bytes.get(end..end + 2) == Some(b"\r\n");
        let next_line = end + if has_both { 2 } else { 1 };
        if length == 0 {
            return Some(next_line);
        }
        line_start = next_line;
    }
    None
}

/// Returns the lines of an incomplete event that have arrived whole.
fn whole_lines(partial: &[u8]) -> &[u8] {
    let end = partial.iter().rposition(|byte| is_line_end(*byte)).map_or(0, |last| last + 1);
    partial.get(..end).unwrap_or_default()
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the lines of an event that are neither empty nor comments.
fn field_lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let lines = event.split(|byte| is_line_end(*byte));
    lines.filter(|line| !line.trim_ascii().is_empty() && !line.starts_with(b":"))
}

/// Returns the name and the value of a field.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
    let (name, value) = line.split_at(colon);
    (name, value.strip_prefix(b":").unwrap_or(value))
}

/// Returns whether the lines of an event are more than comments.
fn has_content(event: &[u8]) -> bool {
    field_lines(event).next().is_some()
}

/// Returns whether one of the lines can be a field of an event.
fn has_field(event: &[u8]) -> bool {
    let mut names = field_lines(event).map(|line| split_field(line).0);
    names.any(|name| name.iter().all(|byte| byte.is_ascii_alphanumeric() || *byte == b'-'))
}

/// Returns whether the lines must have an id for the stream to be resumed after them. Lines that only
/// set the time to reconnect or the type are no event.
fn needs_id(event: &[u8]) -> bool {
    field_lines(event).any(|line| !matches!(split_field(line).0, b"retry" | b"event"))
}

/// Returns the numeric value of an event's last `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let (_, value) =
        field_lines(event).map(split_field).filter(|(name, _)| *name == b"id").last()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn digest(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    event.hash(&mut hasher);
    hasher.finish()
}
