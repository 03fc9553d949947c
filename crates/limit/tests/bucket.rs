//! The token bucket of one server, and the turns of callers who were refused.

use base::prelude::*;
use limit::{Bucket, RetrySchedule};
use test_case::test_case;

/// Most calls in four seconds at a rate, by the rule of the users.
fn allowed(per_second: f64) -> usize {
    (6.0 * per_second) as usize + 5
}

/// Bucket that are taken as soon as there are any, by tens of milliseconds, and when.
fn taken(per_second: f64, from: u64, until: u64, bucket: &mut Bucket) -> Vec<u64> {
    let mut taken = Vec::new();
    for step in from / 10..until / 10 {
        let now = Time::from_millis(step * 10);
        while bucket.take(now, per_second).is_ok() {
            taken.push(step * 10);
        }
    }
    taken
}

fn worst(taken: &[u64]) -> usize {
    let from =
        |start: &u64| taken.iter().filter(|at| **at >= *start && **at < start + 4_000).count();
    taken.iter().map(from).max().unwrap_or(0)
}

#[test_case(0.0; "nothing is taken")]
#[test_case(0.4; "less than one a second")]
#[test_case(1.5; "a few")]
#[test_case(100.0; "many")]
fn a_rate_is_kept_and_used(per_second: f64) {
    let mut bucket = Bucket::new(Time::ZERO);
    let taken = taken(per_second, 0, 20_000, &mut bucket);
    assert!(worst(&taken) <= allowed(per_second), "{} in 4 s", worst(&taken));
    let least = (per_second * 20.0 * 0.95).floor() as usize;
    assert!(taken.len() >= least.max(3), "{} of {least}", taken.len());
}

// A server that nobody needed for a while is not met by all that it did not get.
#[test]
fn what_was_not_used_is_not_saved() {
    let mut bucket = Bucket::new(Time::ZERO);
    assert!(bucket.take(Time::from_millis(60_000), 1.5).is_ok());
    let later = taken(1.5, 60_010, 64_000, &mut bucket);
    assert!(worst(&later) < allowed(1.5), "{later:?}");
}

// An order follows its report at once, or the report is too old for it: both are owed.
#[test]
fn a_call_that_goes_ahead_may_be_owed() {
    let mut bucket = Bucket::new(Time::ZERO);
    let now = Time::from_millis(100);
    assert!(bucket.borrow(now, 1.0, 1.0));
    assert!(!bucket.borrow(now, 1.0, 1.0), "one is owed");
    assert!(bucket.borrow(now, 1.0, 2.0), "it may be two");
    assert!(bucket.take(Time::from_millis(2_900), 1.0).is_err(), "first those that are owed");
    assert!(bucket.take(Time::from_millis(3_100), 1.0).is_ok());
}

#[test]
fn callers_come_back_one_after_the_other() {
    let now = Time::from_millis(1_000);
    let mut turns = RetrySchedule::default();
    let second = Duration::from_secs(1);
    let times: Vec<u128> = (0..6).map(|_| turns.next(now, 4.0, second).as_millis()).collect();
    assert_eq!(times, [250, 500, 750, 1_000, 1_000, 1_000], "no turn for those who cannot wait");
    assert_eq!(turns.next(now, 4.0, 2 * second), second);
}
