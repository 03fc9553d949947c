//! Changes of the prompt segments on a store, as the store reports them.

/// A prompt segment on a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSegment {
    /// Salt within which it is shared.
    pub salt: String,
    /// ID.
    pub id: u64,
    /// Length in tokens; 0 when it was removed.
    pub tokens: u32,
}

/// Changes reported by one store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreDelta {
    /// Incarnation of the store.
    pub epoch: u64,
    /// Number of the next event.
    pub next_event: u64,
    /// Whether earlier events were lost.
    pub gap: bool,
    /// The servers' clock when the store responded, milliseconds.
    pub clock_ms: Option<u64>,
    /// Segments that are complete now, or removed.
    pub segments: Vec<StoredSegment>,
}

impl StoreDelta {
    /// Whether these are the events from this number on, of a target that has not restarted. Otherwise this may be the
    /// response to an earlier read.
    pub fn continues(&self, since: u64) -> bool {
        let has_news = !self.segments.is_empty();
        !self.gap && (self.next_event > since || self.next_event == since && !has_news)
    }
}
