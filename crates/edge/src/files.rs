//! The thread that writes a keeper's files: one sync for all requests that wait.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use disk::{Opened, Store};
use node::Event;
use quorum::Write;

use crate::{Input, Inputs};

/// Pause before a write to a full disk is tried again.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// A request to write.
#[derive(Debug)]
pub struct Command {
    /// Its number.
    pub seq: u64,
    /// What to write.
    pub write: Write,
}

/// Opens a keeper's folder.
///
/// # Errors
/// The folder cannot be used or synced bytes have changed.
pub fn open(folder: &Path, identity: u64) -> Result<Opened, disk::Error> {
    let opened = Store::open(folder, identity)?;
    if opened.torn > 0 {
        log::warn!(bytes = opened.torn; "cut a torn end off the log");
    }
    Ok(opened)
}

/// Starts the thread.
///
/// # Errors
/// The thread cannot be started.
pub fn start(store: Store, inputs: Inputs) -> std::io::Result<Sender<Command>> {
    let (sender, commands) = channel();
    let thread = thread::Builder::new().name("files".to_owned());
    thread.spawn(move || run(store, &commands, &inputs))?;
    Ok(sender)
}

fn run(mut store: Store, commands: &Receiver<Command>, inputs: &Inputs) {
    while let Ok(first) = commands.recv() {
        let mut seq = first.seq;
        let mut writes = vec![first.write];
        for command in commands.try_iter() {
            seq = command.seq;
            writes.push(command.write);
        }
        let event = match write(&mut store, &writes) {
            Ok(()) => Event::Persisted { seq },
            Err(error) => Event::DiskFailed { text: error.to_string() },
        };
        let failed = matches!(event, Event::DiskFailed { .. });
        if inputs.send(Input::Event(event)).is_err() || failed {
            return;
        }
    }
}

/// Writes, and waits while the disk takes no more bytes: nothing is promised meanwhile.
fn write(store: &mut Store, writes: &[Write]) -> Result<(), disk::Error> {
    let mut told = false;
    loop {
        match store.write(writes) {
            Err(error) if error.is_full() => {
                if !told {
                    log::warn!("disk full: {error}");
                    told = true;
                }
                thread::sleep(FULL_PAUSE);
            }
            result => {
                if told {
                    log::info!("disk takes bytes again");
                }
                return result;
            }
        }
    }
}
