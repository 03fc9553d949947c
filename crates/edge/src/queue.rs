//! The queue of a response between its server and a caller, bounded in bytes.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::budget::{Budget, Reservation};
use crate::metrics::Metrics;

/// Bytes that are queued for a caller before reading from the server pauses. More than the product of a caller's
/// bandwidth and the time of a thread's turn, beside the buffers of the sockets.
const MAX_QUEUED: usize = 256 << 10;
/// Bytes for which a frame counts at least, for its own state.
const FRAME_BYTES: usize = 512;
/// Size below which a frame that waits is copied, since it retains the read buffer of its connection.
const MAX_COPIED: usize = 4 << 10;

#[derive(Debug)]
struct Queued {
    bytes: Bytes,
    /// Dropped with the frame.
    _room: (OwnedSemaphorePermit, Option<Reservation>),
}

type Item = Result<Queued, &'static str>;

/// The side of the server.
#[derive(Debug)]
pub struct Sender {
    frames: UnboundedSender<Item>,
    room: Arc<Semaphore>,
    budget: Arc<Budget>,
    metrics: Arc<Metrics>,
}

/// The side of the caller.
#[derive(Debug)]
pub struct Receiver(UnboundedReceiver<Item>);

/// Creates a queue.
pub fn pair(budget: Arc<Budget>, metrics: Arc<Metrics>) -> (Sender, Receiver) {
    let (frames, received) = unbounded_channel();
    let room = Arc::new(Semaphore::new(MAX_QUEUED));
    (Sender { frames, room, budget, metrics }, Receiver(received))
}

impl Sender {
    /// Queues bytes once there is room; false if the caller has disconnected.
    pub async fn send(&self, mut bytes: Bytes) -> bool {
        let size = bytes.len().clamp(FRAME_BYTES, MAX_QUEUED);
        let Ok(room) = self.room.clone().acquire_many_owned(size as u32).await else {
            return false;
        };
        if bytes.len() < MAX_COPIED && self.room.available_permits() + size < MAX_QUEUED {
            bytes = Bytes::copy_from_slice(&bytes);
        }
        let mut reservation = self.budget.reserve(bytes.len());
        if reservation.is_none() {
            // A response with nothing queued always goes on, so that requests end and release what they hold.
            let others = MAX_QUEUED - size;
            if self.room.available_permits() < others {
                self.metrics.record_limit("response memory");
                log::info!("response paused: its caller reads slowly, and memory is short");
            }
            drop(self.room.acquire_many(others as u32).await);
            reservation = Some(self.budget.force(bytes.len()));
        }
        self.frames.send(Ok(Queued { bytes, _room: (room, reservation) })).is_ok()
    }

    /// Cuts the response.
    pub fn cut(&self, why: &'static str) {
        // A caller who has disconnected needs no error.
        let _ = self.frames.send(Err(why));
    }

    /// Returns once the caller has disconnected.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }
}

impl Body for Receiver {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        self.0
            .poll_recv(cx)
            .map(|item| item.map(|item| item.map(|queued| Frame::data(queued.bytes))))
    }
}
