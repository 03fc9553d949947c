//! When servers fail and every entry retries, all entries together stay under the shared budget.

use std::time::Duration;

use base::Time;
use limit::{Allowance, SharedBudget};
use test_case::test_case;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 60.0, window: Duration::from_secs(10) };

#[test_case(1, 100, 0; "one entry")]
#[test_case(8, 100, 3; "eight entries that start within a window")]
#[test_case(8, 0, 0; "entries without requests")]
#[test_case(30, 400, 7; "many entries under load")]
fn all_entries_together_stay_under_the_budget(entries: usize, requests: u32, shift: u64) {
    let mut all = vec![SharedBudget::default(); entries];
    let mut retries: Vec<u64> = Vec::new();
    let mut requested: Vec<u64> = Vec::new();
    // 30 seconds in steps of 10 ms; every entry retries whenever its budget allows it.
    for step in 0..3_000_u64 {
        for (number, entry) in all.iter_mut().enumerate() {
            let now = Time::from_millis(step * 10 + shift * number as u64);
            if (step * u64::from(requests)) % 1_000 < u64::from(requests) {
                entry.request(now, &ALLOWANCE);
                requested.push(now.0);
            }
            if entry.spend(now, &ALLOWANCE, entries) {
                retries.push(now.0);
            }
        }
    }
    let within = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + 10_000_000).contains(*at)).count() as f64
    };
    for from in (0..20_000_000).step_by(250_000) {
        // The budget may also count the requests of the window before.
        let counted =
            within(&requested, from).max(within(&requested, from.saturating_sub(10_000_000)));
        let max = ALLOWANCE.ratio * counted + ALLOWANCE.slack;
        let found = within(&retries, from);
        assert!(found <= max, "{found} retries from {from} us on, {max} allowed");
    }
    assert!(!retries.is_empty(), "the fixed number allows retries without requests");
}

// Guards against retries late in the first part of a window that are no longer counted before the window
// has passed, so that a second burst exceeds the budget (seen in the run weights-in-a-row).
#[test_case(900, 10_050; "late in a part, and at the start of the next window's part")]
#[test_case(10, 10_005; "at both ends of a window")]
#[test_case(999, 10_990; "one part before the end")]
fn a_burst_counts_until_its_window_has_passed(first: u64, second: u64) {
    let mut entry = SharedBudget::default();
    let mut burst = |at: u64| {
        let now = Time::from_millis(at);
        (0..1_000).filter(|_| entry.spend(now, &ALLOWANCE, 1)).count() as f64
    };
    let found = burst(first) + burst(second);
    assert!(found <= ALLOWANCE.slack, "{found} retries within a window");
}
