//! Measures commits per second of three keepers with logs on disk.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use base::{Name, Time};
use disk::Store;
use quorum::{Bootstrap, Input, Member, Output, Replica, Role, Timing, Write};
use serde_json::{Value, json};

use super::{histogram, quantiles};
use crate::args;
use crate::client::Error;

const KEEPERS: usize = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time beyond the measurement, in which the keepers start and elect a leader, seconds.
const STARTUP_SECONDS: u64 = 3;

enum Message {
    Input(Input),
    Stop,
}

/// Keeps a number of proposals in flight at the leader, for several numbers of writers.
pub fn run(commits: &args::Commits) -> Result<Value, Error> {
    let mut out = Vec::new();
    for writers in [1, 8, 64] {
        out.push(one(&commits.folder.join(writers.to_string()), writers, commits.seconds)?);
    }
    Ok(Value::Array(out))
}

fn one(folder: &Path, writers: usize, seconds: u64) -> Result<Value, Error> {
    let error = |error: &dyn std::fmt::Display| Error::Rejected(error.to_string());
    let names: Vec<Name> = (0..KEEPERS).map(|n| Name::from(format!("k{n}"))).collect();
    let pairs: Vec<_> = (0..KEEPERS).map(|_| channel::<Message>()).collect();
    let senders: Vec<Sender<Message>> = pairs.iter().map(|(sender, _)| sender.clone()).collect();
    let (commits, committed) = channel();
    let mut threads = Vec::new();
    for (place, (_, messages)) in pairs.into_iter().enumerate() {
        let path = folder.join(format!("k{place}"));
        let _ = std::fs::remove_dir_all(&path);
        let opened = Store::open(&path, place as u64 + 1).map_err(|source| error(&source))?;
        let me = Member { name: names[place].clone(), disk_id: opened.identity };
        let bootstrap = Bootstrap::of(names.clone(), 1);
        let timing = Timing { snapshot_after: u64::MAX, ..Timing::default() };
        let replica = Replica::new(me, bootstrap, timing, place as u64, opened.saved);
        let keeper = Keeper {
            replica,
            place,
            senders: senders.clone(),
            log_writer: log_writer(opened.store, senders[place].clone()),
            commits: commits.clone(),
            sent: HashMap::new(),
            writers,
            next: 1,
            start: Instant::now(),
        };
        threads.push(thread::spawn(move || keeper.run(&messages)));
    }
    drop(commits);
    thread::sleep(Duration::from_secs(seconds + STARTUP_SECONDS));
    for sender in &senders {
        let _ = sender.send(Message::Stop);
    }
    let mut times = histogram()?;
    let mut first = None;
    let mut last = Instant::now();
    for (at, took) in committed {
        first.get_or_insert(at);
        last = at;
        let _ = times.record(took);
    }
    let syncs: u64 = threads.into_iter().filter_map(|t| t.join().ok()).max().unwrap_or(0);
    let span = first.map_or(1.0, |first| (last - first).as_secs_f64());
    Ok(json!({
        "writers": writers,
        "commits_per_s": times.len() as f64 / span.max(1e-9),
        "commit_ms": quantiles(&times),
        "leader_syncs_per_commit": syncs as f64 / times.len().max(1) as f64,
    }))
}

/// Starts the thread that writes the log. It writes all queued requests with one sync, and returns the number of
/// syncs at its end.
fn log_writer(
    mut store: Store,
    inputs: Sender<Message>,
) -> (Sender<(u64, Write)>, thread::JoinHandle<u64>) {
    let (sender, requests) = channel::<(u64, Write)>();
    let handle = thread::spawn(move || {
        while let Ok((mut seq, write)) = requests.recv() {
            let mut writes = vec![write];
            for (last, write) in requests.try_iter() {
                seq = last;
                writes.push(write);
            }
            if store.write(&writes).is_err()
                || inputs.send(Message::Input(Input::Persisted { seq })).is_err()
            {
                break;
            }
        }
        store.syncs()
    });
    (sender, handle)
}

struct Keeper {
    replica: Replica,
    /// Index of this keeper.
    place: usize,
    senders: Vec<Sender<Message>>,
    log_writer: (Sender<(u64, Write)>, thread::JoinHandle<u64>),
    /// When each proposal was committed, and after how many microseconds.
    commits: Sender<(Instant, u64)>,
    /// When each proposal in flight was made.
    sent: HashMap<u64, Instant>,
    writers: usize,
    next: u64,
    start: Instant,
}

impl Keeper {
    fn run(mut self, messages: &Receiver<Message>) -> u64 {
        let mut next_tick = Instant::now();
        let mut waiting = HashMap::new();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match messages.recv_timeout(wait) {
                Ok(Message::Input(input)) => self.step(input, &mut waiting),
                Ok(Message::Stop) => break,
                Err(_) => {
                    next_tick = Instant::now() + TICK_INTERVAL;
                    self.announce();
                    self.step(Input::Tick, &mut waiting);
                }
            }
            let is_leader = *self.replica.role() == Role::Leader;
            while is_leader && self.sent.len() < self.writers {
                self.next += 1;
                let id = self.next;
                self.sent.insert(id, Instant::now());
                let data = Arc::from([7_u8; 200]);
                self.step(Input::Propose { id, data }, &mut waiting);
            }
        }
        drop(self.log_writer.0);
        let is_leader = *self.replica.role() == Role::Leader;
        let syncs = self.log_writer.1.join().unwrap_or(0);
        if is_leader { syncs } else { 0 }
    }

    fn announce(&self) {
        if let Some(message) = self.replica.announcement() {
            let from = self.replica.me().clone();
            for (place, sender) in self.senders.iter().enumerate() {
                if place != self.place {
                    let input = Input::Message { from: from.clone(), message: message.clone() };
                    let _ = sender.send(Message::Input(input));
                }
            }
        }
    }

    fn step(&mut self, input: Input, waiting: &mut HashMap<u64, u64>) {
        let now = Time(self.start.elapsed().as_micros() as u64);
        let mut out = Vec::new();
        self.replica.step(now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let place = to.name.trim_start_matches('k').parse::<usize>().unwrap_or(0);
                    let from = self.replica.me().clone();
                    let input = Input::Message { from, message };
                    let _ = self.senders[place].send(Message::Input(input));
                }
                Output::Persist { seq, write } => {
                    let _ = self.log_writer.0.send((seq, write));
                }
                Output::Accepted { id, index, .. } => {
                    waiting.insert(index, id);
                }
                Output::Apply(entry) => {
                    if let Some(id) = waiting.remove(&entry.index)
                        && let Some(sent) = self.sent.remove(&id)
                    {
                        let took = sent.elapsed().as_micros() as u64;
                        let _ = self.commits.send((Instant::now(), took));
                    }
                }
                _ => {}
            }
        }
    }
}
