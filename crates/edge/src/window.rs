//! Flow control of the responses that an agent reads from its server.
//!
//! The thread that reads a response waits while [`MAX_UNACKED`] of its parts are not acknowledged by the entry, so neither the
//! reducer nor the link holds more than that of a run.

use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use base::RunId;

/// Maximum number of parts of a run that its entry has not acknowledged. Entries acknowledge every 32 parts, so at least 33
/// are needed for progress.
const MAX_UNACKED: u64 = 64;

/// The window of one run.
#[derive(Debug, Default)]
pub struct Window {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    sent: u64,
    acked: u64,
    is_closed: bool,
}

impl Window {
    /// Waits until a part may be sent, and counts it; returns false once the window is closed.
    pub fn reserve(&self) -> bool {
        let is_full = |state: &mut State| {
            !state.is_closed && state.sent.saturating_sub(state.acked) >= MAX_UNACKED
        };
        let state = self.changed.wait_while(self.lock(), is_full);
        let mut state = state.unwrap_or_else(PoisonError::into_inner);
        state.sent += 1;
        !state.is_closed
    }

    /// Whether the run is no longer to be read.
    pub fn is_closed(&self) -> bool {
        self.lock().is_closed
    }

    fn ack(&self, seq: u64) {
        let mut state = self.lock();
        state.acked = state.acked.max(seq);
        self.changed.notify_all();
    }

    fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The windows of all runs that are being read.
#[derive(Clone, Debug, Default)]
pub struct Windows(Arc<Mutex<HashMap<RunId, Arc<Window>>>>);

impl Windows {
    /// Opens the window of a run.
    pub fn open(&self, run: RunId) {
        self.lock().insert(run, Arc::default());
    }

    /// The window of a run, unless it has ended.
    pub fn get(&self, run: RunId) -> Option<Arc<Window>> {
        self.lock().get(&run).cloned()
    }

    /// Records that the entry has received the parts of a run before this number.
    pub fn ack(&self, run: RunId, seq: u64) {
        if let Some(window) = self.get(run) {
            window.ack(seq);
        }
    }

    /// Makes the reading of a run end with its next part.
    pub fn close(&self, run: RunId) {
        if let Some(window) = self.get(run) {
            window.close();
        }
    }

    /// Removes the window of a run that has ended.
    pub fn remove(&self, run: RunId) {
        self.lock().remove(&run);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RunId, Arc<Window>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
