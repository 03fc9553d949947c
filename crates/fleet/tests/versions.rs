//! Grace periods of weight versions that are announced one after the other.

use base::prelude::*;
use fleet::Versions;
use test_case::test_case;

const GRACE: Duration = Duration::from_secs(5);

/// The oldest allowed version, after versions were announced at these times in milliseconds.
fn oldest_allowed(announced: &[(u64, u64)], at: u64) -> u64 {
    let mut versions = Versions::default();
    for (version, at) in announced {
        versions.set_newest(Time::from_millis(*at), *version, GRACE);
    }
    versions.oldest_allowed(Time::from_millis(at), GRACE)
}

#[test_case(&[], 9_000, 0; "none was announced")]
#[test_case(&[(2, 0)], 4_999, 0; "within its grace period")]
#[test_case(&[(2, 0)], 5_000, 2; "after its grace period")]
#[test_case(&[(2, 0), (3, 3_000)], 5_000, 2; "a newer one does not extend it")]
#[test_case(&[(2, 0), (3, 3_000)], 8_000, 3; "nor does the older one shorten that of the newer")]
#[test_case(&[(2, 0), (3, 3_000), (4, 6_000), (5, 9_000)], 10_999, 3; "each of several in turn")]
#[test_case(&[(2, 0), (7, 6_000)], 10_000, 2; "the deciding one is kept when another is announced")]
#[test_case(&[(2, 0), (3, 6_000), (2, 7_000)], 11_999, 0; "a rollback drops the others")]
fn each_version_has_its_own_time(announced: &[(u64, u64)], at: u64, expected: u64) {
    assert_eq!(oldest_allowed(announced, at), expected);
}

#[test]
fn ages_from_other_processes_make_a_version_due_earlier_and_never_later() {
    let mut versions = Versions::default();
    let at = Time::from_millis;
    versions.set_newest(at(10_000), 2, GRACE);
    versions.apply_age(at(10_000), 2, Duration::from_secs(4));
    versions.apply_age(at(10_500), 2, Duration::from_secs(1));
    versions.apply_age(at(10_500), 9, Duration::from_secs(30));
    assert_eq!(versions.oldest_allowed(at(10_990), GRACE), 0);
    assert_eq!(versions.oldest_allowed(at(11_000), GRACE), 2, "9 is not in force here");
    let ages: Vec<(u64, u64)> =
        versions.ages(at(11_000)).map(|(version, age)| (version, age.as_millis() as u64)).collect();
    assert_eq!(ages, [(2, 5_000), (9, 30_500)]);
}
