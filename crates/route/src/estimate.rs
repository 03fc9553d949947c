//! The estimate for one candidate.

use std::time::Duration;

use base::Name;

/// Tokens in one piece.
pub const PIECE_TOKENS: u64 = 1_000;

/// Weights of the three measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of time to first token.
    pub first_token: f64,
    /// Weight of time spent on prompt work that was done before.
    pub recompute: f64,
    /// Weight of time that cache links are busy.
    pub link: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { first_token: 1.0, recompute: 0.2, link: 0.1 }
    }
}

/// What a run needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Whole pieces of the prompt.
    pub pieces: usize,
    /// Pieces that some server or store has had before.
    pub known_pieces: usize,
    /// Bytes of one piece on a cache link.
    pub piece_bytes: u64,
}

/// What is known of a backend server.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Name of the agent.
    pub name: Name,
    /// Places free right now; none for a server that is full.
    pub free_slots: usize,
    /// Runs under way, by the last report and own counts since.
    pub running: usize,
    /// Prompt tokens that are computed before this run's.
    pub queued_tokens: u64,
    /// Time to compute one prompt token.
    pub per_token: Duration,
    /// Wait until a place is free.
    pub wait: Duration,
    /// Leading pieces in the server's own cache.
    pub local_pieces: usize,
    /// Leading pieces that are there or on a store.
    pub fetchable_pieces: usize,
    /// Wait until the cache link is free.
    pub link_wait: Duration,
    /// Time to fetch one piece.
    pub per_piece: Duration,
    /// Cost of another availability zone.
    pub zone: Duration,
}

/// An estimate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Name of the agent.
    pub name: Name,
    /// Pieces to fetch.
    pub fetch_pieces: usize,
    /// Time to first token.
    pub first_token: Duration,
    /// Part of it: wait for a place and for prompts ahead.
    pub wait: Duration,
    /// Part of it: the fetch.
    pub fetch_time: Duration,
    /// Part of it: prompt work.
    pub prefill: Duration,
    /// Prompt tokens computed although they were computed before.
    pub recomputed_tokens: u64,
    /// Weighted cost, seconds.
    pub cost: f64,
}

/// The estimate for a candidate, with the cheaper of fetching and computing.
pub fn estimate(weights: &Weights, need: &Need, candidate: &Candidate) -> Estimate {
    let without = one(weights, need, candidate, 0);
    let more = candidate.fetchable_pieces.saturating_sub(candidate.local_pieces);
    if more == 0 {
        return without;
    }
    let with = one(weights, need, candidate, more);
    if with.cost < without.cost { with } else { without }
}

fn one(weights: &Weights, need: &Need, candidate: &Candidate, fetch_pieces: usize) -> Estimate {
    let have = candidate.local_pieces + fetch_pieces;
    let remaining = need.tokens.saturating_sub(have as u64 * PIECE_TOKENS);
    let recomputed_tokens = need.known_pieces.saturating_sub(have) as u64 * PIECE_TOKENS;
    let busy =
        if fetch_pieces == 0 { Duration::ZERO } else { candidate.per_piece * fetch_pieces as u32 };
    let fetch_time = if fetch_pieces == 0 { Duration::ZERO } else { candidate.link_wait + busy };
    let prefill = times(candidate.per_token, remaining);
    let queue_time = times(candidate.per_token, candidate.queued_tokens);
    // Waiting and fetching go on at the same time.
    let wait = candidate.wait + queue_time + candidate.zone;
    let first_token = wait.max(fetch_time) + prefill;
    let again = times(candidate.per_token, recomputed_tokens);
    let cost = weights.first_token * first_token.as_secs_f64()
        + weights.recompute * again.as_secs_f64()
        + weights.link * busy.as_secs_f64();
    Estimate {
        name: candidate.name.clone(),
        fetch_pieces,
        first_token,
        wait,
        fetch_time,
        prefill,
        recomputed_tokens,
        cost,
    }
}

fn times(one: Duration, count: u64) -> Duration {
    Duration::from_nanos((one.as_nanos() as u64).saturating_mul(count))
}
