//! One entry's part of a service's retry budget, which all entries share.
//!
//! When servers fail, every entry retries at the same time. The retries of all entries together must
//! stay under a ratio of the service's requests plus a fixed number in any window. No entry has the
//! counts of the others, so each is limited to the ratio of its own requests and an equal part of the
//! fixed number.

use std::time::Duration;

use base::Time;

/// Number of parts of a window, each with its own counts.
const PARTS: usize = 10;
/// Number of parts that a window may overlap, since it seldom begins at the start of a part.
const OVERLAPPING_PARTS: usize = PARTS + 1;
/// Fraction of the budget that is used; the rest allows for retries that take different times to arrive.
const USABLE: f64 = 0.8;

/// The retry budget of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in addition to the ratio, for all entries together.
    pub slack: f64,
    /// Length of the window in which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one entry, by parts of a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    parts: [Part; OVERLAPPING_PARTS],
}

impl SharedBudget {
    /// Counts a new request.
    pub fn request(&mut self, now: Time, allowance: &Allowance) {
        self.part(now, allowance).requests += 1;
    }

    /// Takes a retry; false if this entry's part has none left. `entries` share the fixed number.
    pub fn spend(&mut self, now: Time, allowance: &Allowance, entries: usize) -> bool {
        let newest = number(now, allowance);
        // Requests count only in parts that are completely in the window, retries in all parts that
        // overlap it.
        let live = |part: &&Part, parts: usize| part.number + parts as u64 > newest;
        let complete = self.parts.iter().filter(|part| live(part, PARTS));
        let requests: u32 = complete.map(|part| part.requests).sum();
        let overlapping = self.parts.iter().filter(|part| live(part, OVERLAPPING_PARTS));
        let retries: u32 = overlapping.map(|part| part.retries).sum();
        let entry_slack = allowance.slack / entries.max(1) as f64;
        let max = USABLE * (allowance.ratio * f64::from(requests) + entry_slack);
        if f64::from(retries) + 1.0 > max {
            return false;
        }
        self.part(now, allowance).retries += 1;
        true
    }

    fn part(&mut self, now: Time, allowance: &Allowance) -> &mut Part {
        let number = number(now, allowance);
        let part = &mut self.parts[number as usize % OVERLAPPING_PARTS];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }
}

/// Number of the part that a time is in. Numbers begin at [`OVERLAPPING_PARTS`], so that the zero of an unused
/// part is never in a window.
fn number(now: Time, allowance: &Allowance) -> u64 {
    let length = (allowance.window.as_micros() as u64 / PARTS as u64).max(1);
    now.0 / length + OVERLAPPING_PARTS as u64
}
