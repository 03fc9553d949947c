//! Everything that can happen to a process.

use std::net::SocketAddr;

use base::{Code, Name, Revision, RunId};
use cache::Key;
use wire::{Contact, Frame, Hello, Load, Part};

use crate::admin::Admin;
use crate::{ClientRequest, forward};

/// How a transfer of a block ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// It is where it should be, checked.
    Done {
        /// Bytes moved.
        bytes: u64,
    },
    /// The source had no such block, or a damaged one.
    Miss,
    /// The store is full.
    Full,
    /// The other side failed or was too slow.
    Failed,
}

/// A numbered event of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number.
    pub seq: u64,
    /// Key of the block.
    pub key: Key,
    /// Stored, or evicted.
    pub stored: bool,
}

/// News from the backend server beside an agent.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A part of an answer.
    Part {
        /// The dispatch.
        run: RunId,
        /// The part.
        part: Part,
    },
    /// The whole answer has come.
    Done {
        /// The dispatch.
        run: RunId,
        /// Prompt tokens computed.
        computed: u32,
        /// Prompt tokens taken from the cache.
        cached: u32,
    },
    /// The run ended without a whole answer.
    Failed {
        /// The dispatch.
        run: RunId,
        /// Whether the request may have reached the server.
        sent: bool,
        /// Code for the caller.
        code: Code,
    },
    /// A load report.
    Load(Load),
    /// A block was fetched from a store into the engine, or not.
    Fetched {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
        /// How it ended.
        result: TransferResult,
    },
    /// A block was written back from the engine to a store, or not.
    Saved {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
        /// Generation of the block.
        generation: u64,
        /// How it ended.
        result: TransferResult,
    },
    /// Cache events from a number on.
    Cache {
        /// The number asked for.
        from: u64,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// The whole list of the engine's cache.
    CacheList {
        /// Number of the next event.
        next: u64,
        /// Keys of all blocks.
        keys: Vec<Key>,
    },
    /// The server took an order or refused it.
    Ordered {
        /// Fencing token of the order.
        token: Revision,
        /// Whether it was taken.
        ok: bool,
    },
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes; comes every few milliseconds.
    Tick,
    /// A caller's request has come whole.
    Request {
        /// Number that the edge gave the exchange.
        call: u64,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// An operator's request has come whole.
    Admin {
        /// Number that the edge gave the exchange.
        call: u64,
        /// The request.
        admin: Box<Admin>,
    },
    /// A caller went away.
    ClientDisconnected {
        /// Number of the exchange.
        call: u64,
    },
    /// A link to a peer is up.
    Connected(Hello),
    /// The last link to a peer is down.
    Disconnected {
        /// Name of the peer.
        peer: Name,
    },
    /// A frame came.
    Frame {
        /// Name of the peer.
        peer: Name,
        /// The frame.
        frame: Frame,
    },
    /// News from the backend server.
    Server(ServerEvent),
    /// News of forwarded requests.
    Forward(forward::Event),
    /// Everything up to a request is synced.
    Persisted {
        /// Number of the request.
        seq: u64,
    },
    /// Addresses of other processes that the settings name.
    Seeds(Vec<SocketAddr>),
    /// Processes that this one knew in an earlier life, from its disk.
    ContactsLoaded(Vec<Contact>),
    /// The disk is full or fails.
    DiskFailed {
        /// What it said.
        text: String,
    },
    /// The process is asked to stop.
    Stop,
}
