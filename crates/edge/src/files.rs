//! The thread that writes a keeper's files, with one sync for all queued requests.

use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

use disk::{Opened, Store};
use node::Event;
use quorum::Write;
use wire::quarantine::{Evidence, Observation};
use wire::{Contact, DecodeError, Decoder, Frame};

use crate::{Input, Inputs};

/// Delay before a write to a full disk is retried.
const FULL_RETRY: Duration = Duration::from_millis(200);
/// Delay before a file that nobody waits for is written again.
const FILE_RETRY: Duration = Duration::from_secs(1);

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

fn frame(bytes: &[u8]) -> Result<Option<Frame>, DecodeError> {
    let mut decoder = Decoder::default();
    decoder.push(bytes);
    decoder.next_frame()
}

/// Starts the thread.
///
/// # Errors
/// The thread can't be started.
pub fn start(store: Store, inputs: Inputs) -> std::io::Result<Sender<Command>> {
    let (sender, commands) = channel();
    let thread = thread::Builder::new().name("files".to_owned());
    thread.spawn(move || run(store, &commands, &inputs))?;
    Ok(sender)
}

fn run(mut store: Store, commands: &Receiver<Command>, inputs: &Inputs) {
    let mut contacts = None;
    let mut evidence = None;
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
        for command in first.into_iter().chain(commands.try_iter()) {
            match command {
                Command::Log { seq, write } => {
                    last = Some(seq);
                    writes.push(write);
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
        contacts = contacts.filter(|bytes| {
            is_unwritten(store.write_contacts(bytes), "peer address file not written")
        });
        evidence = evidence.filter(|bytes| {
            is_unwritten(store.write_evidence(bytes), "file of crashed servers not written")
        });
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
    loop {
        match store.write(writes) {
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
