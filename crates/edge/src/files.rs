//! The thread that writes a keeper's files, with one sync for all queued requests.

use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use disk::{Opened, Recent, Store};
use node::Event;
use quorum::Write;
use wire::quarantine::{Evidence, Observation};
use wire::{Contact, DecodeError, Decoder, Frame, stream};

use crate::{Input, Inputs};

/// Delay before a write to a full disk is retried.
const FULL_RETRY: Duration = Duration::from_millis(200);
/// Delay before a file that nobody waits for is written again.
const FILE_RETRY: Duration = Duration::from_secs(1);

/// Interval between checks of the free space.
const SPACE_INTERVAL: Duration = Duration::from_secs(10);
/// The disk has room for as many copies of the files: the log grows to twice the snapshot before another one is written.
const SPARE_COPIES: u64 = 4;

/// A request to write.
#[derive(Debug)]
pub enum Command {
    /// Writes to the log.
    Log {
        /// Number of the request.
        seq: u64,
        /// What to write.
        write: Write,
    },
    /// Adds records of streams.
    Streams {
        /// Number of the write.
        number: u64,
        /// The records.
        records: Vec<stream::Record>,
        /// Whether the older generation of records is dropped before.
        new_generation: bool,
    },
    /// Replaces the addresses of other processes.
    Contacts(Vec<Contact>),
    /// Replaces the observations of crashed servers.
    Evidence(Vec<Observation>),
}

/// Opens a keeper's folder.
///
/// # Errors
/// The folder can't be used, or synced bytes have changed.
pub fn open(folder: &Path, identity: u64) -> Result<Opened, disk::Error> {
    let opened = Store::open(folder, identity)?;
    if opened.torn_bytes > 0 {
        log::warn!(bytes = opened.torn_bytes; "truncated torn tail of the log");
    }
    Ok(opened)
}

/// The contacts in the folder; none if they were written in another format.
pub fn contacts(opened: &Opened) -> Vec<Contact> {
    match opened.contacts.as_deref().map(frame) {
        Some(Ok(Some(Frame::Contacts(contacts)))) => contacts,
        None => Vec::new(),
        found => {
            log::warn!(found:?; "peer address file unreadable");
            Vec::new()
        }
    }
}

/// The observations of crashed servers in the folder; none if they were written in another format.
pub fn evidence(opened: &Opened) -> Vec<Observation> {
    match opened.evidence.as_deref().map(frame) {
        Some(Ok(Some(Frame::Evidence(evidence)))) => evidence.observations,
        None => Vec::new(),
        found => {
            log::warn!(found:?; "file of crashed servers unreadable");
            Vec::new()
        }
    }
}

/// The records of streams in the folder; those that were written in another format are left out.
pub fn streams(opened: &Opened) -> Vec<stream::Record> {
    let mut records = Vec::new();
    for bytes in &opened.recent_records {
        match frame(bytes) {
            Ok(Some(Frame::StreamRecords(found))) => records.extend(found.records),
            found => log::warn!(found:?; "records of streams unreadable"),
        }
    }
    records
}

fn frame(bytes: &[u8]) -> Result<Option<Frame>, DecodeError> {
    let mut decoder = Decoder::default();
    decoder.push(bytes);
    decoder.next_frame()
}

/// Starts the thread.
///
/// # Errors
/// The thread can't be started.
pub fn start(store: Store, recent: Recent, inputs: Inputs) -> std::io::Result<Sender<Command>> {
    let (sender, commands) = channel();
    let thread = thread::Builder::new().name("files".to_owned());
    thread.spawn(move || run(store, recent, &commands, &inputs))?;
    Ok(sender)
}

fn run(mut store: Store, mut recent: Recent, commands: &Receiver<Command>, inputs: &Inputs) {
    let mut contacts = None;
    let mut evidence = None;
    let mut next_space_check = Instant::now();
    loop {
        // Files that could not be written are retried.
        let first = if contacts.is_some() || evidence.is_some() {
            commands.recv_timeout(FILE_RETRY)
        } else {
            commands.recv().map_err(RecvTimeoutError::from)
        };
        if matches!(first, Err(RecvTimeoutError::Disconnected)) {
            return;
        }
        let mut writes = Vec::new();
        let mut last = None;
        let mut streams = Streams::default();
        for command in first.into_iter().chain(commands.try_iter()) {
            match command {
                Command::Log { seq, write } => {
                    last = Some(seq);
                    writes.push(write);
                }
                Command::Streams { number, records, new_generation } => {
                    streams.numbers.push(number);
                    streams.records.extend(records);
                    streams.new_generation |= new_generation;
                }
                Command::Contacts(found) => {
                    contacts = Some(wire::encode(&Frame::Contacts(found)));
                }
                Command::Evidence(observations) => {
                    let found = Evidence { complete: true, observations };
                    evidence = Some(wire::encode(&Frame::Evidence(found)));
                }
            }
        }
        if let Some(seq) = last {
            let event = match write(&mut store, &writes) {
                Ok(()) => Event::Persisted { seq },
                Err(error) => Event::DiskFailed { text: error.to_string() },
            };
            let failed = matches!(event, Event::DiskFailed { .. });
            if inputs.send(Input::Event(event)).is_err() || failed {
                return;
            }
        }
        if !streams.numbers.is_empty() {
            match streams.write(&mut recent) {
                Ok(()) => {
                    for number in streams.numbers {
                        let event = Event::StreamsSaved { number };
                        if inputs.send(Input::Event(event)).is_err() {
                            return;
                        }
                    }
                }
                // Keepers without these records don't know the streams, which then don't go on.
                Err(error) => log::warn!("records of streams not written: {error}"),
            }
        }
        if Instant::now() >= next_space_check {
            next_space_check = Instant::now() + SPACE_INTERVAL;
            check_space(&store);
        }
        contacts = contacts.filter(|bytes| {
            is_unwritten(store.write_contacts(bytes), "peer address file not written")
        });
        evidence = evidence.filter(|bytes| {
            is_unwritten(store.write_evidence(bytes), "file of crashed servers not written")
        });
    }
}

/// Warns before the disk is full.
fn check_space(store: &Store) {
    let free = rustix::fs::statvfs(store.directory())
        .map(|found| found.f_bavail * found.f_frsize)
        .map_err(|error| error.to_string());
    let used = store.used_bytes().map_err(|error| error.to_string());
    match (used, free) {
        (Ok(used), Ok(free)) if free < SPARE_COPIES * used => {
            log::warn!(used_bytes = used, free_bytes = free; "disk space low");
        }
        (Ok(_), Ok(_)) => {}
        (Err(error), _) | (_, Err(error)) => log::warn!("disk space unknown: {error}"),
    }
}

/// Records of streams to write together.
#[derive(Debug, Default)]
struct Streams {
    /// Numbers of the writes.
    numbers: Vec<u64>,
    records: Vec<stream::Record>,
    new_generation: bool,
}

impl Streams {
    fn write(&mut self, recent: &mut Recent) -> Result<(), disk::Error> {
        if self.new_generation {
            recent.start_generation()?;
        }
        let records = stream::Records { ack: None, records: std::mem::take(&mut self.records) };
        recent.append(&wire::encode(&Frame::StreamRecords(records)))
    }
}

/// Whether a file has to be written again, since the disk is full. Logs an error as `message`.
fn is_unwritten(result: Result<(), disk::Error>, message: &str) -> bool {
    let Err(error) = result else {
        return false;
    };
    log::warn!(full = error.is_full(); "{message}: {error}");
    error.is_full()
}

/// Writes, and waits while the disk is full; nothing is acknowledged meanwhile.
fn write(store: &mut Store, writes: &[Write]) -> Result<(), disk::Error> {
    let mut logged = false;
    let mut done = 0;
    loop {
        match store.write_from(&mut done, writes) {
            Err(error) if error.is_full() => {
                if !logged {
                    log::warn!("disk full: {error}");
                    logged = true;
                }
                thread::sleep(FULL_RETRY);
            }
            result => {
                if logged {
                    log::info!("disk writable again");
                }
                return result;
            }
        }
    }
}
