//! Chooses the candidate with the lowest estimated cost, within a bound on load.

use crate::{Candidate, Estimate, Need, Weights, estimate};

/// Load bound, in percent of the mean number of runs: a server above it is skipped while another has
/// a free slot.
const LOAD_BOUND_PERCENT: usize = 150;
/// Runs added to the load bound, so that a server may have this many whatever the mean.
const LOAD_BOUND_BASE: usize = 4;
/// Relative difference from the best cost within which candidates count as equal, percent.
const TIE_PERCENT: f64 = 5.0;
/// Difference from the best cost within which candidates count as equal, seconds.
const TIE_SECONDS: f64 = 0.000_5;

/// The chosen candidate and its estimate.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Estimate of the chosen candidate.
    pub estimate: Estimate,
    /// Cost of the best other candidate, seconds; infinite if there is none.
    pub next_cost: f64,
}

/// Chooses among the candidates that have a free slot. `spread` selects among equal costs, so that
/// entries that decide at the same time do not all choose the same server.
pub fn choose(
    weights: &Weights,
    need: &Need,
    candidates: &[Candidate],
    spread: u64,
) -> Option<Choice> {
    let total: usize = candidates.iter().map(|candidate| candidate.running).sum();
    let count = candidates.len().max(1);
    let bound = (total * LOAD_BOUND_PERCENT).div_ceil(100 * count) + LOAD_BOUND_BASE;
    let within_bound = pick(weights, need, candidates, spread, bound);
    within_bound.or_else(|| pick(weights, need, candidates, spread, usize::MAX))
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
    let (index, best_estimate) = best?;
    let limit = best_estimate.cost * (1.0 + TIE_PERCENT / 100.0) + TIE_SECONDS;
    let equal: Vec<usize> =
        costs.iter().filter(|(_, cost)| *cost <= limit).map(|(index, _)| *index).collect();
    let chosen = equal[(spread % equal.len() as u64) as usize];
    if chosen == index {
        return Some(Choice { index, estimate: best_estimate, next_cost });
    }
    let estimate = estimate(weights, need, &candidates[chosen]);
    Some(Choice { index: chosen, estimate, next_cost: best_estimate.cost })
}
