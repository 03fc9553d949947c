//! The folder of one keeper.

use std::fs::{self, File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};

use quorum::{Entry, HardState, Saved, Snapshot, Write};
use serde::{Deserialize, Serialize};

use crate::Error;
use crate::segment;

const CONTACTS: &str = "contacts";
const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const LOG: &str = "log-";
const SNAPSHOT: &str = "snapshot-";
const TEMPORARY: &str = "temporary";

#[derive(Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
}

#[derive(Serialize, Deserialize)]
struct Base {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Opened {
    /// The store, ready to write.
    pub store: Store,
    /// Term, vote, snapshot and log.
    pub saved: Saved,
    /// Identity of the disk.
    pub identity: u64,
    /// Bytes cut off the end of the last segment.
    pub torn_bytes: usize,
    /// The addresses that were last written, where they can be read.
    pub contacts: Option<Vec<u8>>,
}

/// The files of one keeper.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    number: u64,
    log: File,
    /// Bytes of the log that are synced.
    length: u64,
    hard_state: HardState,
    syncs: u64,
    _lock: File,
}

impl Store {
    /// Opens a folder; an empty one gets `identity` as its own for good.
    ///
    /// # Errors
    /// The folder cannot be used, another process holds it, or synced bytes have changed.
    pub fn open(folder: &Path, identity: u64) -> Result<Opened, Error> {
        fs::create_dir_all(folder).map_err(Error::io(folder))?;
        let lock = lock(folder)?;
        let identity = read_identity(folder, identity)?;
        let (number, mut saved) = read_base(folder)?;
        let contacts = read_contacts(folder)?;
        let path = log_path(folder, number);
        let bytes =
            if path.exists() { fs::read(&path).map_err(Error::io(&path))? } else { Vec::new() };
        let read = segment::read::<Record>(&bytes);
        if read.corrupt {
            return Err(Error::Corrupt { path, offset: read.end });
        }
        for record in read.records {
            match record {
                Record::HardState(hard_state) => saved.hard_state = hard_state,
                Record::Entry(entry) => place(&mut saved.entries, entry),
            }
        }
        let log = open_log(&path)?;
        let torn = bytes.len() - read.end;
        if torn > 0 {
            log.set_len(read.end as u64).map_err(Error::io(&path))?;
        }
        log.sync_all().map_err(Error::io(&path))?;
        sync_folder(folder)?;
        let hard_state = saved.hard_state.clone();
        let length = read.end as u64;
        let folder = folder.to_owned();
        let store = Self { folder, number, log, length, hard_state, syncs: 0, _lock: lock };
        Ok(Opened { store, saved, identity, torn_bytes: torn, contacts })
    }

    /// Syncs done since the folder was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Writes all requests in their order, with one sync for those without a snapshot.
    ///
    /// # Errors
    /// The disk is full: the same may be written again. Or it fails: nothing more may be written or
    /// promised.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        let mut buffer = Vec::new();
        for write in writes {
            if let Some(hard_state) = &write.hard_state {
                self.hard_state = hard_state.clone();
            }
            if let Some(snapshot) = &write.snapshot {
                self.flush(&mut buffer)?;
                self.rebase(snapshot, &write.entries)?;
                continue;
            }
            if write.hard_state.is_some() {
                segment::append(&mut buffer, &Record::HardState(self.hard_state.clone()));
            }
            for entry in &write.entries {
                segment::append(&mut buffer, &Record::Entry(entry.clone()));
            }
        }
        self.flush(&mut buffer)
    }

    /// Replaces the addresses of other processes. They only help to find these, so a change of them has no part in
    /// what the log promises.
    ///
    /// # Errors
    /// The disk is full or fails; what was written before is still there.
    pub fn write_contacts(&mut self, contacts: &[u8]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        segment::append(&mut bytes, &contacts);
        write_synced(&self.folder, CONTACTS, &bytes)
    }

    fn flush(&mut self, buffer: &mut Vec<u8>) -> Result<(), Error> {
        if buffer.is_empty() {
            return Ok(());
        }
        let path = log_path(&self.folder, self.number);
        if let Err(error) = self.log.write_all(buffer) {
            // A part may stand there; what is written next must follow what is synced.
            self.log.set_len(self.length).map_err(Error::io(&path))?;
            return Err(Error::io(&path)(error));
        }
        self.log.sync_data().map_err(Error::io(&path))?;
        self.syncs += 1;
        self.length += buffer.len() as u64;
        buffer.clear();
        Ok(())
    }

    /// Puts a snapshot in place under a new number; the old files go only once it is synced.
    fn rebase(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> Result<(), Error> {
        let number = self.number + 1;
        let base = Base {
            hard_state: self.hard_state.clone(),
            snapshot: snapshot.clone(),
            entries: entries.to_vec(),
        };
        let mut bytes = Vec::new();
        segment::append(&mut bytes, &base);
        let path = log_path(&self.folder, number);
        let log = open_log(&path)?;
        log.set_len(0).map_err(Error::io(&path))?;
        write_synced(&self.folder, &format!("{SNAPSHOT}{number}"), &bytes)?;
        self.syncs += 1;
        let old = self.number;
        (self.number, self.log, self.length) = (number, log, 0);
        remove(&log_path(&self.folder, old))?;
        remove(&self.folder.join(format!("{SNAPSHOT}{old}")))
    }
}

fn place(entries: &mut Vec<Entry>, entry: Entry) {
    while entries.last().is_some_and(|last| last.index >= entry.index) {
        entries.pop();
    }
    entries.push(entry);
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
    let file = open_log(&path)?;
    file.try_lock().map_err(|_| Error::InUse(folder.to_owned()))?;
    Ok(file)
}

fn read_identity(folder: &Path, fresh: u64) -> Result<u64, Error> {
    let path = folder.join(IDENTITY);
    if !path.exists() {
        write_synced(folder, IDENTITY, fresh.to_string().as_bytes())?;
        return Ok(fresh);
    }
    let text = fs::read_to_string(&path).map_err(Error::io(&path))?;
    text.trim().parse().map_err(|_| Error::Corrupt { path, offset: 0 })
}

fn read_contacts(folder: &Path) -> Result<Option<Vec<u8>>, Error> {
    let path = folder.join(CONTACTS);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(Error::io(&path))?;
    Ok(segment::read::<Vec<u8>>(&bytes).records.pop())
}

fn read_base(folder: &Path) -> Result<(u64, Saved), Error> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(folder).map_err(Error::io(folder))? {
        let name = file.map_err(Error::io(folder))?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(SNAPSHOT)?.parse().ok());
        numbers.extend::<Option<u64>>(number);
    }
    let Some(number) = numbers.into_iter().max() else {
        return Ok((0, Saved::default()));
    };
    let path = folder.join(format!("{SNAPSHOT}{number}"));
    let bytes = fs::read(&path).map_err(Error::io(&path))?;
    let Some(base) = segment::read::<Base>(&bytes).records.pop() else {
        return Err(Error::Corrupt { path, offset: 0 });
    };
    let saved =
        Saved { hard_state: base.hard_state, snapshot: Some(base.snapshot), entries: base.entries };
    Ok((number, saved))
}

fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{LOG}{number}"))
}

fn open_log(path: &Path) -> Result<File, Error> {
    OpenOptions::new().create(true).append(true).open(path).map_err(Error::io(path))
}

fn write_synced(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let temporary = folder.join(TEMPORARY);
    let mut file = File::create(&temporary).map_err(Error::io(&temporary))?;
    if let Err(error) = file.write_all(bytes).and_then(|()| file.sync_all()) {
        // A part of it would keep room from the log. A failure to free that says less than the first one.
        let _ = file.set_len(0);
        return Err(Error::io(&temporary)(error));
    }
    let path = folder.join(name);
    fs::rename(&temporary, &path).map_err(Error::io(&path))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder).and_then(|file| file.sync_all()).map_err(Error::io(folder))
}

fn remove(path: &Path) -> Result<(), Error> {
    if path.exists() { fs::remove_file(path).map_err(Error::io(path)) } else { Ok(()) }
}
