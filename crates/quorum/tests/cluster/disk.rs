//! A replica's disk, simulated in memory.

use quorum::{Saved, Write};

#[derive(Debug, Default, Clone)]
pub struct Disk {
    pub saved: Saved,
    pub identity: u64,
}

impl Disk {
    pub fn write(&mut self, write: Write) {
        let Write { hard_state, entries, snapshot } = write;
        if let Some(hard_state) = hard_state {
            self.saved.hard_state = hard_state;
        }
        if let Some(snapshot) = snapshot {
            self.saved.snapshot = Some(snapshot);
            self.saved.entries.clear();
        }
        for entry in entries {
            self.saved.entries.retain(|old| old.index < entry.index);
            self.saved.entries.push(entry);
        }
        // A store refuses to open with other entries.
        let base = self.saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        assert!((base + 1..).zip(&self.saved.entries).all(|(index, entry)| entry.index == index));
    }
}
