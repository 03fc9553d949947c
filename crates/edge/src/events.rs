//! Splits an event stream so that only complete events are forwarded.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header};

/// Content type of an event stream.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";
/// Largest event in bytes: servers send a few tokens in each.
const MAX_EVENT: usize = 256 << 10;

/// State of one event stream (HTML Living Standard, "Server-sent events").
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_event_id: Option<String>,
    /// Whether the next event is the first one of another server.
    continues: bool,
    is_out_of_order: bool,
}

/// Whether a response is an event stream that can be split.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
        && !headers.contains_key(header::CONTENT_ENCODING)
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
        if self.continues
            && let Some(id) = first_id(&complete)
        {
            self.continues = false;
            self.is_out_of_order = !follows(id, self.last_event_id());
        }
        if self.is_out_of_order {
            return Bytes::new();
        }
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

    /// Another response continues the stream after the last complete event. It sends an interrupted event again.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.continues = self.last_event_id.is_some();
        self.is_out_of_order = false;
    }

    /// Whether the continuation began with another event than one after the last complete event; its events are
    /// discarded.
    pub fn is_out_of_order(&self) -> bool {
        self.is_out_of_order
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

/// The ID of the first event, empty if it has none; `None` if there are only comments.
fn first_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
    let first = lines.find(|line| !line.is_empty() && !line.starts_with(b":"))?;
    let mut lines = std::iter::once(first).chain(lines.take_while(|line| !line.is_empty()));
    let id = lines.find_map(|line| line.strip_prefix(b"id:")).unwrap_or_default();
    Some(str::from_utf8(id).unwrap_or_default().trim())
}

/// Whether an event may come after the last one. IDs increase; how far apart they are is the server's choice.
fn follows(id: &str, last: Option<&str>) -> bool {
    match (id.parse::<u64>(), last.map(str::parse::<u64>)) {
        (Ok(id), Some(Ok(last))) => id > last,
        _ => !id.is_empty() && Some(id) != last,
    }
}
