//! The data directory of one keeper.

use std::fs::{self, File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use quorum::{Entry, HardState, Saved, Snapshot, Write};
use serde::{Deserialize, Serialize};

use crate::{Error, Recent, segment};

const CONTACTS: &str = "contacts";
const EVIDENCE: &str = "evidence";
const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const LOG: &str = "log-";
const SNAPSHOT: &str = "snapshot-";
const TEMPORARY: &str = "temporary";

/// A record in the log.
#[derive(Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
}

/// The content of a snapshot file: the state from which the log of the same number continues.
#[derive(Serialize, Deserialize)]
struct Base {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

/// A store and the state read when it was opened.
#[derive(Debug)]
pub struct Opened {
    /// The store, ready to write.
    pub store: Store,
    /// Term, vote, snapshot and log.
    pub saved: Saved,
    /// Identity of the disk.
    pub identity: u64,
    /// Size of the torn write truncated from the end of the log, bytes.
    pub torn_bytes: usize,
    /// The addresses of other processes that were last written; `None` if there are none or they cannot
    /// be read.
    pub contacts: Option<Vec<u8>>,
    /// The observations of crashed servers that were written last.
    pub evidence: Option<Vec<u8>>,
    /// The log of recent records, ready to write.
    pub recent: Recent,
    /// The records in it.
    pub recent_records: Vec<Vec<u8>>,
}

/// The files of one keeper.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    /// Number of the current snapshot and log.
    number: u64,
    log: File,
    /// Size of the synced part of the log, bytes.
    length: u64,
    hard_state: HardState,
    syncs: u64,
    _lock: File,
}

impl Store {
    /// Opens a directory. An empty one is permanently assigned `identity`.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be used, another process has locked it, or synced data
    /// is corrupt or misplaced.
    pub fn open(directory: &Path, identity: u64) -> Result<Opened, Error> {
        fs::create_dir_all(directory).map_err(Error::io(directory))?;
        let lock = lock(directory)?;
        let identity = read_identity(directory, identity)?;
        let (number, mut saved) = read_base(directory)?;
        let contacts = read_file(directory, CONTACTS)?;
        let evidence = read_file(directory, EVIDENCE)?;
        let path = log_path(directory, number);
        let bytes =
            if path.exists() { fs::read(&path).map_err(Error::io(&path))? } else { Vec::new() };
        let read = segment::read::<Record>(&bytes);
        if read.corrupt {
            return Err(Error::Corrupt { path, offset: read.end });
        }
        for record in read.records {
            match record {
                Record::HardState(hard_state) => saved.hard_state = hard_state,
                Record::Entry(entry) => replay_entry(&mut saved.entries, entry),
            }
        }
        let base = saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        for (expected, entry) in (base + 1..).zip(&saved.entries) {
            if entry.index != expected {
                return Err(Error::Misplaced { path, expected, found: entry.index });
            }
        }
        let log = open_log(&path)?;
        let torn = bytes.len() - read.end;
        if torn > 0 {
            log.set_len(read.end as u64).map_err(Error::io(&path))?;
        }
        log.sync_all().map_err(Error::io(&path))?;
        let (recent, recent_records) = Recent::open(directory)?;
        sync_directory(directory)?;
        let hard_state = saved.hard_state.clone();
        let length = read.end as u64;
        let directory = directory.to_owned();
        let store = Self { directory, number, log, length, hard_state, syncs: 0, _lock: lock };
        Ok(Opened {
            store,
            saved,
            identity,
            torn_bytes: torn,
            contacts,
            evidence,
            recent,
            recent_records,
        })
    }

    /// Number of syncs since the directory was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Size of all files, bytes.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be read.
    pub fn used_bytes(&self) -> Result<u64, Error> {
        let mut bytes = 0;
        for file in fs::read_dir(&self.directory).map_err(Error::io(&self.directory))? {
            let metadata = file.and_then(|file| file.metadata());
            bytes += metadata.map_err(Error::io(&self.directory))?.len();
        }
        Ok(bytes)
    }

    /// The directory.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Performs all writes in order, with a single sync for consecutive writes without a snapshot.
    ///
    /// # Errors
    /// Returns an error if the disk is full or fails, after which nothing more may be written or acknowledged.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        self.write_from(&mut 0, writes)
    }

    /// Performs the writes after the first `done` ones, and counts in `done` those that are on the disk. These must not be
    /// repeated: a snapshot may have replaced them.
    ///
    /// # Errors
    /// Returns an error if the disk is full, after which the same writes may be retried with the same `done`, or if it
    /// fails, after which nothing more may be written or acknowledged.
    pub fn write_from(&mut self, done: &mut usize, writes: &[Write]) -> Result<(), Error> {
        let mut buffer = Vec::new();
        for (index, write) in writes.iter().enumerate().skip(*done) {
            if let Some(snapshot) = &write.snapshot {
                self.flush(&mut buffer)?;
                *done = index;
                if let Some(hard_state) = &write.hard_state {
                    self.hard_state = hard_state.clone();
                }
                self.write_snapshot(snapshot, &write.entries)?;
                *done = index + 1;
                continue;
            }
            if let Some(hard_state) = &write.hard_state {
                self.hard_state = hard_state.clone();
                segment::append(&mut buffer, &Record::HardState(hard_state.clone()));
            }
            for entry in &write.entries {
                segment::append(&mut buffer, &Record::Entry(entry.clone()));
            }
        }
        self.flush(&mut buffer)?;
        *done = writes.len();
        Ok(())
    }

    /// Replaces the stored addresses of other processes. They only serve to find these processes and are not needed for
    /// the durability of the log.
    ///
    /// # Errors
    /// Returns an error if the disk is full or fails; the previous addresses are preserved.
    pub fn write_contacts(&mut self, contacts: &[u8]) -> Result<(), Error> {
        self.write_file(CONTACTS, contacts)
    }

    /// Replaces the stored observations of crashed servers, on the same terms.
    ///
    /// # Errors
    /// Returns an error if the disk is full or fails; the previous observations are preserved.
    pub fn write_evidence(&mut self, evidence: &[u8]) -> Result<(), Error> {
        self.write_file(EVIDENCE, evidence)
    }

    fn write_file(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        segment::append(&mut bytes, &content);
        write_synced(&self.directory, name, &bytes)
    }

    fn flush(&mut self, buffer: &mut Vec<u8>) -> Result<(), Error> {
        if buffer.is_empty() {
            return Ok(());
        }
        let path = log_path(&self.directory, self.number);
        if let Err(error) = self.log.write_all(buffer).and_then(|()| self.log.sync_data()) {
            // The write may be incomplete: the next one must directly follow the synced data.
            self.log.set_len(self.length).map_err(Error::io(&path))?;
            return Err(Error::io(&path)(error));
        }
        self.syncs += 1;
        self.length += buffer.len() as u64;
        buffer.clear();
        Ok(())
    }

    /// Writes a snapshot under a new number, with an empty log. The old files are removed only once it is
    /// synced.
    fn write_snapshot(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
        let number = self.number + 1;
        let base = Base {
            hard_state: self.hard_state.clone(),
            snapshot: snapshot.clone(),
            entries: entries.to_vec(),
        };
        let mut bytes = Vec::new();
        segment::append(&mut bytes, &base);
        let path = log_path(&self.directory, number);
        let log = open_log(&path)?;
        log.set_len(0).map_err(Error::io(&path))?;
        write_synced(&self.directory, &format!("{SNAPSHOT}{number}"), &bytes)?;
        self.syncs += 1;
        let old = self.number;
        (self.number, self.log, self.length) = (number, log, 0);
        remove(&log_path(&self.directory, old))?;
        remove(&self.directory.join(format!("{SNAPSHOT}{old}")))
    }
}

/// Appends an entry read from the log, which replaces earlier entries from its index on.
fn replay_entry(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}

fn lock(directory: &Path) -> Result<File, Error> {
    let path = directory.join(LOCK);
    let file = open_log(&path)?;
    file.try_lock().map_err(|_| Error::InUse(directory.to_owned()))?;
    Ok(file)
}

/// Reads the identity of the disk, or writes `initial` if there is none.
fn read_identity(directory: &Path, initial: u64) -> Result<u64, Error> {
    let path = directory.join(IDENTITY);
    if !path.exists() {
        write_synced(directory, IDENTITY, initial.to_string().as_bytes())?;
        return Ok(initial);
    }
    let text = fs::read_to_string(&path).map_err(Error::io(&path))?;
    text.trim().parse().map_err(|_| Error::Corrupt { path, offset: 0 })
}

fn read_file(directory: &Path, name: &str) -> Result<Option<Vec<u8>>, Error> {
    let path = directory.join(name);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(Error::io(&path))?;
    Ok(segment::read::<Vec<u8>>(&bytes).records.pop())
}

fn read_base(directory: &Path) -> Result<(u64, Saved), Error> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(directory).map_err(Error::io(directory))? {
        let name = file.map_err(Error::io(directory))?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(SNAPSHOT)?.parse().ok());
        numbers.extend::<Option<u64>>(number);
    }
    let Some(number) = numbers.into_iter().max() else {
        return Ok((0, Saved::default()));
    };
    let path = directory.join(format!("{SNAPSHOT}{number}"));
    let bytes = fs::read(&path).map_err(Error::io(&path))?;
    let Some(base) = segment::read::<Base>(&bytes).records.pop() else {
        return Err(Error::Corrupt { path, offset: 0 });
    };
    let saved =
        Saved { hard_state: base.hard_state, snapshot: Some(base.snapshot), entries: base.entries };
    Ok((number, saved))
}

fn log_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{LOG}{number}"))
}

pub(crate) fn open_log(path: &Path) -> Result<File, Error> {
    OpenOptions::new().create(true).append(true).open(path).map_err(Error::io(path))
}

/// Writes a file atomically: into a temporary file, which is synced and renamed.
fn write_synced(directory: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let temporary = directory.join(TEMPORARY);
    let mut file = File::create(&temporary).map_err(Error::io(&temporary))?;
    if let Err(error) = file.write_all(bytes).and_then(|()| file.sync_all()) {
        // An incomplete file would take space that the log needs. If it cannot be truncated, the first error is the
        // one to report.
        let _ = file.set_len(0);
        return Err(Error::io(&temporary)(error));
    }
    let path = directory.join(name);
    fs::rename(&temporary, &path).map_err(Error::io(&path))?;
    sync_directory(directory)
}

fn sync_directory(directory: &Path) -> Result<(), Error> {
    File::open(directory).and_then(|file| file.sync_all()).map_err(Error::io(directory))
}

fn remove(path: &Path) -> Result<(), Error> {
    if path.exists() { fs::remove_file(path).map_err(Error::io(path)) } else { Ok(()) }
}
