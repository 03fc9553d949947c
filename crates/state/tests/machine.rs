//! Concurrent changes by operators, resent commands, schema versions and claims.

use std::sync::Arc;

use base::{Code, Incarnation, Name, Revision, RunId};
use record::Kind;
use state::{Claim, ClaimStatus, Command, Delete, Outcome, Put, Reply, State};

fn at(index: u64) -> Revision {
    Revision { epoch: 1, index }
}

fn put(request: &str, name: &str, expect: u64, body: &str) -> Put {
    Put {
        request: Name::new(request),
        by: Name::new("ann"),
        at_ms: 5,
        kind: Kind::Workspace,
        name: Name::new(name),
        expected_version: expect,
        schema: 2,
        min_schema: 1,
        body: body.to_owned(),
    }
}

fn version(reply: &Reply) -> Result<u64, Code> {
    match reply {
        Reply::Accepted { version, .. } => Ok(*version),
        Reply::Rejected { code, .. } => Err(*code),
        other => panic!("{other:?}"),
    }
}

#[test]
fn equal_versions_with_other_content_show_the_winner() {
    let mut state = State::default();
    state.apply(at(1), Command::Put(put("r1", "shop", 0, r#"{"share":1}"#)));
    let first = state.apply(at(2), Command::Put(put("r2", "shop", 1, r#"{"share":2}"#)));
    let other = state.apply(at(3), Command::Put(put("r3", "shop", 1, r#"{"share":3}"#)));
    let same = state.apply(at(4), Command::Put(put("r4", "shop", 1, r#"{"share":2}"#)));
    assert_eq!(version(&first), Ok(2));
    let Reply::Rejected { code: Code::Conflict, winner: Some(winner), .. } = other else {
        panic!("{other:?}");
    };
    assert_eq!(&*winner.body, r#"{"share":2}"#);
    assert_eq!(
        same,
        Reply::Accepted { revision: at(2), version: 2 },
        "the reply of the accepted change"
    );
}

#[test]
fn a_resend_after_a_lost_acknowledgement_answers_the_same() {
    let mut state = State::default();
    let first = state.apply(at(1), Command::Put(put("r1", "shop", 0, "{}")));
    state.apply(at(2), Command::Put(put("r2", "shop", 1, r#"{"share":9}"#)));
    let again = State::decode(&state.encode())
        .expect("decodes")
        .apply(at(3), Command::Put(put("r1", "shop", 0, "{}")));
    assert_eq!(first, again, "the reply differs after a snapshot and later changes");
}

#[test]
fn an_older_writer_drops_no_newer_field() {
    let mut state = State::default();
    let mut newer = put("r1", "shop", 0, r#"{"keys":["k"],"share":1,"colour":"red"}"#);
    newer.schema = 9;
    state.apply(at(1), Command::Put(newer));
    let mut older = put("r2", "shop", 1, r#"{"key":"k","share":5}"#);
    older.schema = 1;
    assert_eq!(version(&state.apply(at(2), Command::Put(older))), Ok(2));
    let record = state.get(Kind::Workspace, "shop").expect("the record");
    assert_eq!(&*record.body, r#"{"colour":"red","keys":["k"],"share":5}"#);
    assert_eq!(record.schema, 9);
}

#[test]
fn a_record_in_use_is_not_deleted() {
    let mut state = State::default();
    let model = Put { kind: Kind::Model, schema: 1, ..put("r1", "m", 0, "{}") };
    state.apply(at(1), Command::Put(model));
    state.apply(at(2), Command::Put(put("r2", "shop", 0, r#"{"models":["m"]}"#)));
    let delete = |request: &str, kind, name: &str| {
        Command::Delete(Delete {
            request: Name::new(request),
            by: Name::new("ann"),
            at_ms: 6,
            kind,
            name: Name::new(name),
            expected_version: 1,
        })
    };
    let referenced = state.apply(at(3), delete("r3", Kind::Model, "m"));
    assert_eq!(version(&referenced), Err(Code::Referenced));
    state.apply(at(4), delete("r4", Kind::Workspace, "shop"));
    assert_eq!(version(&state.apply(at(5), delete("r5", Kind::Model, "m"))), Ok(1));
    let missing = state.apply(at(6), Command::Put(put("r6", "shop", 0, r#"{"models":["m"]}"#)));
    assert_eq!(version(&missing), Err(Code::BadRecord));
}

#[test]
fn invalid_bodies_are_rejected_with_all_errors() {
    let mut state = State::default();
    let body = r#"{"share":0,"colour":1}"#;
    let Reply::Rejected { code, text, .. } =
        state.apply(at(1), Command::Put(put("r", "s", 0, body)))
    else {
        panic!("accepted");
    };
    assert_eq!(code, Code::BadRecord);
    assert!(text.contains("share") && text.contains("colour"), "{text}");
}

fn claim(entry: u64, digest: u8) -> Claim {
    Claim {
        workspace: Name::new("shop"),
        key: Name::new("renewal-7"),
        digest: [digest; 16],
        run: RunId { entry: Incarnation(entry), number: 1, attempt: 0 },
        entry: Name::new("entry"),
        agent: Name::new("agent"),
        incarnation: Incarnation(1),
        at_ms: 1_000,
    }
}

fn claim_status(state: &mut State, claim: Claim, replaces: Option<RunId>) -> ClaimStatus {
    match state.apply(at(9), Command::Claim { claim, replaces }) {
        Reply::Claim(status) => status,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_key_is_granted_once_and_keeps_its_answer() {
    let mut state = State::default();
    let (first, second) = (claim(1, 7), claim(2, 7));
    assert_eq!(claim_status(&mut state, first.clone(), None), ClaimStatus::Granted);
    assert_eq!(claim_status(&mut state, first.clone(), None), ClaimStatus::Granted, "a resend");
    assert_eq!(
        claim_status(&mut state, second.clone(), None),
        ClaimStatus::InProgress(first.clone())
    );
    assert_eq!(claim_status(&mut state, claim(2, 8), None), ClaimStatus::Mismatch);
    let replaced = claim_status(&mut state, second.clone(), Some(first.run));
    assert_eq!(replaced, ClaimStatus::Granted, "replaces an attempt that never starts");
    let outcome =
        Outcome::Answer { status: 200, content_type: Name::new("text"), body: Arc::from(*b"yes") };
    let complete = |run, outcome| Command::Complete {
        workspace: Name::new("shop"),
        key: Name::new("renewal-7"),
        run,
        outcome,
    };
    state.apply(at(10), complete(first.run, Some(Outcome::Ended(Code::Unknown))));
    state.apply(at(11), complete(second.run, Some(outcome.clone())));
    state.apply(at(12), complete(second.run, Some(Outcome::Ended(Code::Unknown))));
    assert_eq!(claim_status(&mut state, first, None), ClaimStatus::Completed(outcome));
}

#[test]
fn lagging_watchers_get_each_change_once() {
    let mut state = State::default();
    for index in 1..=20 {
        let name = format!("w{}", index % 3);
        let request = format!("r{index}");
        let expect = (index - 1) / 3;
        state.apply(at(index), Command::Put(put(&request, &name, expect, "{}")));
    }
    let changes = state.changes_after(at(15)).expect("all changes");
    assert_eq!(changes.iter().map(|c| c.revision.index).collect::<Vec<_>>(), [16, 17, 18, 19, 20]);
    let mut view = record::View::default();
    view.apply(&state.changes_after(Revision::default()).expect("all changes"));
    view.apply(&changes);
    assert_eq!(view.revision, state.revision());
    assert_eq!(
        view.records().cloned().collect::<Vec<_>>(),
        state.records().cloned().collect::<Vec<_>>()
    );
}
