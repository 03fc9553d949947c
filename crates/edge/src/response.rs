//! Channel for the response from the reducer to one HTTP exchange.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use node::ResponseHead;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Maximum number of bytes queued for a caller who does not read.
const MAX_PENDING: usize = 1 << 20;

/// Part of a response.
#[derive(Debug)]
pub enum ResponseEvent {
    /// The head.
    Begin(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The end, and whether the response is complete.
    Finish(bool),
}

/// The sending side, held by the host.
#[derive(Debug)]
pub struct ResponseSender {
    sender: UnboundedSender<ResponseEvent>,
    pending: Arc<AtomicUsize>,
}

/// The receiving side, held by the HTTP listener.
#[derive(Debug)]
pub struct ResponseReceiver {
    /// Events in order.
    pub events: UnboundedReceiver<ResponseEvent>,
    pending: Arc<AtomicUsize>,
}

/// Creates a channel.
pub fn pair() -> (ResponseSender, ResponseReceiver) {
    let (sender, events) = unbounded_channel();
    let pending = Arc::new(AtomicUsize::new(0));
    (ResponseSender { sender, pending: pending.clone() }, ResponseReceiver { events, pending })
}

impl ResponseSender {
    /// Sends an event; returns false if the exchange has ended or does not read.
    pub fn send(&self, event: ResponseEvent) -> bool {
        if let ResponseEvent::Body(bytes) = &event {
            let before = self.pending.fetch_add(bytes.len(), Ordering::Relaxed);
            if before > MAX_PENDING {
                return false;
            }
        }
        self.sender.send(event).is_ok()
    }
}

impl ResponseReceiver {
    /// Records that bytes were sent to the caller.
    pub fn mark_sent(&self, bytes: usize) {
        self.pending.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A complete response, collected from its events.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
}

impl Default for CompleteResponse {
    /// The response if no event arrives, since the process is exiting.
    fn default() -> Self {
        Self { head: ResponseHead { status: 503, ..ResponseHead::default() }, body: Vec::new() }
    }
}

impl CompleteResponse {
    /// Adds an event; returns true if it was the last one.
    pub fn push(&mut self, receiver: &ResponseReceiver, event: ResponseEvent) -> bool {
        match event {
            ResponseEvent::Begin(head) => self.head = head,
            ResponseEvent::Body(bytes) => {
                receiver.mark_sent(bytes.len());
                self.body.extend(bytes);
            }
            ResponseEvent::Finish(_) => return true,
        }
        false
    }
}
