//! Estimates the time to first token and the cost of one candidate.

use std::time::Duration;

use base::Name;

/// Tokens in one prefix block (piece).
pub const PIECE_TOKENS: u64 = 1_000;

/// Weights of the three measures in the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the time to first token.
    pub first_token: f64,
    /// Weight of the time spent on repeated prefill of blocks that were computed before.
    pub recompute: f64,
    /// Weight of the time that cache links are busy.
    pub link: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { first_token: 1.0, recompute: 0.2, link: 0.1 }
    }
}

/// The work that a run requires.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    /// Prompt tokens.
    pub tokens: u64,
    /// Complete pieces of the prompt.
    pub pieces: usize,
    /// Pieces that some server or store has held before.
    pub known_pieces: usize,
    /// Size of one piece on a cache link, bytes.
    pub piece_bytes: u64,
}

/// The estimated state of a backend server.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Name of the agent.
    pub name: Name,
    /// Free slots; zero for a server that is full.
    pub free_slots: usize,
    /// Runs in progress, from the last report and this entry's count since then.
    pub running: usize,
    /// Prompt tokens queued before this run's.
    pub queued_tokens: u64,
    /// Prefill time of one prompt token.
    pub per_token: Duration,
    /// Wait until a slot is free.
    pub wait: Duration,
    /// Leading pieces in the server's own cache.
    pub local_pieces: usize,
    /// Leading pieces in its own cache or on a store.
    pub fetchable_pieces: usize,
    /// Wait until the cache link is free.
    pub link_wait: Duration,
    /// Time to fetch one piece.
    pub per_piece: Duration,
    /// Time added for another availability zone.
    pub zone: Duration,
}

/// The estimate for one candidate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Name of the agent.
    pub name: Name,
    /// Pieces to fetch.
    pub fetch_pieces: usize,
    /// Time to first token.
    pub first_token: Duration,
    /// Part of the time to first token: the wait for a slot and for queued prompts.
    pub wait: Duration,
    /// Time to fetch pieces, which overlaps with the wait.
    pub fetch_time: Duration,
    /// Part of the time to first token: prefill.
    pub prefill: Duration,
    /// Prompt tokens to prefill although they were computed before.
    pub recomputed_tokens: u64,
    /// Weighted cost, seconds.
    pub cost: f64,
}

/// The estimate for a candidate, with the cheaper of fetching pieces and recomputing them.
pub fn estimate(weights: &Weights, need: &Need, candidate: &Candidate) -> Estimate {
    let recompute = estimate_with_fetch(weights, need, candidate, 0);
    let fetch_pieces = candidate.fetchable_pieces.saturating_sub(candidate.local_pieces);
    if fetch_pieces == 0 {
        return recompute;
    }
    let fetch = estimate_with_fetch(weights, need, candidate, fetch_pieces);
    if fetch.cost < recompute.cost { fetch } else { recompute }
}

fn estimate_with_fetch(
    weights: &Weights,
    need: &Need,
    candidate: &Candidate,
    fetch_pieces: usize,
) -> Estimate {
    let available = candidate.local_pieces + fetch_pieces;
    let remaining = need.tokens.saturating_sub(available as u64 * PIECE_TOKENS);
    let recomputed_tokens = need.known_pieces.saturating_sub(available) as u64 * PIECE_TOKENS;
    let link_time =
        if fetch_pieces == 0 { Duration::ZERO } else { candidate.per_piece * fetch_pieces as u32 };
    let fetch_time =
        if fetch_pieces == 0 { Duration::ZERO } else { candidate.link_wait + link_time };
    let prefill = times(candidate.per_token, remaining);
    let queue_time = times(candidate.per_token, candidate.queued_tokens);
    // Waiting and fetching overlap.
    let wait = candidate.wait + queue_time + candidate.zone;
    let first_token = wait.max(fetch_time) + prefill;
    let recompute_time = times(candidate.per_token, recomputed_tokens);
    let cost = weights.first_token * first_token.as_secs_f64()
        + weights.recompute * recompute_time.as_secs_f64()
        + weights.link * link_time.as_secs_f64();
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
