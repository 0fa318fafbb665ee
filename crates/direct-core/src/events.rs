//! Event boundaries in a stream of server-sent events.
//!
//! A stream that another server may resume is forwarded in complete events only, because that
//! server starts with the event after the last id. A partial event of a failed server would be
//! joined with the next server's first event. Only a very long event is forwarded in parts, so that a
//! server whose event never ends does not fill the memory of the process; its stream then ends with
//! that server.

use std::mem;

/// Most bytes of an incomplete event that are held. Events of an output have some hundred bytes.
pub const EVENT_HELD_MAX_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events and records the last event id.
///
/// Of an event that is longer than [`EVENT_HELD_MAX_BYTES`], complete lines are passed on before the
/// event ends. No other server can continue the stream until it has ended.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    boundary: EventBoundary,
    /// Bytes of an incomplete event that were not passed on.
    pending: Vec<u8>,
    /// Start of the incomplete event, if it was passed on.
    part: Option<Part>,
    /// Whether a line that is too long to be held may have been an id.
    has_unknown_id: bool,
    last_id: Option<String>,
}

/// Start of an incomplete event that was passed on.
#[derive(Clone, Debug)]
struct Part {
    id: Option<String>,
    /// Whether the part ends inside a line.
    is_mid_line: bool,
}

impl EventScanner {
    /// Scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns those that can be passed on; empty if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let held_count = self.pending.len();
        let mut end = None;
        for (index, byte) in bytes.iter().enumerate() {
            if self.boundary.push_byte(*byte) {
                end = Some(held_count + index + 1);
            }
        }
        self.pending.extend_from_slice(bytes);
        let mut passed_on = end.map_or_else(Vec::new, |end| self.take_events(end));
        while self.pending.len() > EVENT_HELD_MAX_BYTES {
            passed_on.extend(self.take_part());
        }
        passed_on
    }

    /// Takes the events that end at a position of the pending bytes.
    fn take_events(&mut self, end: usize) -> Vec<u8> {
        let rest = self.pending.split_off(end);
        let events = mem::replace(&mut self.pending, rest);
        let part = self.part.take();
        let id = last_id(&events, part.as_ref());
        if let Some(id) = id.or_else(|| part?.id) {
            self.last_id = Some(id);
        }
        events
    }

    /// Takes the complete lines of a long event, or all bytes if it is a single line.
    fn take_part(&mut self) -> Vec<u8> {
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let lines_end = self.pending.iter().rposition(is_line_end);
        let end = lines_end.map_or(self.pending.len(), |index| index + 1);
        let rest = self.pending.split_off(end);
        let taken = mem::replace(&mut self.pending, rest);
        let part = self.part.take();
        let id = last_id(&taken, part.as_ref());
        let was_mid_line = part.as_ref().is_some_and(|part| part.is_mid_line);
        // The end of a line that begins like this one would belong to the id.
        self.has_unknown_id |= lines_end.is_none() && !was_mid_line && taken.starts_with(b"id");
        self.part = Some(Part {
            id: id.or_else(|| part?.id),
            is_mid_line: lines_end.is_none(),
        });
        taken
    }

    /// Removes and returns the bytes of an incomplete event. What follows is another server's.
    pub fn take_rest(&mut self) -> Vec<u8> {
        self.boundary = EventBoundary::default();
        self.part = None;
        mem::take(&mut self.pending)
    }

    /// Whether no event has begun since the last complete one.
    pub fn is_at_boundary(&self) -> bool {
        self.boundary.is_at_boundary()
    }

    /// Whether another server can continue the stream after the last id: everything that was passed
    /// on are complete events with known ids.
    pub fn may_resume(&self) -> bool {
        self.part.is_none() && !self.has_unknown_id
    }

    /// Last id in the complete events; `None` if there was none yet.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Last id in bytes that follow the given part of the same event.
fn last_id(bytes: &[u8], part: Option<&Part>) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let ended_lines_count = usize::from(part.is_some_and(|part| part.is_mid_line));
    let lines: Vec<_> = text.split(['\n', '\r']).skip(ended_lines_count).collect();
    let id = lines.iter().rev().find_map(|line| line.strip_prefix("id:"));
    id.map(|id| id.trim().to_string())
}

/// Tells whether the bytes of a stream so far end after a complete event, without keeping them. A
/// line ends with a line feed, a carriage return or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventBoundary {
    is_at_boundary: bool,
    is_line_empty: bool,
    was_carriage_return: bool,
}

impl Default for EventBoundary {
    fn default() -> Self {
        Self {
            is_at_boundary: true,
            is_line_empty: true,
            was_carriage_return: false,
        }
    }
}

impl EventBoundary {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push_byte(*byte);
        }
    }

    /// Adds one byte; true if no event has begun since the last complete one.
    fn push_byte(&mut self, byte: u8) -> bool {
        let ends_line = match byte {
            b'\n' if self.was_carriage_return => false,
            b'\n' | b'\r' => true,
            _ => {
                self.is_at_boundary = false;
                self.is_line_empty = false;
                false
            }
        };
        if ends_line {
            self.is_at_boundary |= self.is_line_empty;
            self.is_line_empty = true;
        }
        self.was_carriage_return = byte == b'\r';
        self.is_at_boundary
    }

    /// Whether no event has begun since the last complete one.
    pub fn is_at_boundary(self) -> bool {
        self.is_at_boundary
    }
}
