//! Transfers of cache blocks between the engine and the stores, over HTTP.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, TryLockError};
use std::time::Duration;

use base::{Name, hex, unhex};
use cache::{Key, decode_block, encode_block};
use node::{CacheEvent, ServerEvent, TransferResult};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use ureq::Agent;

/// Longest time for one request.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Largest report of cache events or list of blocks in bytes, enough for 100,000 blocks.
const MAX_REPORT_BYTES: u64 = 4 << 20;
/// Status with which a full store rejects a block (507 Insufficient Storage).
const FULL: u16 = 507;

/// Client of the engine and of the stores.
#[derive(Clone, Debug)]
pub struct Transfer {
    agent: Agent,
    engine: String,
    stores: Vec<(Name, SocketAddr)>,
    /// Largest block in bytes, header included.
    piece_bytes: u64,
    /// Held while the engine's cache is read: a slow engine gets no second read.
    reading: Arc<Mutex<()>>,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Change>,
}

#[derive(Deserialize)]
struct Change {
    seq: u64,
    #[serde(deserialize_with = "deserialize_key")]
    key: Key,
    stored: bool,
}

#[derive(Deserialize)]
struct Blocks {
    next: u64,
    keys: Vec<Block>,
}

#[derive(Deserialize)]
struct Block(#[serde(deserialize_with = "deserialize_key")] Key);

impl Transfer {
    /// Creates a client of this engine and these stores, for blocks of at most this size.
    pub fn new(engine: String, stores: Vec<(Name, SocketAddr)>, piece_bytes: u64) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            // On a kept connection, an answer that a server writes once more would be taken for the next one.
            .max_idle_connections(0)
            .build();
        Self { agent: config.into(), engine, stores, piece_bytes, reading: Arc::default() }
    }

    /// Fetches a block from a store, checks it and imports it into the engine.
    pub fn fetch(&self, key: Key, store: Name) -> ServerEvent {
        let result = self.fetch_block(&key, &store);
        ServerEvent::Fetched { key, store, result }
    }

    fn fetch_block(&self, key: &Key, store: &Name) -> TransferResult {
        let Some(url) = self.store_block_url(store, key) else {
            return TransferResult::Failed;
        };
        let Some((status, bytes)) = self.get(&url, self.piece_bytes) else {
            return TransferResult::Failed;
        };
        match status {
            200 => {}
            404 => return TransferResult::Miss,
            _ => return TransferResult::Failed,
        }
        // A block that is truncated, corrupt or has another key is a miss; the prompt is computed instead.
        let Ok(body) = decode_block(key, 0, &bytes) else {
            log::warn!(store:% = store; "corrupt block ignored");
            return TransferResult::Miss;
        };
        match self.put(&self.engine_block_url(key), body) {
            Some(200) => TransferResult::Done { bytes: bytes.len() as u64 },
            _ => TransferResult::Miss,
        }
    }

    /// Exports a block from the engine and writes it to a store.
    pub fn save(&self, key: Key, store: Name, generation: u64) -> ServerEvent {
        let result = self.save_block(&key, &store, generation);
        ServerEvent::Saved { key, store, generation, result }
    }

    fn save_block(&self, key: &Key, store: &Name, generation: u64) -> TransferResult {
        let Some(url) = self.store_block_url(store, key) else {
            return TransferResult::Failed;
        };
        let Some((200, body)) = self.get(&self.engine_block_url(key), self.piece_bytes) else {
            return TransferResult::Miss;
        };
        let bytes = encode_block(key, generation, &body);
        match self.put(&url, &bytes) {
            Some(200) => TransferResult::Done { bytes: bytes.len() as u64 },
            Some(FULL) => TransferResult::Full,
            _ => TransferResult::Failed,
        }
    }

    /// Deletes a block from a store. If this fails, the block is overwritten or detected later.
    pub fn free(&self, key: &Key, store: &Name) {
        if let Some(url) = self.store_block_url(store, key) {
            let _ = self.agent.delete(&url).call();
        }
    }

    /// Reads the engine's cache events, starting with number `from`.
    pub fn events(&self, from: u64) -> Option<ServerEvent> {
        let url = format!("{}/cache/events?from={from}", self.engine);
        let Events { events } = self.report(&url)?;
        let event = |Change { seq, key, stored }| CacheEvent { seq, key, stored };
        Some(ServerEvent::Cache { from, events: events.into_iter().map(event).collect() })
    }

    /// Reads the complete list of blocks in the engine's cache.
    pub fn list(&self) -> Option<ServerEvent> {
        let Blocks { next, keys } = self.report(&format!("{}/cache/blocks", self.engine))?;
        let keys = keys.into_iter().map(|Block(key)| key).collect();
        Some(ServerEvent::CacheList { next, keys })
    }

    /// Reads a report of the engine's cache, unless another one is being read; the reducer asks again.
    fn report<T: for<'de> Deserialize<'de>>(&self, url: &str) -> Option<T> {
        let _reading = match self.reading.try_lock() {
            Ok(reading) => reading,
            Err(TryLockError::Poisoned(error)) => error.into_inner(),
            Err(TryLockError::WouldBlock) => return None,
        };
        let (_, bytes) = self.get(url, MAX_REPORT_BYTES)?;
        serde_json::from_slice(&bytes)
            .inspect_err(|error| log::warn!(url, error:%; "invalid cache report"))
            .ok()
    }

    fn store_block_url(&self, store: &Name, key: &Key) -> Option<String> {
        let (_, addr) = self.stores.iter().find(|(name, _)| name == store)?;
        Some(format!("http://{addr}/blocks/{}", hex(key)))
    }

    fn engine_block_url(&self, key: &Key) -> String {
        format!("{}/cache/blocks/{}", self.engine, hex(key))
    }

    /// Reads a response with a body of at most `limit` bytes.
    fn get(&self, url: &str, limit: u64) -> Option<(u16, Vec<u8>)> {
        let read = || -> Result<_, ureq::Error> {
            let mut response = self.agent.get(url).call()?;
            let status = response.status().as_u16();
            Ok((status, response.body_mut().with_config().limit(limit).read_to_vec()?))
        };
        match read() {
            Ok(response) => Some(response),
            Err(error @ ureq::Error::BodyExceedsLimit(_)) => {
                log::warn!(url, error:%; "response too large, connection closed");
                None
            }
            Err(error) => {
                log::debug!(url, error:%; "no response");
                None
            }
        }
    }

    /// Sends a body; returns the status. The body of the response is not read.
    fn put(&self, url: &str, bytes: &[u8]) -> Option<u16> {
        let response = self.agent.put(url).send(bytes).ok()?;
        Some(response.status().as_u16())
    }
}

fn deserialize_key<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Key, D::Error> {
    let text = Cow::<str>::deserialize(deserializer)?;
    unhex(&text).ok_or_else(|| D::Error::custom("invalid key"))
}
