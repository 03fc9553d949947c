//! Transfers of cache blocks between the engine and the stores, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, hex, unhex};
use cache::{Key, decode_block, encode_block};
use node::{CacheEvent, ServerEvent, TransferResult};
use serde_json::Value;
use ureq::Agent;

/// Longest time for one request.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Largest block in bytes.
const MAX_BLOCK_BYTES: u64 = 1 << 30;
/// Status with which a full store rejects a block (507 Insufficient Storage).
const FULL: u16 = 507;

/// Client of the engine and of the stores.
#[derive(Clone, Debug)]
pub struct Transfer {
    agent: Agent,
    engine: String,
    stores: Vec<(Name, SocketAddr)>,
}

impl Transfer {
    /// Creates a client of this engine and these stores.
    pub fn new(engine: String, stores: Vec<(Name, SocketAddr)>) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections_per_host(16)
            .build();
        Self { agent: config.into(), engine, stores }
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
        let Some((status, bytes)) = self.get(&url) else {
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
        let Some((200, body)) = self.get(&self.engine_block_url(key)) else {
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
        let (_, bytes) = self.get(&format!("{}/cache/events?from={from}", self.engine))?;
        let value: Value = serde_json::from_slice(&bytes).ok()?;
        let event = |value: &Value| {
            Some(CacheEvent {
                seq: value["seq"].as_u64()?,
                key: unhex(value["key"].as_str()?)?,
                stored: value["stored"].as_bool()?,
            })
        };
        let events = value["events"].as_array()?.iter().map(event).collect::<Option<_>>()?;
        Some(ServerEvent::Cache { from, events })
    }

    /// Reads the complete list of blocks in the engine's cache.
    pub fn list(&self) -> Option<ServerEvent> {
        let (_, bytes) = self.get(&format!("{}/cache/blocks", self.engine))?;
        let value: Value = serde_json::from_slice(&bytes).ok()?;
        let keys = value["keys"].as_array()?.iter().map(|key| unhex(key.as_str()?));
        Some(ServerEvent::CacheList {
            next: value["next"].as_u64()?,
            keys: keys.collect::<Option<_>>()?,
        })
    }

    fn store_block_url(&self, store: &Name, key: &Key) -> Option<String> {
        let (_, addr) = self.stores.iter().find(|(name, _)| name == store)?;
        Some(format!("http://{addr}/blocks/{}", hex(key)))
    }

    fn engine_block_url(&self, key: &Key) -> String {
        format!("{}/cache/blocks/{}", self.engine, hex(key))
    }

    fn get(&self, url: &str) -> Option<(u16, Vec<u8>)> {
        let mut response = self.agent.get(url).call().ok()?;
        let status = response.status().as_u16();
        let bytes = response.body_mut().with_config().limit(MAX_BLOCK_BYTES).read_to_vec().ok()?;
        Some((status, bytes))
    }

    fn put(&self, url: &str, bytes: &[u8]) -> Option<u16> {
        let mut response = self.agent.put(url).send(bytes).ok()?;
        let status = response.status().as_u16();
        // The connection is reused only once the body is read.
        let _ = response.body_mut().read_to_vec();
        Some(status)
    }
}
