//! What is remembered of streams, for how long, and when a stream may not go on.

use base::prelude::*;
use resume::{Availability, Key, Lookup, MAX_RECORDS, Origin, RETENTION, Refusal, Table, Write};

fn origin(software: &str) -> Origin {
    Origin { service: Name::new("llm"), software: Name::new(software) }
}

fn key(number: usize) -> Key {
    Key::new(Some("shop"), &format!("r{number}"))
}

const NOW: Time = Time::from_millis(5_000);

// Guards against going on with a stream of another workspace by naming its ID.
#[test]
fn a_stream_belongs_to_its_workspace() {
    assert_eq!(Key::new(Some("a"), "r1"), Key::new(Some("a"), "r1"));
    assert_ne!(Key::new(Some("a"), "r1"), Key::new(Some("b"), "r1"));
    assert_ne!(Key::new(None, "r1"), Key::new(Some(""), "r1"));
    assert_ne!(Key::new(Some("a"), "br1"), Key::new(Some("ab"), "r1"));
}

// Guards against joining two streams whose clients used one ID: they began at two versions.
#[test]
fn two_first_origins_make_a_stream_uncertain() {
    let mut table = Table::default();
    table.insert(NOW, key(1), Write::First(origin("v1")));
    table.insert(NOW, key(1), Write::First(origin("v1")));
    assert_eq!(table.lookup(key(1)), Lookup::Known(origin("v1")));
    table.insert(NOW, key(1), Write::First(origin("v2")));
    assert_eq!(table.lookup(key(1)), Lookup::Uncertain);
    table.insert(NOW, key(1), Write::First(origin("v2")));
    assert_eq!(table.lookup(key(1)), Lookup::Uncertain, "it stays so");
}

#[test]
fn a_move_replaces_the_origin() {
    let mut table = Table::default();
    table.insert(NOW, key(1), Write::First(origin("v1")));
    table.insert(NOW, key(1), Write::Moved(origin("v2")));
    assert_eq!(table.lookup(key(1)), Lookup::Known(origin("v2")));
    table.insert(NOW, key(1), Write::Uncertain);
    assert_eq!(table.lookup(key(1)), Lookup::Uncertain);
}

// Guards against a table that grows with all that was ever seen: records end with their time and their number.
#[test]
fn records_expire_and_are_bounded() {
    let mut table = Table::default();
    for number in 0..MAX_RECORDS + 10 {
        table.insert(NOW, key(number), Write::First(origin(&format!("v{}", number / 50_000))));
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert_eq!(table.lookup(key(9)), Lookup::Unknown, "the oldest are dropped first");
    assert_eq!(table.lookup(key(10)), Lookup::Known(origin("v0")));
    let later = NOW + RETENTION;
    table.insert(later - Duration::from_millis(1), key(20), Write::First(origin("v0")));
    table.drop_oldest(later);
    assert_eq!(table.len(), 1, "only the one that was recorded again");
    assert_eq!(table.lookup(key(20)), Lookup::Known(origin("v0")));
}

// Guards against a client that waits for a version which does not come back, or gives up on one that does.
#[test]
fn a_client_is_told_whether_its_version_returns() {
    let at = |ms| Availability::At(NOW + Duration::from_millis(ms));
    let refusal = |servers: &[Availability]| Refusal::of_version(NOW, servers.iter().copied());
    assert_eq!(refusal(&[]), Refusal::VersionGone);
    assert_eq!(refusal(&[Availability::Leaving, Availability::Leaving]), Refusal::VersionGone);
    let first = Duration::from_millis(400);
    let servers = [at(900), Availability::Leaving, at(400)];
    assert_eq!(refusal(&servers), Refusal::VersionUnavailable(first));
}
