//! One request at an entry, from admission to completion.

use base::{Incarnation, Name, RunId, Time};
use record::Workspace;
use state::Claim;
use wire::{Digest, Work};

use crate::{ClientRequest, RequestKind};

/// The stage of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Queued for a slot on a backend server.
    Waiting,
    /// A slot is reserved while the claim is being committed.
    Claiming {
        /// Name of the agent.
        agent: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Sent to one incarnation of an agent.
    Sent {
        /// Name of the agent.
        agent: Name,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Another run holds the claim; waits for its outcome.
    Joined {
        /// The claim of that run.
        claim: Box<Claim>,
        /// When this run began to wait.
        since: Time,
        /// When to query the claim next.
        next: Time,
        /// Whether the claim's agent was asked never to start that run.
        asked: bool,
    },
}

impl Stage {
    /// The agent on which a slot is reserved.
    pub fn agent(&self) -> Option<&Name> {
        match self {
            Self::Claiming { agent, .. } | Self::Sent { agent, .. } => Some(agent),
            Self::Waiting | Self::Joined { .. } => None,
        }
    }

    /// Name in dumps.
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
    /// The current attempt.
    pub id: RunId,
    /// Number of the exchange with the caller.
    pub call: u64,
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// The request.
    pub request: Box<ClientRequest>,
    /// The work for a backend server.
    pub work: Work,
    /// The idempotency key to claim, if the run must execute at most once.
    pub claim_key: Option<Name>,
    /// An attempt that is proven never to start, whose claim this one takes over.
    pub replaces: Option<RunId>,
    /// Whether a claim was sent to the keepers.
    pub claim_sent: bool,
    /// When the request arrived.
    pub arrived_at: Time,
    /// When the request must have ended.
    pub deadline: Time,
    /// The current stage.
    pub stage: Stage,
    /// Attempts that failed or were rejected, except for lack of capacity.
    pub failed_attempts: u32,
    /// Servers that were lost in a row before they sent a token.
    pub losses_without_tokens: u32,
    /// Whether an earlier attempt was lost, so that reporting "not run" could be false.
    pub may_have_run: bool,
    /// Agents that rejected or lost it.
    pub excluded: Vec<Name>,
    /// How often an agent rejected it for lack of capacity.
    pub capacity_rejections: u32,
    /// Keys of the prompt's pieces (prefix blocks) by weight version.
    pub keys: Vec<(Name, Vec<cache::Key>)>,
    /// Whether its workspace was over its share when it was placed.
    pub over_share: bool,
    /// Estimated prefill tokens left at its agent.
    pub prefill: u64,
    /// Next part expected in the current attempt.
    pub next_seq: u64,
    /// Checksum over the parts of the current attempt.
    pub digest: Digest,
    /// Tokens delivered to the caller, over all attempts.
    pub delivered: u32,
    /// Whether the head of the response was sent.
    pub response_started: bool,
    /// Buffered text of a response that is not streamed.
    pub text: String,
    /// Buffered bytes of a plain response until it is complete.
    pub bytes: Vec<u8>,
    /// Status and content type of a plain response.
    pub head: Option<(u16, String)>,
    /// When the current attempt was sent.
    pub sent_at: Time,
    /// When the first token arrived.
    pub first_token_at: Option<Time>,
    /// Pieces fetched from stores for the last attempt.
    pub fetched_pieces: usize,
}

impl Run {
    /// Whether it may be retried.
    pub fn idempotent(&self) -> bool {
        self.claim_key.is_none()
    }

    /// Whether the response is streamed.
    pub fn streams(&self) -> bool {
        matches!(self.request.kind, RequestKind::Prompt { stream: true, .. })
    }

    /// Tokens that a server processes before it generates: the prompt's and those already delivered.
    pub fn prompt_tokens(&self) -> u64 {
        match &self.work {
            Work::Prompt(prompt) => {
                cache::estimate_tokens(&prompt.text) + u64::from(prompt.resume_from)
            }
            Work::Call(_) => 0,
        }
    }

    /// Prepares another attempt, which continues after the tokens already delivered.
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
        let index = self.keys.iter().position(|(other, _)| other == version);
        let index = index.unwrap_or_else(|| {
            let scope = cache::Scope {
                salt: &self.workspace.salt,
                model: &prompt.model,
                version,
                adapter: "",
            };
            self.keys.push((version.clone(), cache::block_keys(scope, &prompt.text)));
            self.keys.len() - 1
        });
        &self.keys[index].1
    }
}
