//! Event boundaries in a stream of server-sent events.
//!
//! A stream that another server may resume is forwarded in complete events only, because that
//! server starts with the event after the last id. A partial event of a failed server would be
//! joined with the next server's first event.

/// Splits a stream into complete events and records the last event id.
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventScanner {
    /// Scanner at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that they complete; empty if there is none.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending) else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.pending)
    }

    /// Last id in the complete events; `None` if there was none yet.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Position after the last blank line, where the last complete event ends.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    let mut end = None;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            end = Some(index + 1);
        }
        line_start = index + 1;
    }
    end
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(events);
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"));
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
            self.was_carriage_return = *byte == b'\r';
        }
    }

    /// Whether no event has begun since the last complete one.
    pub fn is_at_boundary(self) -> bool {
        self.is_at_boundary
    }
}
