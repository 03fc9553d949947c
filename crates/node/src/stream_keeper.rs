//! Origins of streams, kept by a keeper for all entries.
//!
//! Entries send what they record to a few keepers without waiting, and ask all keepers when a client resumes a stream. A
//! keeper writes the records of one tick together, apart from the agreed log: a record that is lost costs a stream, so
//! it needs no agreement.

use base::prelude::*;
use resume::{Key, Lookup, Origin, RETENTION, Table, Write};
use wire::{Frame, stream};

use crate::{Effect, Effects};

/// Maximum number of records that wait for a write; further ones are kept in memory only.
const MAX_UNWRITTEN: usize = 20_000;

/// An acknowledgement that an entry waits for.
#[derive(Debug)]
struct Pending {
    /// The write after which it is sent.
    write: u64,
    entry: Name,
    ack: u64,
}

/// The origins that a keeper knows.
#[derive(Debug, Default)]
pub struct StreamKeeper {
    table: Table,
    /// Records to write next.
    unwritten: Vec<stream::Record>,
    pending: Vec<Pending>,
    /// Number of the next write.
    next_write: u64,
    next_generation: Time,
}

impl StreamKeeper {
    /// Adds the records that an earlier incarnation wrote.
    pub fn load(&mut self, now: Time, records: Vec<stream::Record>) {
        self.next_generation = now + RETENTION;
        for record in records {
            self.table.insert(now, Key(record.key), from_wire(record.write));
        }
    }

    /// Adds the records that an entry sent.
    pub fn record(&mut self, now: Time, entry: &Name, records: stream::Records) {
        for record in &records.records {
            self.table.insert(now, Key(record.key), from_wire(record.write.clone()));
        }
        if self.unwritten.len() >= MAX_UNWRITTEN {
            // No acknowledgement follows.
            return;
        }
        self.unwritten.extend(records.records);
        if let Some(ack) = records.ack {
            let (write, entry) = (self.next_write, entry.clone());
            self.pending.push(Pending { write, entry, ack });
        }
    }

    /// What is known about a stream.
    pub fn lookup(&self, key: Key) -> stream::Lookup {
        match self.table.lookup(key) {
            Lookup::Known(origin) => stream::Lookup::Known(origin_to_wire(origin)),
            Lookup::Uncertain => stream::Lookup::Uncertain,
            Lookup::Unknown => stream::Lookup::Unknown,
        }
    }

    /// Number of streams whose origins are known.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Writes what was recorded since the last tick.
    pub fn tick(&mut self, now: Time, out: &mut Effects) {
        self.table.drop_oldest(now);
        if self.unwritten.is_empty() {
            return;
        }
        let new_generation = now >= self.next_generation;
        if new_generation {
            self.next_generation = now + RETENTION;
        }
        let records = std::mem::take(&mut self.unwritten);
        out.push(Effect::SaveStreams { number: self.next_write, records, new_generation });
        self.next_write += 1;
    }

    /// Acknowledges the records of a write that is on the disk.
    pub fn written(&mut self, number: u64, out: &mut Effects) {
        self.pending.retain(|pending| {
            if pending.write == number {
                let frame = Frame::StreamsRecorded { ack: pending.ack };
                out.push(Effect::Send { to: pending.entry.clone(), frame });
            }
            // The writes before it have failed.
            pending.write > number
        });
    }
}

/// Encodes what is recorded about a stream.
pub(crate) fn to_wire(key: Key, write: Write) -> stream::Record {
    let write = match write {
        Write::First(origin) => stream::Write::First(origin_to_wire(origin)),
        Write::Moved(origin) => stream::Write::Moved(origin_to_wire(origin)),
        Write::Uncertain => stream::Write::Uncertain,
    };
    stream::Record { key: key.0, write }
}

fn from_wire(write: stream::Write) -> Write {
    match write {
        stream::Write::First(origin) => Write::First(origin_from_wire(origin)),
        stream::Write::Moved(origin) => Write::Moved(origin_from_wire(origin)),
        stream::Write::Uncertain => Write::Uncertain,
    }
}

fn origin_to_wire(origin: Origin) -> stream::Origin {
    stream::Origin { service: origin.service, software: origin.software }
}

/// Decodes an origin.
pub(crate) fn origin_from_wire(origin: stream::Origin) -> Origin {
    Origin { service: origin.service, software: origin.software }
}
