//! The choice among candidates.

use crate::{Candidate, Estimate, Need, Weights, estimate};

/// A server this much above the mean of runs gets no more, in percent, while another has room.
const BOUND_PERCENT: usize = 150;
/// Runs that a server may have whatever the mean.
const BOUND_LEAST: usize = 4;
/// Candidates within this share of the best cost are as good, in percent.
const TIE_PERCENT: f64 = 5.0;
/// Costs this close are as good, seconds.
const TIE_SECONDS: f64 = 0.000_5;

/// A choice and what it was made from.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Place of the chosen candidate.
    pub index: usize,
    /// Its estimate.
    pub estimate: Estimate,
    /// Cost of the second best, seconds; infinite if there is none.
    pub next_cost: f64,
}

/// Chooses among the candidates that have a free place; `spread` sets apart entries that decide at
/// the same time on equal costs.
pub fn choose(
    weights: &Weights,
    need: &Need,
    candidates: &[Candidate],
    spread: u64,
) -> Option<Choice> {
    let total: usize = candidates.iter().map(|candidate| candidate.running).sum();
    let count = candidates.len().max(1);
    let bound = (total * BOUND_PERCENT).div_ceil(100 * count) + BOUND_LEAST;
    let within = pick(weights, need, candidates, spread, bound);
    within.or_else(|| pick(weights, need, candidates, spread, usize::MAX))
}

fn pick(
    weights: &Weights,
    need: &Need,
    candidates: &[Candidate],
    spread: u64,
    bound: usize,
) -> Option<Choice> {
    let mut best: Option<(usize, Estimate)> = None;
    let mut next_cost = f64::INFINITY;
    let mut costs = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.free_slots == 0 || candidate.running >= bound {
            continue;
        }
        let estimate = estimate(weights, need, candidate);
        costs.push((index, estimate.cost));
        match &best {
            Some((_, found)) if found.cost <= estimate.cost => {
                next_cost = next_cost.min(estimate.cost);
            }
            other => {
                next_cost = other.as_ref().map_or(f64::INFINITY, |(_, found)| found.cost);
                best = Some((index, estimate));
            }
        }
    }
    let (index, estimate_best) = best?;
    let limit = estimate_best.cost * (1.0 + TIE_PERCENT / 100.0) + TIE_SECONDS;
    let equal: Vec<usize> =
        costs.iter().filter(|(_, cost)| *cost <= limit).map(|(index, _)| *index).collect();
    let chosen = equal[(spread % equal.len() as u64) as usize];
    if chosen == index {
        return Some(Choice { index, estimate: estimate_best, next_cost });
    }
    let estimate = estimate(weights, need, &candidates[chosen]);
    Some(Choice { index: chosen, estimate, next_cost: estimate_best.cost })
}
