//! Splits an event stream so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};

/// Content type of an event stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";
/// Largest event in bytes: servers send a few tokens in each.
const MAX_EVENT: usize = 256 << 10;

/// State of one event stream (HTML Living Standard, "Server-sent events").
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes and returns the complete events, if any.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial, from) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        complete
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_too_large(&self) -> bool {
        self.partial.len() > MAX_EVENT
    }

    /// Whether the received bytes end inside an event. Comments and empty lines belong to none.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.partial[..].split(|byte| matches!(byte, b'\n' | b'\r'));
        lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// ID of the last complete event.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }
}

/// Position after the last empty line that ends an event.
fn end_of_events(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let wide = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| from + at + 4);
    plain.max(wide)
}

fn last_id(events: &[u8]) -> Option<String> {
    let line = events.rsplit(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
