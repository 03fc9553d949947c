//! What is believed of a server's limit, from answers that overtake each other.

use base::prelude::*;
use fleet::{Limit, Throttle};
use test_case::test_case;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

// Incident LIMIT, the end of a need: answers to requests of before the need, and single ones without the word.
#[test_case(&[500, 900], false; "requests sent before it was named")]
#[test_case(&[1_100], false; "one answer alone")]
#[test_case(&[1_100, 1_200], true; "two answers to later requests")]
#[test_case(&[900, 1_100, 1_200], true; "an old one between changes nothing")]
fn a_need_ends_with_answers_to_later_requests(sent: &[u64], over: bool) {
    let mut throttle = Throttle::new(Limit(1_500), at(1_000));
    let mut seen = false;
    for sent in sent {
        seen = throttle.observe_no_limit(at(*sent));
    }
    assert_eq!(seen, over);
}

#[test]
fn a_limit_that_is_named_again_begins_anew_and_an_older_word_changes_nothing() {
    let mut throttle = Throttle::new(Limit(1_500), at(1_000));
    assert!(!throttle.observe_no_limit(at(1_100)));
    throttle.observe_limit(Limit(900), at(1_300));
    assert!(!throttle.observe_no_limit(at(1_400)), "one of two since");
    throttle.observe_limit(Limit(2_000), at(1_200));
    assert_eq!(throttle.limit, Limit(900));
    assert!(throttle.observe_no_limit(at(1_500)));
}

#[test_case(0.4, Some(400); "decimal")]
#[test_case(0.0, Some(0); "nothing is taken")]
#[test_case(-0.1, None; "negative")]
#[test_case(f64::NAN, None; "not a number")]
#[test_case(1e7, None; "more than any server takes")]
fn only_a_rate_is_a_limit(per_second: f64, limit: Option<u64>) {
    assert_eq!(Limit::new(per_second), limit.map(Limit));
}
