//! Bodies of requests, and of responses to the process's own calls: read into blocks of a budget. Requests are also
//! sent from them.
//!
//! Frames are copied, since a frame is a slice that retains the read buffer of its connection.

use std::future::Future;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::{Code, Time};
use bytes::{Buf, Bytes};
use http_body::{Body as _, Frame, SizeHint};
use tokio::time::sleep;

use crate::budget::{Arrival, BLOCK, Block, Budget, Grant, Reservation};
use crate::connections::State;
use crate::meter::Counted;
use crate::metrics::Metrics;

/// Rate in bytes per second at which a body must arrive once the time for an ordinary request is over. The slowest
/// links of callers (GPRS and narrow-band IoT) carry more, and a body of 4 MiB ends within nine minutes.
const MIN_RATE: u64 = 8 << 10;
/// Smallest block in bytes of a body without an announced length.
const MIN_BLOCK: usize = 4 << 10;

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub size: usize,
    /// Longest time without progress, and the time after which the minimum rate applies.
    pub time: Duration,
}

/// Time at which a body has arrived too slowly: when nothing has arrived since `last` for `grace`, or when less than
/// `MIN_RATE` has arrived since `grace` after the beginning.
pub fn deadline(began: Time, last: Time, received: u64, grace: Duration) -> Time {
    let paid = Duration::from_micros(received.saturating_mul(1_000_000) / MIN_RATE);
    (last + grace).min(began + grace + paid)
}

/// A complete body.
#[derive(Debug, Default)]
pub struct Blocks {
    blocks: Vec<Block>,
    length: usize,
}

impl Blocks {
    /// The bytes in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(AsRef::as_ref)
    }

    /// Copies the bytes into one piece, for a parser; the reservation is kept for what the parser makes of it.
    pub fn into_contiguous(self, budget: &Arc<Budget>) -> (Vec<u8>, Reservation) {
        let reservation = budget.force(self.length);
        let mut bytes = Vec::with_capacity(self.length);
        for block in self.blocks {
            bytes.extend_from_slice(block.as_ref());
        }
        (bytes, reservation)
    }

    /// Makes the body one that can be sent several times.
    pub fn into_sendable(self) -> Sendable {
        let pieces = self.blocks.into_iter().map(Bytes::from_owner).collect();
        Sendable { pieces, next: 0, left: self.length as u64 }
    }
}

/// A body that is sent to a server. A clone sends it again without a copy of the bytes.
#[derive(Clone, Debug, Default)]
pub struct Sendable {
    pieces: Arc<[Bytes]>,
    next: usize,
    left: u64,
}

impl From<Bytes> for Sendable {
    fn from(bytes: Bytes) -> Self {
        let left = bytes.len() as u64;
        Self { pieces: [bytes].into(), next: 0, left }
    }
}

impl http_body::Body for Sendable {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(piece) = self.pieces.get(self.next).cloned().filter(|_| self.left > 0) else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// Why a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It exceeds the largest size.
    TooLarge,
    /// It arrived too slowly.
    TooSlow,
    /// There is no room for it.
    NoRoom,
    /// It is not valid or ended early.
    Invalid(String),
}

impl Failure {
    /// The result code and a description.
    pub fn code(&self) -> (Code, &str) {
        match self {
            Self::TooLarge => (Code::BodyTooLarge, "the body is over the size that is set here"),
            Self::TooSlow => (Code::SlowCaller, "the body did not arrive in time"),
            Self::NoRoom => (Code::Overloaded, "too many bytes of other bodies are held here"),
            Self::Invalid(text) => (Code::BadBody, text),
        }
    }

    /// Counts the limit that acted, if one did.
    pub(crate) fn count(&self, metrics: &Metrics) {
        let limit = match self {
            Self::TooLarge => "body size",
            Self::TooSlow => "body rate",
            Self::NoRoom => "body memory",
            Self::Invalid(_) => return,
        };
        metrics.record_limit(limit);
    }
}

struct Reader<'a> {
    body: Counted,
    /// Received bytes that have no room yet.
    rest: Bytes,
    blocks: Blocks,
    arrival: Arrival,
    budget: &'a Budget,
    /// State of the client's connection, if a client sends the body.
    state: Option<&'a State>,
    last: Time,
    limit: usize,
}

impl<'a> Reader<'a> {
    fn new(body: Counted, limit: usize, budget: &'a Arc<Budget>, state: Option<&'a State>) -> Self {
        Self {
            body,
            rest: Bytes::new(),
            blocks: Blocks::default(),
            arrival: budget.begin(),
            budget,
            state,
            last: budget.now(),
            limit,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Failure>> {
        loop {
            while !self.rest.is_empty() {
                let room = self.blocks.blocks.last().map_or(0, Block::room);
                if room == 0 {
                    match self.arrival.block(self.next_size(), cx.waker()) {
                        Ok(block) => self.blocks.blocks.push(block),
                        Err(Grant::Wait) if !self.arrival.is_refused(cx.waker()) => {
                            return Poll::Pending;
                        }
                        Err(_) => return Poll::Ready(Err(Failure::NoRoom)),
                    }
                    continue;
                }
                let piece = self.rest.split_to(room.min(self.rest.len()));
                if let Some(block) = self.blocks.blocks.last_mut() {
                    block.extend(&piece);
                }
            }
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => frame,
                Poll::Ready(Some(Err(error))) => {
                    return Poll::Ready(Err(Failure::Invalid(error.to_string())));
                }
                Poll::Ready(None) => return Poll::Ready(Ok(())),
                Poll::Pending if self.arrival.is_refused(cx.waker()) => {
                    return Poll::Ready(Err(Failure::NoRoom));
                }
                Poll::Pending => return Poll::Pending,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if bytes.is_empty() {
                continue;
            }
            self.last = self.budget.now();
            self.arrival.advance(self.last);
            if let Some(state) = self.state {
                state.advance();
            }
            self.blocks.length += bytes.remaining();
            if self.blocks.length > self.limit {
                return Poll::Ready(Err(Failure::TooLarge));
            }
            self.rest = bytes;
        }
    }

    /// Size of the next block: what is announced, otherwise as much as was received before.
    fn next_size(&self) -> usize {
        let announced = self.body.size_hint().exact().map(|left| left as usize + self.rest.len());
        let kept = self.blocks.length - self.rest.len();
        announced.unwrap_or(self.rest.len().max(kept).max(MIN_BLOCK)).clamp(1, BLOCK)
    }
}

/// Reads a body completely.
///
/// # Errors
/// The limit or the rule that it doesn't meet.
pub(crate) async fn read(
    body: Counted,
    limits: Limits,
    budget: &Arc<Budget>,
    state: &State,
) -> Result<Blocks, Failure> {
    if body.is_end_stream() {
        return Ok(Blocks::default());
    }
    if body.size_hint().lower() > limits.size as u64 {
        return Err(Failure::TooLarge);
    }
    let mut reader = Reader::new(body, limits.size, budget, Some(state));
    let began = reader.last;
    // Not registered with the timer unless the body has to be waited for.
    let mut timer = pin!(sleep(limits.time));
    poll_fn(|cx| {
        loop {
            if let Poll::Ready(result) = reader.poll(cx) {
                return Poll::Ready(result);
            }
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let now = budget.now();
            let until = deadline(began, reader.last, reader.blocks.length as u64, limits.time);
            let left = until.since(now);
            if left.is_zero() {
                return Poll::Ready(Err(Failure::TooSlow));
            }
            timer.as_mut().reset(tokio::time::Instant::now() + left);
        }
    })
    .await?;
    Ok(reader.blocks)
}

/// Reads the body of a response completely; the caller limits the time. What is returned keeps its bytes reserved.
///
/// # Errors
/// The body is not valid, ended early, is larger than `max` bytes or finds no room in the budget.
pub(crate) async fn read_response(
    body: Counted,
    max: usize,
    budget: &Arc<Budget>,
) -> Result<Bytes, Failure> {
    if body.size_hint().lower() > max as u64 {
        return Err(Failure::TooLarge);
    }
    let mut reader = Reader::new(body, max, budget, None);
    poll_fn(|cx| reader.poll(cx)).await?;
    let (bytes, reservation) = reader.blocks.into_contiguous(budget);
    Ok(Bytes::from_owner(Reserved { bytes, _reservation: reservation }))
}

/// Bytes and their reservation.
struct Reserved {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
