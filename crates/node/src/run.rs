//! One request at an entry, from admission to its end.

use base::{Incarnation, Name, RunId, Time};
use wire::{Digest, Work};

use crate::{Ask, Want};

/// Where a run stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a backend server.
    Waiting,
    /// Sent to one life of an agent.
    Sent {
        /// Name of the agent.
        agent: Name,
        /// Its life.
        incarnation: Incarnation,
    },
}

/// A request at an entry.
#[derive(Clone, Debug)]
pub struct Run {
    /// The present dispatch.
    pub id: RunId,
    /// Number of the caller's exchange.
    pub call: u64,
    /// Workspace that asks.
    pub workspace: Name,
    /// The request.
    pub ask: Box<Ask>,
    /// The work for a backend server.
    pub work: Work,
    /// Whether it may be done again.
    pub idempotent: bool,
    /// When it came.
    pub arrived: Time,
    /// When it must have ended.
    pub deadline: Time,
    /// Where it stands.
    pub stage: Stage,
    /// Dispatches refused or failed so far.
    pub tries: u32,
    /// Agents that refused it.
    pub avoided: Vec<Name>,
    /// Next part expected in the present dispatch.
    pub next_seq: u64,
    /// Checksum over the parts of the present dispatch.
    pub digest: Digest,
    /// Tokens that the caller has, over all dispatches.
    pub delivered: u32,
    /// Whether the head of the answer is out.
    pub begun: bool,
    /// Text held back for an answer that is not streamed.
    pub text: String,
    /// Bytes of a plain answer held back until it is whole.
    pub bytes: Vec<u8>,
    /// Status and content type of a plain answer.
    pub head: Option<(u16, String)>,
    /// When the first token came.
    pub first: Option<Time>,
}

impl Run {
    /// Whether tokens go out as they come.
    pub fn streams(&self) -> bool {
        matches!(self.ask.want, Want::Prompt { stream: true, .. })
    }

    /// Makes ready for another dispatch, which goes on from what the caller has.
    pub fn rewind(&mut self) {
        self.id = self.id.next_attempt();
        self.stage = Stage::Waiting;
        self.next_seq = 0;
        self.digest = Digest::default();
        self.bytes.clear();
        self.head = None;
        if let Work::Prompt(prompt) = &mut self.work {
            prompt.resume_from = self.delivered;
        }
    }
}
