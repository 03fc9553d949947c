//! What a store tells of the parts that it holds.

/// A part on a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSegment {
    /// What it is shared under.
    pub salt: String,
    /// ID.
    pub id: u64,
    /// Length in tokens; 0 when it is gone.
    pub tokens: u32,
}

/// StoreDelta of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreDelta {
    /// Life of the store.
    pub epoch: u64,
    /// Number of the next event.
    pub next_event: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// Parts that are complete now, or gone.
    pub segments: Vec<StoredSegment>,
}
