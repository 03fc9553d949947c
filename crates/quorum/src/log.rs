//! The replicated log in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Config, Member};

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// No content; the first entry that a new leader appends.
    Empty,
    /// A new cluster configuration.
    Config(Config),
    /// A command for the state machine.
    Data(Arc<[u8]>),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// State besides the log that must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received this replica's vote in that term.
    pub vote: Option<Member>,
}

/// The state machine's state at a log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Epoch of the log; each restore from a backup increases it.
    pub epoch: u64,
    /// Configuration at that index.
    pub config: Config,
    /// The encoded state machine.
    pub data: Arc<[u8]>,
}

/// One write request to the disk.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append. An entry at an index that was already written replaces that entry and all
    /// later ones.
    pub entries: Vec<Entry>,
    /// A snapshot which, together with `entries`, replaces everything written before.
    pub snapshot: Option<Snapshot>,
}

/// The entries after the last snapshot, in memory.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub base_index: u64,
    pub base_term: u64,
    entries: VecDeque<Entry>,
    /// Size of the entries.
    bytes: usize,
}

/// Size of an entry on the disk without its command, bytes; a configuration takes somewhat more.
const ENTRY_OVERHEAD: usize = 32;

fn size(entry: &Entry) -> usize {
    ENTRY_OVERHEAD + if let Body::Data(data) = &entry.body { data.len() } else { 0 }
}

impl Log {
    pub fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(size).sum();
        Self { base_index, base_term, entries: entries.into(), bytes }
    }

    /// Size of all entries, bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Size of the entries up to an index, bytes.
    pub fn bytes_up_to(&self, index: u64) -> usize {
        self.entries.iter().take_while(|entry| entry.index <= index).map(size).sum()
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(position as usize)
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += size(&entry);
        self.entries.push_back(entry);
    }

    /// Removes the entries from this index on.
    pub fn truncate(&mut self, index: u64) {
        let length = index.saturating_sub(self.base_index + 1);
        let removed = self.entries.iter().skip(length as usize).map(size).sum::<usize>();
        self.bytes -= removed;
        self.entries.truncate(length as usize);
    }

    /// Removes the entries up to this index, which a snapshot now includes. If the log does not match
    /// the snapshot at this index, all entries are removed.
    pub fn compact(&mut self, index: u64, term: u64) {
        if index <= self.base_index {
            return;
        }
        if self.term(index) == Some(term) {
            let removed = self.entries.drain(..(index - self.base_index) as usize);
            self.bytes -= removed.map(|entry| size(&entry)).sum::<usize>();
        } else {
            self.entries.clear();
            self.bytes = 0;
        }
        self.base_index = index;
        self.base_term = term;
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Entries from an index on, up to `max_bytes` of commands but at least one entry.
    pub fn slice(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(skip) = from.checked_sub(self.base_index + 1) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut out = Vec::new();
        for entry in self.entries.iter().skip(skip as usize) {
            if let Body::Data(data) = &entry.body {
                bytes += data.len();
            }
            if !out.is_empty() && bytes > max_bytes {
                break;
            }
            out.push(entry.clone());
        }
        out
    }
}
