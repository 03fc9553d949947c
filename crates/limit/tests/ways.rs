//! Compares ways to enforce a server's rate limit for several processes together; the table is in
//! docs/DECISIONS.md.

use base::prelude::*;
use limit::Bucket;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Window of the rate rule, and simulated time; milliseconds.
const WINDOW_MS: u64 = 4_000;
const TIME_MS: u64 = 120_000;
/// Requests per second of all processes together; each process adds one per second to this.
const LOAD: u64 = 60;
/// Round trip of a permit request, milliseconds.
const PERMIT_MS: u64 = 4;

#[derive(Clone, Copy, Debug)]
enum Way {
    /// Each process has an equal part of the rate, in a bucket that holds one call.
    Parts,
    /// Each process may send one call in each of its time slots.
    Turns,
    /// One process issues permits.
    Permits,
}

/// Times at which calls reach the server, milliseconds.
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
    while at < TIME_MS as f64 {
        at += rng.random_range(0.0..2.0) * gap;
        let now = at as u64;
        let process = rng.random_range(0..processes);
        let allowed = match way {
            Way::Parts => {
                saved[process] = (saved[process] + part * (now - filled[process]) as f64).min(1.0);
                filled[process] = now;
                let allowed = saved[process] >= 1.0;
                saved[process] -= f64::from(u8::from(allowed));
                allowed
            }
            Way::Turns => {
                let slot = (now as f64 * per_second / 1_000.0) as usize;
                let own = slot % processes == process && slots[process] != Some(slot);
                slots[process] = if own { Some(slot) } else { slots[process] };
                own
            }
            Way::Permits if now < denied[process] => false,
            Way::Permits => match bucket.take(Time::from_millis(now + PERMIT_MS / 2), per_second) {
                Ok(()) => true,
                Err(wait) => {
                    denied[process] = now + wait.as_millis() as u64;
                    false
                }
            },
        };
        if allowed {
            calls.push(now);
        }
    }
    calls
}

/// Maximum number of calls in any window of the rate rule.
fn worst(calls: &[u64]) -> usize {
    let from = |(first, at): (usize, &u64)| {
        calls[first..].iter().take_while(|end| **end < at + WINDOW_MS).count()
    };
    calls.iter().enumerate().map(from).max().unwrap_or(0)
}

// Guards against incident LIMIT: with an equal part for each process, the saved calls add up with the
// number of processes and exceed the limit.
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
        let unused = 1.0 - calls.len() as f64 * 1_000.0 / (per_second * TIME_MS as f64);
        println!("{way:?} {processes} {per_second}: {worst} of {allowed}, {unused:.2} unused");
        // At four calls per second, the saved calls of sixteen processes may stay within the rule.
        if keeps || per_second < 4.0 {
            assert_eq!(worst <= allowed, keeps, "{worst} of {allowed} at {per_second} a second");
        }
    }
}
