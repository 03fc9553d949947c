//! What one entry observes of plain requests that crash servers, and what their callers get.

mod forwarder;

use base::prelude::*;
use node::decision::Decision;
use node::forward::{Event, Failure};
use wire::limit::ServerIncarnation;
use wire::quarantine::{Evidence, Observation};

use forwarder::Harness;
use forwarder::fixture::listed;

const DEADLY: u128 = 7;
const SOUND: u128 = 8;

/// Another entry reports that a server refuses connections after it lost a run.
fn refused(entry: &mut Harness, server: &Name) {
    let listed = (1..9).map(listed).find(|found| found.id == *server).expect("a server");
    let observation = Observation::Loss {
        server: ServerIncarnation { id: listed.id, born: listed.born },
        entry: Name::new("e1"),
        ago_us: 0,
        lost: 0,
        remaining: 0,
        refused: true,
        answered: false,
        candidates: Vec::new(),
    };
    let evidence = Evidence { complete: false, observations: vec![observation] };
    entry.step(|forward, cx, out| forward.evidence_received(cx, &evidence, out));
}

fn lost(entry: &mut Harness, call: u64) {
    entry.event(Event::Failed { call, failure: Failure::NoResponse });
}

/// The observations of losses: digests of the candidates, and whether the server answered afterwards.
fn losses(entry: &Harness) -> Vec<(Vec<Option<u128>>, bool)> {
    let observations = entry.forward.evidence(entry.now).observations;
    let found = observations.iter().filter_map(|observation| match observation {
        Observation::Loss { candidates, answered, .. } => {
            Some((candidates.iter().map(|found| found.digest).collect(), *answered))
        }
        _ => None,
    });
    found.collect()
}

// Guards against a status that says "not run" for an attempt that a server had begun, and against a request that is sent to a
// third server; and against one caller that gets the request of another one rejected.
#[test]
fn a_request_that_crashed_two_servers_is_rejected_and_that_of_another_caller_is_not() {
    let mut entry = Harness::new(4);
    for call in [1, 2] {
        entry.plain(call, "/once/x", "key", DEADLY);
        let server = entry.sent(call).id;
        lost(&mut entry, call);
        assert_eq!(entry.rejected(call), (Code::Unknown, 502, false));
        entry.wait(20);
        refused(&mut entry, &server);
        entry.wait(300);
    }
    entry.plain(3, "/once/x", "key", DEADLY);
    assert_eq!(entry.rejected(3), (Code::Quarantined, 503, true));
    entry.plain(4, "/once/x", "own", DEADLY);
    entry.sent(4);
    entry.plain(5, "/once/x", "key", SOUND);
    entry.sent(5);
    let held = entry.decisions().filter(|found| matches!(found, Decision::HeldBack { .. }));
    assert_eq!(held.count(), 1);
}

// Guards against blaming a request for a server that resets connections and goes on.
#[test]
fn a_server_that_answers_a_later_request_has_not_crashed() {
    let mut entry = Harness::new(1);
    entry.plain(1, "/once/x", "key", DEADLY);
    entry.plain(2, "/once/x", "key", SOUND);
    lost(&mut entry, 1);
    entry.wait(20);
    entry.respond(2, 200, false);
    assert!(losses(&entry).iter().all(|(_, answered)| !answered), "it was sent before the loss");
    entry.wait(180);
    entry.plain(3, "/once/x", "key", SOUND);
    entry.sent(3);
    entry.respond(3, 200, false);
    let found = losses(&entry);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].1, "{found:?}");
}

// Guards against a request that crashes its server after its caller has left or its time was over, so that only others are
// lost with the server.
#[test]
fn a_request_that_its_caller_gave_up_is_a_candidate() {
    let mut entry = Harness::new(1);
    entry.plain(1, "/once/x", "key", DEADLY);
    entry.plain(2, "/once/x", "key", SOUND);
    entry.event(Event::ClientDisconnected { call: 1 });
    entry.wait(50);
    lost(&mut entry, 2);
    entry.wait(20);
    let found = losses(&entry);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0.len(), 2, "{found:?}");
}
