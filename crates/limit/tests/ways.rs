//! Ways to keep the sum of several processes to a server's rate, side by side: docs/DECISIONS.md has the table.

use base::prelude::*;
use limit::Bucket;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Span of the rule, and time of a run; milliseconds.
const SPAN: u64 = 4_000;
const TIME: u64 = 120_000;
/// Requests a second of all processes: some of their own and one a second of each.
const LOAD: u64 = 60;
/// Time in which a question for a permit is answered.
const ASKED: u64 = 4;

#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each process has an equal part and saves up one call.
    Parts,
    /// Each process has one call in its turn.
    Turns,
    /// One process hands out permits.
    Permits,
}

/// When calls reached the server.
fn calls(way: Way, processes: usize, per_second: f64) -> Vec<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(processes as u64);
    let part = per_second / processes as f64 / 1_000.0;
    let mut saved = vec![1.0_f64; processes];
    let mut filled = vec![0; processes];
    let mut slots = vec![None; processes];
    let mut bucket = Bucket::new(Time::ZERO);
    let mut denied = vec![0; processes];
    let mut calls = Vec::new();
    let gap = 1_000.0 / (LOAD + processes as u64) as f64;
    let mut at = 0.0;
    while at < TIME as f64 {
        at += rng.random_range(0.0..2.0) * gap;
        let now = at as u64;
        let process = rng.random_range(0..processes);
        let may = match way {
            Way::Parts => {
                saved[process] = (saved[process] + part * (now - filled[process]) as f64).min(1.0);
                filled[process] = now;
                let may = saved[process] >= 1.0;
                saved[process] -= f64::from(u8::from(may));
                may
            }
            Way::Turns => {
                let slot = (now as f64 * per_second / 1_000.0) as usize;
                let own = slot % processes == process && slots[process] != Some(slot);
                slots[process] = if own { Some(slot) } else { slots[process] };
                own
            }
            Way::Permits if now < denied[process] => false,
            Way::Permits => match bucket.take(Time::from_millis(now + ASKED / 2), per_second) {
                Ok(()) => true,
                Err(wait) => {
                    denied[process] = now + wait.as_millis() as u64;
                    false
                }
            },
        };
        if may {
            calls.push(now);
        }
    }
    calls
}

/// Most calls in the span of the rule.
fn worst(calls: &[u64]) -> usize {
    let from = |(first, at): (usize, &u64)| {
        calls[first..].iter().take_while(|end| **end < at + SPAN).count()
    };
    calls.iter().enumerate().map(from).max().unwrap_or(0)
}

// Incident LIMIT: parts that each process keeps to add up with their number.
#[test_case(Way::Parts, 4, true; "parts at 4")]
#[test_case(Way::Parts, 16, false; "parts at 16")]
#[test_case(Way::Parts, 64, false; "parts at 64")]
#[test_case(Way::Parts, 300, false; "parts at 300")]
#[test_case(Way::Turns, 4, true; "turns at 4")]
#[test_case(Way::Turns, 16, true; "turns at 16")]
#[test_case(Way::Turns, 64, true; "turns at 64")]
#[test_case(Way::Turns, 300, true; "turns at 300")]
#[test_case(Way::Permits, 4, true; "permits at 4")]
#[test_case(Way::Permits, 16, true; "permits at 16")]
#[test_case(Way::Permits, 64, true; "permits at 64")]
#[test_case(Way::Permits, 300, true; "permits at 300")]
fn the_sum_of_all_processes(way: Way, processes: usize, keeps: bool) {
    for per_second in [0.4, 1.5, 4.0] {
        let calls = calls(way, processes, per_second);
        let worst = worst(&calls);
        let allowed = (6.0 * per_second) as usize + 5;
        let unused = 1.0 - calls.len() as f64 * 1_000.0 / (per_second * TIME as f64);
        println!("{way:?} {processes} {per_second}: {worst} of {allowed}, {unused:.2} unused");
        // Sixteen calls that were saved up are what four a second may bear.
        if keeps || per_second < 4.0 {
            assert_eq!(worst <= allowed, keeps, "{worst} of {allowed} at {per_second} a second");
        }
    }
}
