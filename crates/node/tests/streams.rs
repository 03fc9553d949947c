//! Streams that clients resume: the lookup of their origin, refusals, and streams that move before their first event.

mod forwarder;

use base::prelude::*;
use fleet::Listed;
use node::Effect;
use node::decision::Decision;
use node::forward::{Action, Event, Failure, RequestHead, Resumption};
use test_case::test_case;
use wire::{Frame, stream};

use forwarder::Harness;
use forwarder::fixture::listed;

/// An entry with these keepers, which have been linked for a while, and servers of these software versions.
fn entry(keepers: &[&str], software: &[&str]) -> Harness {
    let servers = (1_u16..).zip(software);
    let list = servers.map(|(number, software)| of_software(number, software)).collect();
    let mut entry = Harness::with_list(list);
    for keeper in keepers {
        entry.forward.keeper_linked(entry.now, &Name::new(keeper), &mut entry.out);
    }
    entry.now = Time::from_millis(5_000);
    entry.out.clear();
    entry
}

fn of_software(number: u16, software: &str) -> Listed {
    Listed { software: Name::new(software), ..listed(number) }
}

fn request(entry: &mut Harness, call: u64, path: &str, resumption: Option<Resumption>) {
    let head = RequestHead {
        id: Name::from(format!("r{call}")),
        host: "shop".to_owned(),
        path: path.to_owned(),
        key: Some("key".to_owned()),
        digest: None,
        resumption,
        ..RequestHead::default()
    };
    entry.event(Event::Arrived { call, head: Box::new(head) });
}

fn resume(entry: &mut Harness, call: u64, first_attempt: &str) {
    let first_attempt = Some(Name::new(first_attempt));
    request(entry, call, "/stream/x", Some(Resumption { first_attempt }));
}

/// A keeper answers the last lookup that was sent to it.
fn found(entry: &mut Harness, keeper: &str, found: stream::Lookup) {
    let keeper = Name::new(keeper);
    let number = entry.out.iter().rev().find_map(|effect| match effect {
        Effect::Send { to, frame: Frame::StreamQuery { call, .. } } if *to == keeper => Some(*call),
        _ => None,
    });
    let number = number.expect("a lookup");
    entry.step(|forward, cx, out| forward.stream_found(cx, &keeper, (number, found), out));
}

/// Software version of the server that a request was sent to.
fn software(entry: &mut Harness, call: u64) -> Name {
    let id = entry.sent(call).id;
    let mut servers = entry.forward.servers().iter().map(|(_, server)| &server.listed);
    servers.find(|listed| listed.id == id).expect("listed").software.clone()
}

fn rejected(entry: &mut Harness, call: u64) -> (Code, u16, Option<Duration>) {
    let found = entry.rejection(call);
    (found.code, found.status, found.retry_after)
}

/// The frames to other processes, with their receivers.
fn frames(entry: &mut Harness) -> Vec<(Name, Frame)> {
    let mut found = Vec::new();
    entry.out.retain(|effect| match effect {
        Effect::Send { to, frame } => {
            found.push((to.clone(), frame.clone()));
            false
        }
        _ => true,
    });
    found
}

/// The number that each keeper is to acknowledge.
fn acks(entry: &mut Harness) -> Vec<(Name, u64)> {
    let ack = |(to, frame)| match frame {
        Frame::StreamRecords(stream::Records { ack: Some(ack), .. }) => Some((to, ack)),
        _ => None,
    };
    frames(entry).into_iter().filter_map(ack).collect()
}

fn known(software: &str) -> stream::Lookup {
    let service = Name::new("llm");
    stream::Lookup::Known(stream::Origin { service, software: Name::new(software) })
}

// Guards against a resumption that goes to the version that most servers have: a keeper knows what began the stream.
#[test]
fn a_resumption_goes_to_the_version_that_a_keeper_knows() {
    for call in 1..20 {
        let mut entry = entry(&["k1", "k2"], &["v1", "v2", "v2", "v2", "v2"]);
        resume(&mut entry, call, "first");
        assert_eq!(entry.actions(call), [], "it waits for the keepers");
        found(&mut entry, "k2", stream::Lookup::Unknown);
        found(&mut entry, "k1", known("v1"));
        assert_eq!(&*software(&mut entry, call), "v1");
    }
}

// Guards against a stream that goes on at another version, at an entry that was cut off or stood still during a release: its own
// keeper has missed that the origin is not certain any more, or was replaced.
#[test_case(&[("k1", Some("v1")), ("k2", None)], Err((Code::StreamUnknown, 503)); "another one knows that it is uncertain")]
#[test_case(&[("k1", Some("v1")), ("k2", Some("v2"))], Err((Code::StreamUnknown, 503)); "another one knows another origin")]
#[test_case(&[("k1", Some("v1"))], Err((Code::NotReady, 503)); "no other one answers")]
#[test_case(&[("k1", Some("v1")), ("k2", Some("v1"))], Ok("v1"); "two agree")]
fn a_keeper_does_not_decide_alone(
    answers: &[(&str, Option<&str>)],
    expected: Result<&str, (Code, u16)>,
) {
    let mut entry = entry(&["k1", "k2", "k3"], &["v1", "v2", "v2"]);
    entry.keepers = 3;
    resume(&mut entry, 1, "first");
    for (keeper, origin) in answers {
        assert_eq!(entry.actions(1), [], "one answer is not enough");
        found(&mut entry, keeper, origin.map_or(stream::Lookup::Uncertain, known));
    }
    if answers.len() == 1 {
        entry.wait(700);
    }
    match expected {
        Ok(version) => assert_eq!(&*software(&mut entry, 1), version),
        Err(expected) => {
            let (code, status, _) = rejected(&mut entry, 1);
            assert_eq!((code, status), expected);
        }
    }
}

// Guards against a keeper that counts as two that agree, because its link was lost and it was asked again.
#[test]
fn a_keeper_that_is_linked_again_does_not_agree_with_itself() {
    let mut entry = entry(&["k1", "k2", "k3"], &["v1", "v2", "v2"]);
    entry.keepers = 3;
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", known("v1"));
    entry.forward.keeper_unlinked(entry.now, &Name::new("k1"));
    entry.forward.keeper_linked(entry.now, &Name::new("k1"), &mut entry.out);
    found(&mut entry, "k1", known("v1"));
    assert_eq!(entry.actions(1), [], "the others have not answered");
    found(&mut entry, "k2", stream::Lookup::Uncertain);
    assert_eq!(rejected(&mut entry, 1).0, Code::StreamUnknown);
}

// Guards against an entry without contact to the others whose own keeper, the only one linked, has missed an update.
#[test_case(3, false; "one of three")]
#[test_case(1, true; "the only one")]
fn a_keeper_without_the_others_is_not_believed(keepers: usize, goes_on: bool) {
    let mut entry = entry(&["k1"], &["v1", "v2"]);
    entry.keepers = keepers;
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", known("v1"));
    if goes_on {
        assert_eq!(&*software(&mut entry, 1), "v1");
        return;
    }
    entry.wait(700);
    let (code, status, retry_after) = rejected(&mut entry, 1);
    assert_eq!((code, status, retry_after.is_some()), (Code::NotReady, 503, true));
}

// Guards against streams that don't go on because the other keepers with their records have lost them.
#[test]
fn the_only_record_counts_once_all_have_answered() {
    let mut entry = entry(&["k1", "k2", "k3"], &["v1", "v2", "v2"]);
    entry.keepers = 3;
    resume(&mut entry, 1, "first");
    found(&mut entry, "k2", known("v1"));
    found(&mut entry, "k1", stream::Lookup::Unknown);
    assert_eq!(entry.actions(1), [], "the third one may know better");
    found(&mut entry, "k3", stream::Lookup::Unknown);
    assert_eq!(&*software(&mut entry, 1), "v1");
}

// Guards against an entry that takes the only version that it sees for the one that began a stream: it has just started, and no
// keeper knows the stream.
#[test]
fn an_entry_that_sees_one_version_refuses_a_stream_that_nobody_knows() {
    let mut entry = entry(&["k1", "k2"], &["v2", "v2"]);
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", stream::Lookup::Unknown);
    entry.wait(10);
    assert_eq!(entry.actions(1), [], "the other one may know");
    found(&mut entry, "k2", stream::Lookup::Unknown);
    entry.wait(10);
    assert_eq!(rejected(&mut entry, 1), (Code::StreamUnknown, 503, None));
}

// Guards against refusing a stream for good while the keepers can't be asked: the client is told to come back.
#[test_case(&[]; "none is linked")]
#[test_case(&["k1"]; "one does not answer")]
fn a_client_comes_back_if_the_keepers_did_not_answer(keepers: &[&str]) {
    let mut entry = entry(keepers, &["v1", "v2"]);
    resume(&mut entry, 1, "first");
    entry.wait(700);
    let (code, status, retry_after) = rejected(&mut entry, 1);
    assert_eq!((code, status, retry_after.is_some()), (Code::NotReady, 503, true));
}

// Guards against an entry that has just started and asks only the keepers to which it has a link so far.
#[test]
fn a_keeper_that_is_linked_later_is_asked_too() {
    let mut entry = entry(&["k1"], &["v1", "v2", "v2"]);
    entry.forward.keeper_linked(entry.now, &Name::new("k2"), &mut entry.out);
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", stream::Lookup::Unknown);
    found(&mut entry, "k2", stream::Lookup::Unknown);
    entry.wait(100);
    assert_eq!(entry.actions(1), [], "links still come up");
    entry.forward.keeper_linked(entry.now, &Name::new("k3"), &mut entry.out);
    found(&mut entry, "k3", known("v1"));
    assert_eq!(&*software(&mut entry, 1), "v1");
}

// Guards against refusing a stream at once because all links were reset a moment ago: they come back.
#[test]
fn a_lookup_outlasts_a_reset_of_the_links() {
    let mut entry = entry(&["k1", "k2"], &["v1", "v2"]);
    for keeper in ["k1", "k2"] {
        entry.forward.keeper_unlinked(entry.now, &Name::new(keeper));
    }
    resume(&mut entry, 1, "first");
    entry.wait(300);
    assert_eq!(entry.actions(1), []);
    entry.forward.keeper_linked(entry.now, &Name::new("k2"), &mut entry.out);
    found(&mut entry, "k2", known("v1"));
    assert_eq!(&*software(&mut entry, 1), "v1");
}

// Guards against what clients may send: a resumption of no stream, of a stream that may not be repeated, and one whose keepers
// contradict each other.
#[test_case("/stream/x", None; "it names no stream")]
#[test_case("/once/x", Some("first"); "the route may not resume")]
fn a_resumption_of_no_known_stream_is_refused_at_once(path: &str, first_attempt: Option<&str>) {
    let mut entry = entry(&["k1"], &["v1"]);
    let first_attempt = first_attempt.map(Name::new);
    request(&mut entry, 1, path, Some(Resumption { first_attempt }));
    assert_eq!(rejected(&mut entry, 1), (Code::StreamUnknown, 503, None));
}

#[test]
fn a_stream_with_two_origins_is_refused() {
    let mut entry = entry(&["k1"], &["v1", "v2"]);
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", stream::Lookup::Uncertain);
    assert_eq!(rejected(&mut entry, 1).0, Code::StreamUnknown);
}

// Guards against a route that has moved: the service that began the stream does not serve it any more.
#[test]
fn a_stream_of_another_service_is_refused() {
    let mut entry = entry(&["k1"], &["v1", "v2"]);
    resume(&mut entry, 1, "first");
    let origin = stream::Origin { service: Name::new("old"), software: Name::new("v1") };
    found(&mut entry, "k1", stream::Lookup::Known(origin));
    assert_eq!(rejected(&mut entry, 1).0, Code::StreamUnknown);
}

// Guards against a client that waits for a version that is gone, and against one that gives up while its servers are only down.
#[test]
fn a_client_learns_whether_its_version_is_gone_or_down() {
    let mut entry = entry(&["k1"], &["v1", "v2", "v2"]);
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", known("v0"));
    assert_eq!(rejected(&mut entry, 1), (Code::StreamGone, 503, None));
    resume(&mut entry, 2, "second");
    found(&mut entry, "k1", known("v1"));
    assert_eq!(&*software(&mut entry, 2), "v1");
    entry.event(Event::Failed { call: 2, failure: Failure::NotSent });
    let (code, status, retry_after) = rejected(&mut entry, 2);
    assert_eq!((code, status), (Code::NoServer, 503));
    assert!(retry_after.is_some_and(|time| time >= Duration::from_millis(500)), "{retry_after:?}");
}

// Guards against streams that are cut because the few servers of their version broke off other responses a moment ago.
#[test]
fn a_stream_goes_on_at_an_ejected_server_if_its_version_has_no_other() {
    let mut entry = entry(&["k1"], &["v1", "v1"]);
    for call in [1, 2] {
        request(&mut entry, call, "/once/x", None);
        entry.sent(call);
        entry.event(Event::Failed { call, failure: Failure::Aborted });
    }
    request(&mut entry, 3, "/stream/x", None);
    entry.actions(3);
    resume(&mut entry, 4, "first");
    found(&mut entry, "k1", known("v1"));
    assert_eq!(&*software(&mut entry, 4), "v1");
}

// Guards against a chain that loses its origin: each resumption names the attempt that received the first event.
#[test]
fn a_stream_is_resumed_again_and_at_two_places_at_once() {
    let mut entry = entry(&["k1"], &["v1", "v1", "v1", "v2", "v2", "v2"]);
    request(&mut entry, 1, "/stream/x", None);
    let first = software(&mut entry, 1);
    entry.respond(1, 200, false);
    entry.event(Event::ClientDisconnected { call: 1 });
    for call in 2..6 {
        resume(&mut entry, call, "r1");
        assert_eq!(software(&mut entry, call), first, "this entry knows what it sent");
    }
}

/// An entry whose stream was sent to the only server of v1, which then turned it away, so that it moved to v2.
fn moved() -> Harness {
    let mut entry = entry(&["k1", "k2"], &["v1"]);
    request(&mut entry, 1, "/stream/x", None);
    entry.wait(10);
    assert_eq!(&*software(&mut entry, 1), "v1");
    let list = vec![listed(1), of_software(2, "v2")];
    entry.event(Event::Listed { list: Ok(list) });
    frames(&mut entry);
    entry.respond(1, 503, true);
    assert_eq!(&*software(&mut entry, 1), "v2");
    entry
}

// Guards against a keeper whose disk still names the version before: the first event waits until all have replaced it.
#[test]
fn a_stream_that_moved_waits_for_its_keepers_before_the_first_event() {
    let mut entry = moved();
    entry.wait(10);
    let acks = acks(&mut entry);
    assert_eq!(acks.len(), 2);
    entry.respond(1, 200, false);
    assert_eq!(entry.actions(1), [], "held back");
    entry.forward.stream_recorded(&acks[0].0, acks[0].1, &mut entry.out);
    assert_eq!(entry.actions(1), []);
    entry.forward.stream_recorded(&acks[1].0, acks[1].1, &mut entry.out);
    assert_eq!(entry.actions(1), [Action::Deliver]);
}

// Guards against a late acknowledgement of an earlier move that releases a stream which has moved again.
#[test]
fn an_acknowledgement_counts_only_for_its_own_move() {
    let mut entry = moved();
    entry.wait(10);
    let earlier = acks(&mut entry);
    let list = vec![listed(1), of_software(3, "v3")];
    entry.event(Event::Listed { list: Ok(list) });
    entry.respond(1, 503, true);
    assert_eq!(&*software(&mut entry, 1), "v3");
    entry.wait(10);
    entry.respond(1, 200, false);
    for (keeper, ack) in earlier {
        entry.forward.stream_recorded(&keeper, ack, &mut entry.out);
    }
    assert_eq!(entry.actions(1), [], "the keepers may still name v2");
    for (keeper, ack) in acks(&mut entry) {
        entry.forward.stream_recorded(&keeper, ack, &mut entry.out);
    }
    assert_eq!(entry.actions(1), [Action::Deliver]);
}

// Guards against going on with a stream whose server restarted under its identity with another version before the list showed it.
#[test]
fn a_stream_of_a_server_that_changed_its_version_is_uncertain() {
    let mut entry = entry(&["k1"], &["v1", "v1"]);
    request(&mut entry, 1, "/stream/x", None);
    let id = entry.sent(1).id;
    entry.respond(1, 200, false);
    entry.actions(1);
    entry.wait(10);
    let mut list: Vec<Listed> =
        entry.forward.servers().iter().map(|(_, server)| server.listed.clone()).collect();
    for server in list.iter_mut().filter(|server| server.id == id) {
        (server.software, server.born) = (Name::new("v2"), Some(9));
    }
    entry.event(Event::Listed { list: Ok(list) });
    entry.event(Event::Failed { call: 1, failure: Failure::Aborted });
    assert_eq!(rejected(&mut entry, 1).1, 502);
    resume(&mut entry, 2, "r1");
    assert_eq!(rejected(&mut entry, 2).0, Code::StreamUnknown);
    frames(&mut entry);
    entry.wait(10);
}

// Guards against a first event that is passed on although a lost keeper still names the version before.
#[test]
fn a_stream_that_moved_ends_if_a_keeper_is_lost() {
    let mut entry = moved();
    entry.wait(10);
    entry.forward.keeper_unlinked(entry.now, &Name::new("k1"));
    entry.respond(1, 200, false);
    entry.wait(10);
    assert_eq!(rejected(&mut entry, 1).1, 502);
}

// Guards against a wait where none is needed: a server that turns a request away does so before the record is sent.
#[test]
fn a_stream_that_moves_at_once_waits_for_nobody() {
    let mut entry = entry(&["k1", "k2"], &["v1", "v2"]);
    request(&mut entry, 1, "/stream/x", None);
    entry.sent(1);
    entry.respond(1, 503, true);
    entry.sent(1);
    entry.respond(1, 200, false);
    assert_eq!(entry.actions(1), [Action::Deliver]);
    entry.wait(10);
    assert_eq!(acks(&mut entry), []);
}

// Guards against an operator who can't see why a stream did not go on.
#[test]
fn the_log_names_the_first_attempt_its_version_and_who_knew() {
    let mut entry = entry(&["k1"], &["v1", "v1", "v2"]);
    resume(&mut entry, 1, "first");
    found(&mut entry, "k1", known("v1"));
    let found = entry.out.iter().find_map(|effect| match effect {
        Effect::Decision(decision) => match &**decision {
            Decision::Resumption(found) => Some(found.clone()),
            _ => None,
        },
        _ => None,
    });
    let found = found.expect("a decision");
    assert_eq!((&*found.first_attempt, &*found.software, &*found.source), ("first", "v1", "k1"));
    assert_eq!((found.listed, found.usable, found.refusal), (2, 2, None));
}
