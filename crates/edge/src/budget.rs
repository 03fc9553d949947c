//! The memory that a process may use for bytes that clients sent or have not read yet.
//!
//! Bytes are reserved before they are kept. Bodies are kept in blocks that occupy what is reserved for them; blocks of
//! [`BLOCK`] bytes are reused, so that freed ones don't remain in the allocator's heaps beside new ones. If the budget
//! is used up, [`choose`] determines which body in progress is refused.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::Duration;

use base::Time;

use crate::Clock;

/// Size of a block of a body in bytes. Smaller than the allocator's smallest threshold for separate mappings (128 KiB),
/// so that a block costs no system call.
pub const BLOCK: usize = 64 << 10;
/// Divisor of the process's memory for the budget. Without clients outside the limits an entry uses 20 to 95 MB of 110 to
/// 260 MB; connections may use another quarter.
const DIVISOR: u64 = 4;
/// Divisor of the budget for the part that only bodies up to a block may use, so that large bodies that wait for their
/// responses don't cause ordinary requests to be refused.
const SMALL_DIVISOR: usize = 8;
/// Number of bodies of the largest legal size for which there is always room.
const LARGEST_BODIES: usize = 2;
/// Time without progress after which a body counts as stalled. Lost packets are resent sooner.
const STALL: Duration = Duration::from_secs(1);

/// A body in progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Bytes reserved.
    pub held: usize,
    /// When bytes last arrived.
    pub last: Time,
    /// Whether it waits for a reservation, and so makes no progress for a reason of this process.
    pub waits: bool,
}

#[derive(Debug)]
struct Entry {
    progress: Progress,
    refused: bool,
    waker: Option<Waker>,
}

/// What follows from a request for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are reserved.
    Reserved,
    /// Bytes of a refused body are about to be released.
    Wait,
    /// The body that asked is refused.
    Refused,
}

/// Reservations and bodies in progress.
#[derive(Debug, Default)]
pub struct Ledger {
    size: usize,
    used: usize,
    next: u64,
    bodies: BTreeMap<u64, Entry>,
}

impl Ledger {
    /// A ledger for this number of bytes.
    pub fn new(size: usize) -> Self {
        Self { size, ..Self::default() }
    }

    /// Bytes reserved.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a body in progress and returns its number.
    pub fn begin(&mut self, now: Time) -> u64 {
        self.next += 1;
        let progress = Progress { last: now, ..Progress::default() };
        self.bodies.insert(self.next, Entry { progress, refused: false, waker: None });
        self.next
    }

    /// Removes a body that was received completely, or has failed.
    pub fn end(&mut self, body: u64) {
        self.bodies.remove(&body);
    }

    /// Whether a body was refused in favor of others.
    pub fn is_refused(&self, body: u64) -> bool {
        self.bodies.get(&body).is_some_and(|entry| entry.refused)
    }

    /// Records that bytes of a body arrived.
    pub fn advance(&mut self, body: u64, now: Time) {
        if let Some(entry) = self.bodies.get_mut(&body) {
            entry.progress.last = now;
        }
    }

    /// Reserves bytes that are not part of a body in progress; false if there is no room.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let fits = self.used + bytes <= self.size - self.size / SMALL_DIVISOR;
        self.used += if fits { bytes } else { 0 };
        fits
    }

    /// Reserves bytes also where there is no room.
    pub fn force(&mut self, bytes: usize) {
        self.used += bytes;
    }

    /// Releases bytes.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Reserves bytes for a body in progress, or refuses one.
    pub fn grant(&mut self, body: u64, bytes: usize, now: Time) -> Grant {
        let Some(entry) = self.bodies.get(&body) else {
            return Grant::Refused;
        };
        if entry.refused {
            return Grant::Refused;
        }
        let total = entry.progress.held + bytes;
        let limit = if total <= BLOCK { self.size } else { self.size - self.size / SMALL_DIVISOR };
        let free = limit.saturating_sub(self.used);
        if bytes <= free {
            self.used += bytes;
            if let Some(entry) = self.bodies.get_mut(&body) {
                entry.progress.held = total;
                entry.progress.waits = false;
            }
            return Grant::Reserved;
        }
        let due: usize =
            self.bodies.values().filter(|body| body.refused).map(|body| body.progress.held).sum();
        if let Some(entry) = self.bodies.get_mut(&body) {
            entry.progress.waits = true;
        }
        if bytes <= free + due {
            return Grant::Wait;
        }
        let found = self.bodies.iter().filter(|(_, entry)| !entry.refused);
        let refused = choose(found.map(|(number, entry)| (*number, entry.progress)), now);
        let Some(refused) = refused.filter(|refused| *refused != body) else {
            if let Some(entry) = self.bodies.get_mut(&body) {
                entry.refused = true;
            }
            return Grant::Refused;
        };
        if let Some(entry) = self.bodies.get_mut(&refused) {
            entry.refused = true;
            if let Some(waker) = entry.waker.take() {
                waker.wake();
            }
        }
        Grant::Wait
    }
}

/// The body in progress that is refused if the budget is used up: of those larger than a block the one that has held most
/// for longest without progress; if none of them is stalled, the largest; otherwise the smaller one that has been
/// stalled for longest. `None` if there is none, so that no ordinary body that arrives quickly is refused for another.
pub fn choose(bodies: impl Iterator<Item = (u64, Progress)>, now: Time) -> Option<u64> {
    let weight = |progress: &Progress| {
        let waited = if progress.waits { Duration::ZERO } else { now.since(progress.last) };
        let stalled = if waited >= STALL { waited.as_millis() } else { 0 };
        let held = progress.held as u128;
        (progress.held > BLOCK, stalled * held, progress.held > BLOCK && stalled == 0, held)
    };
    let weighed = bodies.map(|(number, progress)| (weight(&progress), number));
    let ((large, stalled, ..), number) = weighed.max()?;
    (large || stalled > 0).then_some(number)
}

impl State {
    /// Frees blocks for which there is no room any more.
    fn trim(&mut self) {
        let room = self.ledger.size.saturating_sub(self.ledger.used) / BLOCK;
        self.free.truncate(room);
    }

    fn release(&mut self, bytes: usize) {
        self.ledger.release(bytes);
        self.waiting.drain(..).for_each(Waker::wake);
    }
}

/// The budget of a process, shared by its threads.
#[derive(Debug)]
pub struct Budget {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Blocks kept for reuse, as far as the budget has room for them beside what is reserved: the heaps of several
    /// threads would otherwise each keep as much.
    free: Vec<Vec<u8>>,
    waiting: Vec<Waker>,
}

impl Budget {
    /// The budget of a process that may use `memory` bytes and takes bodies of up to `largest_body` bytes.
    pub fn new(memory: u64, largest_body: usize) -> Arc<Self> {
        // The part for small bodies is not available to large ones.
        let least = LARGEST_BODIES * (largest_body + BLOCK) / (SMALL_DIVISOR - 1) * SMALL_DIVISOR;
        let size = ((memory / DIVISOR) as usize).max(least);
        let ledger = Ledger::new(size);
        let state = State { ledger, free: Vec::new(), waiting: Vec::new() };
        Arc::new(Self { clock: Clock::default(), state: Mutex::new(state) })
    }

    /// The current time on the budget's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Bytes reserved.
    pub fn used(&self) -> usize {
        self.state().ledger.used()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // After a panic in another thread the counts are still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves bytes; `None` if there is no room.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let mut state = self.state();
        let reserved = state.ledger.reserve(bytes);
        state.trim();
        drop(state);
        reserved.then(|| Reservation { budget: self.clone(), bytes })
    }

    /// Reserves bytes also where there is no room.
    pub fn force(self: &Arc<Self>, bytes: usize) -> Reservation {
        let mut state = self.state();
        state.ledger.force(bytes);
        state.trim();
        drop(state);
        Reservation { budget: self.clone(), bytes }
    }

    /// Registers a body in progress.
    pub fn begin(self: &Arc<Self>) -> Arrival {
        let now = self.now();
        Arrival { number: self.state().ledger.begin(now), budget: self.clone() }
    }
}

/// Reserved bytes, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.state().release(self.bytes);
    }
}

/// A part of a body, which occupies what is reserved for it.
#[derive(Debug)]
pub struct Block {
    bytes: Vec<u8>,
    size: usize,
    budget: Arc<Budget>,
}

impl Block {
    /// Room that is left.
    pub fn room(&self) -> usize {
        self.size - self.bytes.len()
    }

    /// Adds bytes, for which there must be room.
    pub fn extend(&mut self, bytes: &[u8]) {
        debug_assert!(bytes.len() <= self.room());
        self.bytes.extend_from_slice(bytes);
    }
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Block {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.release(self.size);
        if self.size == BLOCK {
            let mut bytes = std::mem::take(&mut self.bytes);
            bytes.clear();
            state.free.push(bytes);
            state.trim();
        }
    }
}

/// A body in progress; its end is recorded when this is dropped.
#[derive(Debug)]
pub struct Arrival {
    number: u64,
    budget: Arc<Budget>,
}

impl Arrival {
    /// Reserves and returns a block, or refuses a body; with [`Grant::Wait`] the waker is called when to ask again.
    ///
    /// # Errors
    /// There is no block yet, or this body is refused.
    pub fn block(&self, size: usize, waker: &Waker) -> Result<Block, Grant> {
        let now = self.budget.now();
        let mut state = self.budget.state();
        match state.ledger.grant(self.number, size, now) {
            Grant::Reserved => {}
            Grant::Refused => return Err(Grant::Refused),
            Grant::Wait => {
                state.waiting.push(waker.clone());
                return Err(Grant::Wait);
            }
        }
        let reused = if size == BLOCK { state.free.pop() } else { None };
        state.trim();
        drop(state);
        let bytes = reused.unwrap_or_else(|| Vec::with_capacity(size));
        Ok(Block { bytes, size, budget: self.budget.clone() })
    }

    /// Records that bytes arrived.
    pub fn advance(&self, now: Time) {
        self.budget.state().ledger.advance(self.number, now);
    }

    /// Whether the body is refused; otherwise the waker is called when it is.
    pub fn is_refused(&self, waker: &Waker) -> bool {
        let mut state = self.budget.state();
        let refused = state.ledger.is_refused(self.number);
        if let Some(entry) = state.ledger.bodies.get_mut(&self.number) {
            entry.waker = Some(waker.clone());
        }
        refused
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.budget.state().ledger.end(self.number);
    }
}
