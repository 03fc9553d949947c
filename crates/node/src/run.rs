//! One request at an entry, from admission to its end.

use base::{Incarnation, Name, RunId, Time};
use record::Workspace;
use state::Claim;
use wire::{Digest, Work};

use crate::{ClientRequest, RequestKind};

/// Where a run stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a place on a backend server.
    Waiting,
    /// A place is kept while the claim is agreed.
    Claiming {
        /// Name of the agent.
        agent: Name,
        /// Its life.
        incarnation: Incarnation,
    },
    /// Sent to one life of an agent.
    Sent {
        /// Name of the agent.
        agent: Name,
        /// Its life.
        incarnation: Incarnation,
    },
    /// Another dispatch holds the claim; waits for how it ends.
    Joined {
        /// The other's claim.
        claim: Box<Claim>,
        /// Since when.
        since: Time,
        /// When to look again.
        next: Time,
        /// Whether its agent was asked never to start it.
        asked: bool,
    },
}

impl Stage {
    /// The agent on which a place is taken.
    pub fn agent(&self) -> Option<&Name> {
        match self {
            Self::Claiming { agent, .. } | Self::Sent { agent, .. } => Some(agent),
            Self::Waiting | Self::Joined { .. } => None,
        }
    }

    /// The word in dumps.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Claiming { .. } => "claiming",
            Self::Sent { .. } => "sent",
            Self::Joined { .. } => "joined",
        }
    }
}

/// A request at an entry.
#[derive(Clone, Debug)]
pub struct Run {
    /// The present dispatch.
    pub id: RunId,
    /// Number of the caller's exchange.
    pub call: u64,
    /// Workspace that asks.
    pub workspace: Workspace,
    /// The request.
    pub request: Box<ClientRequest>,
    /// The work for a backend server.
    pub work: Work,
    /// The key under which it is claimed, if it may run only once.
    pub once: Option<Name>,
    /// A dispatch that is proved never to start, whose claim this one takes over.
    pub replaces: Option<RunId>,
    /// Whether a claim was asked for whose answer is not known.
    pub claimed: bool,
    /// When it came.
    pub arrived: Time,
    /// When it must have ended.
    pub deadline: Time,
    /// Where it stands.
    pub stage: Stage,
    /// Dispatches refused or failed so far.
    pub tries: u32,
    /// Whether an earlier dispatch was lost, so that "not run" would not be true.
    pub may_have_run: bool,
    /// Agents that refused it.
    pub avoided: Vec<Name>,
    /// Times that an agent refused it for want of room.
    pub crowded: u32,
    /// Keys of the prompt's pieces by weight version.
    pub keys: Vec<(Name, Vec<cache::Key>)>,
    /// Whether its workspace was over its share when it was placed.
    pub over_share: bool,
    /// Prompt tokens that its agent still computes for it, as estimated.
    pub prefill: u64,
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
    /// When the present dispatch was sent.
    pub sent: Time,
    /// When the first token came.
    pub first: Option<Time>,
    /// Pieces fetched from stores for the last dispatch.
    pub fetched: usize,
}

impl Run {
    /// Whether it may be done again.
    pub fn idempotent(&self) -> bool {
        self.once.is_none()
    }

    /// Whether tokens go out as they come.
    pub fn streams(&self) -> bool {
        matches!(self.request.kind, RequestKind::Prompt { stream: true, .. })
    }

    /// Tokens that a server has before it generates: the prompt's and those delivered before.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.work {
            Work::Prompt(prompt) => {
                cache::estimate_tokens(&prompt.text) + u64::from(prompt.resume_from)
            }
            Work::Call(_) => 0,
        }
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

    /// Keys of the prompt's pieces for a weight version; none for a plain call.
    pub fn keys_for(&mut self, version: &Name) -> &[cache::Key] {
        let Work::Prompt(prompt) = &self.work else {
            return &[];
        };
        let place = self.keys.iter().position(|(known, _)| known == version);
        let place = place.unwrap_or_else(|| {
            let scope = cache::Scope {
                salt: &self.workspace.salt,
                model: &prompt.model,
                version,
                adapter: "",
            };
            self.keys.push((version.clone(), cache::block_keys(scope, &prompt.text)));
            self.keys.len() - 1
        });
        &self.keys[place].1
    }
}
