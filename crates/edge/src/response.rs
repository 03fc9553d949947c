//! The way from the reducer back to one HTTP exchange.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use node::ResponseHead;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Most bytes that wait for a caller who does not read.
const MAX_PENDING: usize = 1 << 20;

/// A message to an exchange.
#[derive(Debug)]
pub enum Out {
    /// The head.
    Begin(ResponseHead),
    /// Bytes of the body.
    Body(Vec<u8>),
    /// The end, and whether the answer is whole.
    Finish(bool),
}

/// The sending side, held by the host.
#[derive(Debug)]
pub struct Outlet {
    sender: UnboundedSender<Out>,
    pending: Arc<AtomicUsize>,
}

/// The receiving side, held by the HTTP edge.
#[derive(Debug)]
pub struct Inlet {
    /// Messages in their order.
    pub receiver: UnboundedReceiver<Out>,
    pending: Arc<AtomicUsize>,
}

/// A pair of sides.
pub fn pair() -> (Outlet, Inlet) {
    let (sender, receiver) = unbounded_channel();
    let pending = Arc::new(AtomicUsize::new(0));
    (Outlet { sender, pending: pending.clone() }, Inlet { receiver, pending })
}

impl Outlet {
    /// Sends a message; false when the exchange is gone or does not read.
    pub fn send(&self, out: Out) -> bool {
        if let Out::Body(bytes) = &out {
            let before = self.pending.fetch_add(bytes.len(), Ordering::Relaxed);
            if before > MAX_PENDING {
                return false;
            }
        }
        self.sender.send(out).is_ok()
    }
}

impl Inlet {
    /// Notes that bytes have left for the caller.
    pub fn taken(&self, bytes: usize) {
        self.pending.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A whole answer, put together from its messages.
#[derive(Debug)]
pub struct Whole {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
}

impl Default for Whole {
    /// What stands until an answer begins: the process is leaving.
    fn default() -> Self {
        Self { head: ResponseHead { status: 503, ..ResponseHead::default() }, body: Vec::new() }
    }
}

impl Whole {
    /// Takes a message; true when it was the last.
    pub fn take(&mut self, inlet: &Inlet, out: Out) -> bool {
        match out {
            Out::Begin(head) => self.head = head,
            Out::Body(bytes) => {
                inlet.taken(bytes.len());
                self.body.extend(bytes);
            }
            Out::Finish(_) => return true,
        }
        false
    }
}
