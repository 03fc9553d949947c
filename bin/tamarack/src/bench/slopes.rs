//! Cost per candidate, per record and per log entry, for docs/CAPACITY.md.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base::{Incarnation, Name, Revision, RunId};
use cache::{Directory, PIECE_BYTES, Scope, block_keys};
use disk::Store;
use quorum::{Body, Entry, Write};
use record::Kind;
use route::{Candidate, Need, Weights, choose};
use serde_json::{Value, json};
use state::{Claim, Command, Put, State};

use super::resident_bytes;
use crate::client::Error;

/// Rounds over which the time to compute a prompt's keys is averaged.
const ROUNDS: u32 = 20;

/// Measures the time of one routing decision by number of candidates, and of a prompt's block keys by length.
pub fn route() -> Value {
    let mut choices = Vec::new();
    for count in [64_u32, 640, 6_400] {
        let candidates: Vec<Candidate> = (0..count)
            .map(|n| Candidate {
                name: Name::from(format!("agent-{n}")),
                free_slots: 4,
                running: (n % 7) as usize,
                queued_tokens: u64::from(n % 5) * 300,
                per_token: Duration::from_micros(20),
                local_pieces: (n % 3) as usize,
                fetchable_pieces: 8,
                per_piece: Duration::from_millis(5),
                ..Candidate::default()
            })
            .collect();
        let need = Need { tokens: 12_000, pieces: 12, known_pieces: 8, piece_bytes: 16 << 20 };
        let rounds = 200_000 / u64::from(count);
        let start = Instant::now();
        let mut sum = 0;
        for spread in 0..rounds {
            let choice = choose(&Weights::default(), &need, &candidates, spread);
            sum += choice.map_or(0, |choice| choice.index);
        }
        let nanos = start.elapsed().as_nanos() as u64 / rounds;
        choices.push(json!({ "candidates": count, "ns": nanos, "check": sum > 0 }));
    }
    let mut keys = Vec::new();
    for pieces in [10, 100, 1_000] {
        let text = "x".repeat(pieces * PIECE_BYTES);
        let scope = Scope { salt: &[1; 16], model: "m", version: "v", adapter: "" };
        let start = Instant::now();
        let mut count = 0;
        for _ in 0..ROUNDS {
            count += block_keys(scope, &text).len();
        }
        let micros = start.elapsed().as_micros() as u64 / u64::from(ROUNDS);
        keys.push(json!({ "pieces": pieces, "us": micros, "keys": count }));
    }
    json!({ "choice": choices, "keys": keys })
}

/// Measures the memory per record, claim and directory entry.
pub fn memory() -> Value {
    let mut out = Vec::new();
    for count in [1_000_u64, 10_000, 100_000] {
        out.push(json!({
            "count": count,
            "bytes_per_record": bytes_each(count, || {
                let mut state = State::default();
                for n in 0..count {
                    state.apply(revision(n), record(n));
                }
                state
            }),
            "bytes_per_claim": bytes_each(count, || {
                let mut state = State::default();
                for n in 0..count {
                    state.apply(revision(n), claim(n));
                }
                state
            }),
            "bytes_per_directory_block": bytes_each(count, || {
                let mut directory = Directory::default();
                let holder = directory.intern(&Name::new("store"));
                for n in 0..count {
                    let mut key = [0; 16];
                    key[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
                    directory.add_block(holder, key);
                }
                directory
            }),
        }));
    }
    Value::Array(out)
}

/// Growth of this process's resident memory while `make` creates `count` items, per item.
fn bytes_each<T>(count: u64, make: impl FnOnce() -> T) -> u64 {
    let before = resident_bytes();
    let made = make();
    let after = resident_bytes();
    // Leaked, so that the next measurement does not reuse this memory.
    std::mem::forget(made);
    after.saturating_sub(before) / count
}

fn revision(n: u64) -> Revision {
    Revision { epoch: 1, index: n + 1 }
}

fn record(n: u64) -> Command {
    Command::Put(Put {
        request: Name::from(format!("request-{n}")),
        by: Name::new("operator"),
        at_ms: n,
        kind: Kind::Workspace,
        name: Name::from(format!("workspace-{n}")),
        expected_version: 0,
        schema: 2,
        min_schema: 1,
        body: format!(r#"{{"keys":["{n:064}"],"concurrency":100,"share":10}}"#),
    })
}

fn claim(n: u64) -> Command {
    let claim = Claim {
        workspace: Name::new("workspace"),
        key: Name::from(format!("key-{n}")),
        digest: [0; 16],
        run: RunId { entry: Incarnation(1), number: n, attempt: 0 },
        entry: Name::new("entry-1"),
        agent: Name::new("agent-1"),
        incarnation: Incarnation(1),
        at_ms: n,
    };
    Command::Claim { claim, replaces: None }
}

/// Measures the time to open a log and to apply it, by its length.
pub fn recovery() -> Result<Value, Error> {
    let error = |error: disk::Error| Error::Rejected(error.to_string());
    let mut out = Vec::new();
    for count in [1_000_u64, 10_000, 100_000] {
        let folder: PathBuf =
            std::env::temp_dir().join(format!("tamarack-recovery-{}-{count}", std::process::id()));
        let entries: Vec<Entry> = (1..=count)
            .map(|index| Entry { index, term: 1, body: Body::Data(record(index).encode()) })
            .collect();
        let mut store = Store::open(&folder, 1).map_err(error)?.store;
        store.write(&[Write { entries, ..Write::default() }]).map_err(error)?;
        drop(store);
        let start = Instant::now();
        let opened = Store::open(&folder, 1).map_err(error)?;
        let open_ms = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        let mut state = State::default();
        for entry in &opened.saved.entries {
            if let Body::Data(data) = &entry.body
                && let Ok(command) = Command::decode(&Arc::clone(data))
            {
                state.apply(revision(entry.index), command);
            }
        }
        let apply_ms = start.elapsed().as_secs_f64() * 1e3;
        let start = Instant::now();
        let bytes = state.encode().len();
        let snapshot_ms = start.elapsed().as_secs_f64() * 1e3;
        let _ = std::fs::remove_dir_all(&folder);
        out.push(json!({
            "entries": count,
            "open_ms": open_ms,
            "apply_ms": apply_ms,
            "snapshot_ms": snapshot_ms,
            "snapshot_bytes": bytes,
        }));
    }
    Ok(Value::Array(out))
}
