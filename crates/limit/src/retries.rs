//! The part of a service's shared retry budget that one entry may spend.
//!
//! Answers the pattern in which servers fail and every entry repeats at once: the repeats of all
//! entries together must stay under a ratio of the service's requests plus a fixed number in any
//! window. No entry knows the others' counts, so each keeps to the ratio of its own requests and an
//! equal part of the fixed number.

use std::time::Duration;

use base::Time;

/// Parts of a window that are counted apart.
const PARTS: usize = 10;
/// Parts that a window may touch, as it seldom begins where a part does.
const KEPT: usize = PARTS + 1;
/// Share of the budget that is spent; the rest covers repeats that take different times to arrive.
const SPENT: f64 = 0.8;

/// The budget of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio, of all entries together.
    pub slack: f64,
    /// Length of the window in which both are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service at one entry, by parts of a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SharedBudget {
    parts: [Part; KEPT],
}

impl SharedBudget {
    /// A request came.
    pub fn request(&mut self, now: Time, allowance: &Allowance) {
        self.part(now, allowance).requests += 1;
    }

    /// Takes a repeat, if one of this entry's part is left; `entries` share the fixed number.
    pub fn spend(&mut self, now: Time, allowance: &Allowance, entries: usize) -> bool {
        let newest = number(now, allowance);
        // Requests count in whole parts of the window only, repeats in all parts that it touches.
        let live = |part: &&Part, parts: usize| part.number + parts as u64 > newest;
        let whole = self.parts.iter().filter(|part| live(part, PARTS));
        let requests: u32 = whole.map(|part| part.requests).sum();
        let touched = self.parts.iter().filter(|part| live(part, KEPT));
        let repeats: u32 = touched.map(|part| part.repeats).sum();
        let own = allowance.slack / entries.max(1) as f64;
        let most = SPENT * (allowance.ratio * f64::from(requests) + own);
        if f64::from(repeats) + 1.0 > most {
            return false;
        }
        self.part(now, allowance).repeats += 1;
        true
    }

    fn part(&mut self, now: Time, allowance: &Allowance) -> &mut Part {
        let number = number(now, allowance);
        let part = &mut self.parts[number as usize % KEPT];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part
    }
}

/// Number of the part that a time falls into, from [`KEPT`] on, so that no part looks live at first.
fn number(now: Time, allowance: &Allowance) -> u64 {
    let length = (allowance.window.as_micros() as u64 / PARTS as u64).max(1);
    now.0 / length + KEPT as u64
}
