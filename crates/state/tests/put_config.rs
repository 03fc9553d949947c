//! Full configurations and weight versions: the highest version wins, regardless of order and repetition.

use std::sync::Arc;

use base::{Code, Name, Revision};
use record::{Kind, full_config};
use state::{Command, Promote, PutConfig, Reply, State};
use test_case::test_case;

fn at(index: u64) -> Revision {
    Revision { epoch: 1, index }
}

fn put_config(version: u64, services: &[&str]) -> Command {
    let part = |name: &&str| full_config::Part {
        kind: Kind::Service,
        name: Name::new(name),
        body: "{}".to_owned(),
    };
    Command::PutConfig(PutConfig {
        by: Name::new("op"),
        at_ms: 0,
        version,
        source: Arc::from(format!("document {version}").as_bytes()),
        parts: services.iter().map(part).collect(),
    })
}

fn promote(version: u64) -> Command {
    Command::Promote(Promote { by: Name::new("op"), at_ms: 0, model: Name::new("m"), version })
}

fn services(state: &State) -> Vec<&str> {
    state.records().filter(|record| record.kind == Kind::Service).map(|r| &*r.name).collect()
}

#[test_case(&[3, 7, 5], 7; "an older one comes late")]
#[test_case(&[7, 7, 3], 7; "sent again")]
#[test_case(&[1, 2, 100], 100; "versions rise unevenly")]
fn the_highest_version_is_in_force(order: &[u64], wins: u64) {
    let mut state = State::default();
    for (index, version) in order.iter().enumerate() {
        let name = format!("s{version}");
        let reply = state.apply(at(index as u64 + 1), put_config(*version, &[&name]));
        assert!(matches!(reply, Reply::Accepted { .. }), "rejected: {reply:?}");
    }
    assert_eq!(services(&state), [format!("s{wins}")]);
    let stored = state.stored_config().expect("a configuration");
    assert_eq!((stored.version, &*stored.source), (wins, format!("document {wins}").as_bytes()));
}

#[test]
fn only_differences_become_changes() {
    let mut state = State::default();
    state.apply(at(1), put_config(1, &["a", "b"]));
    state.apply(at(2), put_config(2, &["b", "c"]));
    let changes = state.changes_after(at(1)).expect("all changes");
    let names: Vec<(&str, bool)> =
        changes.iter().map(|change| (&*change.name, change.record.is_some())).collect();
    assert_eq!(names, [("a", false), ("c", true)]);
    assert!(changes.iter().all(|change| change.revision == at(2)), "the changes have one revision");
}

#[test]
fn an_invalid_document_changes_nothing_even_from_an_older_build() {
    let mut state = State::default();
    state.apply(at(1), put_config(1, &["a"]));
    let reply = state.apply(at(2), put_config(2, &["b", "b"]));
    assert!(matches!(reply, Reply::Rejected { code: Code::BadRecord, .. }), "{reply:?}");
    assert_eq!(services(&state), ["a"]);
    assert_eq!(state.stored_config().map(|stored| stored.version), Some(1));
}

#[test]
fn a_snapshot_holds_the_document_and_one_without_it_is_read() {
    let mut state = State::default();
    state.apply(at(1), put_config(4, &["a"]));
    let read = State::decode(&state.encode()).expect("reads");
    assert_eq!(read.stored_config(), state.stored_config());
    let old = State::default().encode();
    // The last byte encodes that there is no document. Older builds did not write it.
    let read = State::decode(&old[..old.len() - 1]).expect("reads");
    assert_eq!(read.stored_config(), None);
}

#[test]
fn weight_versions_only_rise_and_do_not_change_the_configuration() {
    let mut state = State::default();
    state.apply(at(1), promote(2));
    state.apply(at(2), put_config(1, &["a"]));
    state.apply(at(3), promote(3));
    state.apply(at(4), promote(2));
    let rollout = state.get(Kind::Rollout, "m").expect("a rollout");
    assert!(rollout.body.contains("m@3"), "{}", rollout.body);
    assert_eq!(services(&state), ["a"]);
}
