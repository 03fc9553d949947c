//! Channel for the response from the reducer to one HTTP exchange.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use node::ResponseHead;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::budget::{Budget, Reservation};
use crate::metrics::Metrics;

/// Maximum number of bytes queued for a caller who does not read.
const MAX_PENDING: usize = 1 << 20;
/// Number of bytes that may be queued also if the budget is used up, so that requests end and release what they hold.
const MIN_PENDING: usize = 64 << 10;

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

/// A part and the memory that is reserved for it.
type Item = (ResponseEvent, Option<Reservation>);

/// The sending side, held by the host.
#[derive(Debug)]
pub struct ResponseSender {
    sender: UnboundedSender<Item>,
    pending: Arc<AtomicUsize>,
    budget: Arc<Budget>,
    metrics: Arc<Metrics>,
}

/// The receiving side, held by the HTTP listener.
#[derive(Debug)]
pub struct ResponseReceiver {
    /// Events in order.
    pub events: UnboundedReceiver<Item>,
    pending: Arc<AtomicUsize>,
}

/// Creates a channel.
pub fn pair(budget: Arc<Budget>, metrics: Arc<Metrics>) -> (ResponseSender, ResponseReceiver) {
    let (sender, events) = unbounded_channel();
    let pending = Arc::new(AtomicUsize::new(0));
    let sender = ResponseSender { sender, pending: pending.clone(), budget, metrics };
    (sender, ResponseReceiver { events, pending })
}

impl ResponseSender {
    /// Sends an event; returns false if the exchange has ended or does not read.
    pub fn send(&self, event: ResponseEvent) -> bool {
        let mut reservation = None;
        if let ResponseEvent::Body(bytes) = &event {
            let before = self.pending.fetch_add(bytes.len(), Ordering::Relaxed);
            reservation = self.budget.reserve(bytes.len());
            if reservation.is_none() && before <= MIN_PENDING {
                reservation = Some(self.budget.force(bytes.len()));
            }
            if before > MAX_PENDING || reservation.is_none() {
                self.metrics.record_limit("response memory");
                log::info!(bytes = before as u64; "response cut: its caller does not read");
                return false;
            }
        }
        self.sender.send((event, reservation)).is_ok()
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
    /// Memory reserved for the body.
    pub reservations: Vec<Reservation>,
}

impl Default for CompleteResponse {
    /// The response if no event arrives, since the process is exiting.
    fn default() -> Self {
        let head = ResponseHead { status: 503, ..ResponseHead::default() };
        Self { head, body: Vec::new(), reservations: Vec::new() }
    }
}

impl CompleteResponse {
    /// Adds an event; returns true if it was the last one.
    pub fn push(&mut self, receiver: &ResponseReceiver, (event, reservation): Item) -> bool {
        self.reservations.extend(reservation);
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
