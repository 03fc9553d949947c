//! The rate limit of a server, as concluded from responses that arrive out of order.

use base::prelude::*;
use fleet::{Limit, RateLimit};
use test_case::test_case;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

// Incident LIMIT: a limit must not be lifted by responses to requests sent before it was named, nor by a single
// response that lacks the header.
#[test_case(&[500, 900], false; "requests sent before it was named")]
#[test_case(&[1_100], false; "a single response")]
#[test_case(&[1_100, 1_200], true; "two responses to later requests")]
#[test_case(&[900, 1_100, 1_200], true; "an earlier one in between is ignored")]
fn a_limit_ends_with_responses_to_later_requests(sent: &[u64], lifted: bool) {
    let mut rate_limit = RateLimit::new(Limit(1_500), at(1_000));
    let mut observed = false;
    for sent in sent {
        observed = rate_limit.observe_no_limit(at(*sent));
    }
    assert_eq!(observed, lifted);
}

#[test]
fn a_repeated_limit_restarts_the_count_and_an_older_one_is_ignored() {
    let mut rate_limit = RateLimit::new(Limit(1_500), at(1_000));
    assert!(!rate_limit.observe_no_limit(at(1_100)));
    rate_limit.observe_limit(Limit(900), at(1_300));
    assert!(
        !rate_limit.observe_no_limit(at(1_400)),
        "one of two responses since it was named again"
    );
    rate_limit.observe_limit(Limit(2_000), at(1_200));
    assert_eq!(rate_limit.limit, Limit(900));
    assert!(rate_limit.observe_no_limit(at(1_500)));
}

#[test_case(0.4, Some(400); "decimal")]
#[test_case(0.0, Some(0); "no requests")]
#[test_case(-0.1, None; "negative")]
#[test_case(f64::NAN, None; "not a number")]
#[test_case(1e7, None; "more than any server accepts")]
fn only_a_rate_is_a_limit(per_second: f64, limit: Option<u64>) {
    assert_eq!(Limit::new(per_second), limit.map(Limit));
}
