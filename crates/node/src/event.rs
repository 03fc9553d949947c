//! The events that a process handles.

use std::net::SocketAddr;

use base::{Code, Name, Revision, RunId};
use cache::Key;
use wire::{Contact, Frame, Hello, Load, Part};

use crate::admin::Admin;
use crate::{ClientRequest, forward};

/// The result of a block transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferResult {
    /// The block was transferred and verified.
    Done {
        /// Number of bytes transferred.
        bytes: u64,
    },
    /// The source did not have the block, or only a corrupt one.
    Miss,
    /// The store is full.
    Full,
    /// The peer failed or was too slow.
    Failed,
}

/// An event of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Key of the block.
    pub key: Key,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

/// An event of an agent's backend server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A part of a response.
    Part {
        /// The attempt.
        run: RunId,
        /// The part.
        part: Part,
    },
    /// The response is complete.
    Done {
        /// The attempt.
        run: RunId,
        /// Prompt tokens computed.
        computed: u32,
        /// Prompt tokens taken from the cache.
        cached: u32,
    },
    /// The run ended without a complete response.
    Failed {
        /// The attempt.
        run: RunId,
        /// Whether the request may have reached the server.
        sent: bool,
        /// Code for the caller.
        code: Code,
    },
    /// A load report.
    Load(Load),
    /// A fetch of a block from a store into the engine has ended.
    Fetched {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
        /// Its result.
        result: TransferResult,
    },
    /// A save of a block from the engine to a store has ended.
    Saved {
        /// Key of the block.
        key: Key,
        /// The store.
        store: Name,
        /// Generation of the block.
        generation: u64,
        /// Its result.
        result: TransferResult,
    },
    /// Cache events from a sequence number on.
    Cache {
        /// The requested sequence number.
        from: u64,
        /// The events.
        events: Vec<CacheEvent>,
    },
    /// The complete list of the engine's cache.
    CacheList {
        /// Sequence number of the next event.
        next: u64,
        /// Keys of all blocks.
        keys: Vec<Key>,
    },
    /// The server accepted or rejected an order.
    Ordered {
        /// Fencing token of the order.
        token: Revision,
        /// Whether it was accepted.
        ok: bool,
    },
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer tick, every few milliseconds.
    Tick,
    /// A client's request was received completely.
    Request {
        /// Number of the exchange, assigned by the edge.
        call: u64,
        /// The request.
        request: Box<ClientRequest>,
    },
    /// An operator's request was received completely.
    Admin {
        /// Number of the exchange, assigned by the edge.
        call: u64,
        /// The request.
        admin: Box<Admin>,
    },
    /// A client disconnected.
    ClientDisconnected {
        /// Number of the exchange.
        call: u64,
    },
    /// A connection to a peer was established.
    Connected(Hello),
    /// The last connection to a peer was lost.
    Disconnected {
        /// Name of the peer.
        peer: Name,
    },
    /// A frame was received.
    Frame {
        /// Name of the peer.
        peer: Name,
        /// The frame.
        frame: Frame,
    },
    /// An event of the backend server.
    Server(ServerEvent),
    /// An event of forwarded requests.
    Forward(forward::Event),
    /// All writes up to a request are synced.
    Persisted {
        /// Number of the request.
        seq: u64,
    },
    /// Addresses of other processes from the settings.
    Seeds(Vec<SocketAddr>),
    /// Processes tracked by an earlier incarnation, read from the disk.
    ContactsLoaded(Vec<Contact>),
    /// Observations of crashes that an earlier incarnation saved, read from the disk.
    EvidenceLoaded(Vec<wire::quarantine::Observation>),
    /// Records of streams that an earlier incarnation wrote, read from the disk.
    StreamsLoaded(Vec<wire::stream::Record>),
    /// A write of records of streams is synced.
    StreamsSaved {
        /// Number of the write.
        number: u64,
    },
    /// The disk is full or fails.
    DiskFailed {
        /// The error.
        text: String,
    },
    /// Shutdown was requested.
    Stop,
}
