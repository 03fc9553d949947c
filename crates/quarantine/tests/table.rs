//! Which segments are quarantined, released and tried, from observations alone.

use base::prelude::*;
use quarantine::{
    Candidate, Cause, Content, Hold, Loss, MAX_TRIALS, Observation, Server, Stage, Survival,
    TRIAL_VALIDITY, Table,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const ENTRIES: usize = 8;
/// Segment that crashes servers, that of a workspace, and that of a kind of request.
const DEADLY: u64 = 9;
const WORKSPACE: u64 = 5;
const KIND: u64 = 1;
/// After this time, a crash has settled.
const SETTLED_MS: u64 = 50;

fn segment(id: u64) -> Cause {
    Cause::Segment { model: Name::new("m"), id }
}

fn prompt(model: &str, segments: &[u64]) -> Content {
    Content { model: Name::new(model), segments: segments.to_vec(), ..Content::default() }
}

fn loss(server: &str, entry: &str, at: u64, candidates: &[(Stage, &[u64])]) -> Loss {
    let candidate = |(stage, segments): &(Stage, &[u64])| Candidate {
        request: Name::from(format!("{server} {entry}")),
        stage: *stage,
        content: prompt("m", segments),
    };
    Loss {
        server: Server { id: Name::new(server), born: Some(1) },
        entry: Name::new(entry),
        at: Time::from_millis(at),
        lost: 4,
        remaining: 0,
        refused: false,
        answered: false,
        candidates: candidates.iter().map(candidate).collect(),
    }
}

/// The crash of a server that was about to answer a prompt with these segments, as two entries observed it.
fn crash(table: &mut Table, server: &str, at: u64, segments: &[u64]) {
    for (entry, candidates) in [("e1", &[(Stage::Begun, segments)][..]), ("e2", &[])] {
        table.merge(&Observation::Loss(loss(server, entry, at, candidates)));
    }
}

fn survives(table: &mut Table, at: u64, id: u64) {
    let at = Time::from_millis(at);
    table.merge(&Observation::Survival(Survival { cause: segment(id), at }));
}

fn held(table: &mut Table, now: u64) -> Vec<Vec<u64>> {
    table.update(Time::from_millis(now), ENTRIES);
    let id = |cause: &Cause| match cause {
        Cause::Segment { id, .. } => *id,
        Cause::Request { digest, .. } => panic!("request {digest}"),
    };
    let ids = |hold: &Hold| hold.causes.iter().map(id).collect();
    table.holds().iter().map(ids).collect()
}

#[test]
fn two_crashes_without_a_survival_are_enough() {
    let mut table = Table::default();
    crash(&mut table, "i-1", 1_000, &[KIND, WORKSPACE, DEADLY]);
    survives(&mut table, 1_010, KIND);
    survives(&mut table, 1_100, WORKSPACE);
    assert!(held(&mut table, 1_200).is_empty(), "one crash may have any cause");
    crash(&mut table, "i-2", 1_500, &[KIND, WORKSPACE, DEADLY]);
    assert_eq!(held(&mut table, 1_500 + SETTLED_MS), [[DEADLY]]);
}

// Guards against rejecting the sound requests of the workspace: its segment is in every crash too, and no other request of
// it came since the first one.
#[test]
fn a_segment_that_survived_before_is_not_blamed_beside_one_that_never_did() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500), (3, 1_700), (4, 1_900)] {
        crash(&mut table, &format!("i-{number}"), at, &[KIND, WORKSPACE, DEADLY]);
        survives(&mut table, 500, WORKSPACE);
        survives(&mut table, 500, KIND);
    }
    assert_eq!(held(&mut table, 2_000), [[DEADLY]]);
}

// Guards against a segment that becomes deadly, as on new weights, and is trusted because it survived before.
#[test]
fn a_segment_that_survived_before_is_blamed_after_a_third_crash() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        crash(&mut table, &format!("i-{number}"), at, &[DEADLY]);
    }
    survives(&mut table, 900, DEADLY);
    assert!(held(&mut table, 1_600).is_empty());
    crash(&mut table, "i-3", 2_000, &[DEADLY]);
    assert_eq!(held(&mut table, 2_100), [[DEADLY]]);
}

// Guards against rejecting sound requests while nothing tells two segments apart: only prompts with both are held back.
#[test]
fn segments_that_only_occurred_together_are_held_together() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        crash(&mut table, &format!("i-{number}"), at, &[WORKSPACE, DEADLY]);
    }
    assert_eq!(held(&mut table, 1_600), [[WORKSPACE, DEADLY]]);
    assert!(table.find(&prompt("m", &[KIND, WORKSPACE, DEADLY])).is_some());
    assert!(table.find(&prompt("m", &[KIND, WORKSPACE])).is_none());
    assert!(table.find(&prompt("other", &[WORKSPACE, DEADLY])).is_none(), "another model");
    survives(&mut table, 1_700, WORKSPACE);
    assert_eq!(held(&mut table, 1_800), [[DEADLY]]);
}

// Guards against one deadly segment that hides another, in the same workspace.
#[test]
fn two_deadly_segments_of_a_workspace_are_both_held() {
    let mut table = Table::default();
    for (number, deadly) in [DEADLY, DEADLY + 1, DEADLY, DEADLY + 1, DEADLY + 1].iter().enumerate()
    {
        let at = 1_000 + 400 * number as u64;
        crash(&mut table, &format!("i-{number}"), at, &[WORKSPACE, *deadly]);
        survives(&mut table, at + 100, WORKSPACE);
    }
    let mut found = held(&mut table, 4_000);
    found.sort();
    assert_eq!(found, [[DEADLY], [DEADLY + 1]]);
}

// Guards against blaming what was only queued beside the cause.
#[test]
fn requests_that_were_only_sent_are_no_candidates_beside_one_that_was_begun() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        let server = format!("i-{number}");
        let begun = loss(&server, "e1", at, &[(Stage::Begun, &[DEADLY])]);
        let sent = loss(&server, "e2", at, &[(Stage::Sent, &[WORKSPACE])]);
        table.merge(&Observation::Loss(sent));
        table.merge(&Observation::Loss(begun));
    }
    assert_eq!(held(&mut table, 1_600), [[DEADLY]]);
}

// Guards against servers that send no head before the first event: the cause has only been sent.
#[test]
fn requests_that_were_only_sent_are_candidates_if_none_was_begun() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        for (entry, segments) in [("e1", DEADLY), ("e2", 100 + number)] {
            let server = format!("i-{number}");
            let loss = loss(&server, entry, at, &[(Stage::Sent, &[segments])]);
            table.merge(&Observation::Loss(loss));
        }
    }
    assert_eq!(held(&mut table, 1_600), [[DEADLY]]);
}

// Guards against blaming requests for what is no crash: single broken responses, an entry that lost its connections, a
// server that goes on.
#[test_case(|loss: &mut Loss| loss.lost = 0, |loss: &mut Loss| loss.lost = 1; "one response")]
#[test_case(|loss: &mut Loss| loss.lost = 0, |_: &mut Loss| (); "one entry")]
#[test_case(|loss: &mut Loss| (loss.lost, loss.remaining) = (0, 2), |_: &mut Loss| (); "a server that answers another entry")]
#[test_case(|_: &mut Loss| (), |loss: &mut Loss| loss.remaining = 1; "a server that answers the same entry")]
fn lost_runs_are_no_crash(other: fn(&mut Loss), own: fn(&mut Loss)) {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        let server = format!("i-{number}");
        let mut first = loss(&server, "e1", at, &[(Stage::Begun, &[DEADLY])]);
        let mut second = loss(&server, "e2", at, &[]);
        own(&mut first);
        other(&mut second);
        table.merge(&Observation::Loss(first));
        table.merge(&Observation::Loss(second));
        assert!(held(&mut table, at + 400).is_empty());
    }
    assert!(table.update(Time::from_millis(2_500), ENTRIES).crashes.is_empty());
}

// Guards against crashes of servers with a single run, which are no more than a broken response until a connection is refused.
#[test]
fn a_refused_connection_confirms_a_crash() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        let server = format!("i-{number}");
        let mut only = loss(&server, "e1", at, &[(Stage::Begun, &[DEADLY])]);
        only.lost = 1;
        table.merge(&Observation::Loss(only.clone()));
        assert!(table.unconfirmed(Time::from_millis(at + 100), &only.server, ENTRIES).is_some());
        let refused = Loss { refused: true, candidates: Vec::new(), lost: 0, ..only };
        table.merge(&Observation::Loss(refused));
    }
    assert_eq!(held(&mut table, 1_600), [[DEADLY]]);
}

// Guards against blaming a segment for a rack that loses power: several servers that end together have one cause.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_003), (3, 1_006)] {
        crash(&mut table, &format!("i-{number}"), at, &[DEADLY]);
    }
    assert!(held(&mut table, 1_100).is_empty());
}

// Guards against blaming rare segments where servers crash by themselves.
#[test]
fn a_third_crash_is_needed_among_crashes_with_other_causes() {
    let mut table = Table::default();
    crash(&mut table, "i-1", 1_000, &[DEADLY]);
    crash(&mut table, "i-2", 1_300, &[70]);
    crash(&mut table, "i-3", 1_600, &[DEADLY]);
    assert!(held(&mut table, 1_700).is_empty());
    crash(&mut table, "i-4", 2_000, &[DEADLY]);
    assert_eq!(held(&mut table, 2_100), [[DEADLY]]);
    // Later ones do not release it.
    crash(&mut table, "i-5", 3_000, &[71]);
    assert_eq!(held(&mut table, 3_100), [[DEADLY]]);
}

// Guards against decisions that depend on the order in which observations arrive, or on how often.
#[test]
fn observations_may_be_reordered_and_repeated() {
    let mut observations = Vec::new();
    for number in 0..6 {
        let at = 1_000 + 300 * number;
        let deadly = [KIND, WORKSPACE, DEADLY + number % 2];
        for (entry, candidates) in [("e1", &[(Stage::Begun, &deadly[..])][..]), ("e2", &[])] {
            let loss = loss(&format!("i-{number}"), entry, at, candidates);
            // An earlier report of the same loss.
            observations.push(Observation::Loss(Loss { lost: 1, remaining: 3, ..loss.clone() }));
            observations.push(Observation::Loss(loss));
        }
    }
    for (id, at) in [(KIND, 4_000), (WORKSPACE, 3_500)] {
        let at = Time::from_millis(at);
        observations.push(Observation::Survival(Survival { cause: segment(id), at }));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..200 {
        observations.shuffle(&mut rng);
        let mut table = Table::default();
        for observation in &observations {
            table.merge(observation);
            if rng.random_bool(0.3) {
                table.merge(observation);
            }
        }
        let mut found = held(&mut table, 4_100);
        found.sort();
        assert_eq!(found, [[DEADLY], [DEADLY + 1]]);
    }
}

fn quarantined() -> (Table, Hold) {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 1_500)] {
        crash(&mut table, &format!("i-{number}"), at, &[DEADLY]);
    }
    table.update(Time::from_millis(1_600), ENTRIES);
    let hold = table.holds()[0].clone();
    (table, hold)
}

// Guards against trials that all entries make at once, that never end, or that come at short intervals.
#[test]
fn trials_are_permitted_to_one_entry_at_a_time_and_end() {
    let (mut table, hold) = quarantined();
    let mut permitted = Vec::new();
    for second in 2..600 {
        let now = Time::from_millis(second * 1_000);
        for entry in ["e1", "e2"] {
            if !table.permit_trial(now, &hold, &Name::new(entry), None).is_empty() {
                permitted.push(second);
            }
        }
    }
    assert_eq!(permitted.len(), MAX_TRIALS as usize);
    let gaps: Vec<u64> = permitted.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] >= 2 * TRIAL_VALIDITY.as_secs() && gaps[1] >= 2 * gaps[0], "{gaps:?}");
    assert_eq!(table.next_trial(&hold, Some(Time::from_millis(700_000))), None);
}

// Guards against waiting for the interval where new weights may have made the segment harmless.
#[test]
fn new_weights_make_a_trial_due() {
    let (table, hold) = quarantined();
    let changed_at = Time::from_millis(4_000);
    assert_eq!(table.next_trial(&hold, Some(changed_at)), Some(changed_at));
    assert!(table.next_trial(&hold, None) > Some(Time::from_millis(10_000)));
    let before = Time::from_millis(1_200);
    assert_eq!(table.next_trial(&hold, Some(before)), table.next_trial(&hold, None));
}

#[test]
fn a_survived_trial_releases_the_segment_and_a_failed_one_does_not() {
    let (mut table, _) = quarantined();
    crash(&mut table, "i-3", 40_000, &[DEADLY]);
    assert_eq!(held(&mut table, 40_100), [[DEADLY]]);
    survives(&mut table, 60_000, DEADLY);
    let changes = table.update(Time::from_millis(60_100), ENTRIES);
    assert_eq!((table.holds().len(), changes.released.len()), (0, 1));
    // A part that becomes deadly again is found again.
    for (number, at) in [(4, 70_000), (5, 70_500), (6, 71_000)] {
        crash(&mut table, &format!("i-{number}"), at, &[DEADLY]);
    }
    assert_eq!(held(&mut table, 71_100), [[DEADLY]]);
}

// Guards against taking the next crash of a server for the last one where it starts again under its identity.
#[test]
fn a_server_that_crashes_again_counts_again() {
    let mut table = Table::default();
    for at in [1_000, 9_000] {
        crash(&mut table, "i-1", at, &[DEADLY]);
    }
    assert_eq!(held(&mut table, 9_100), [[DEADLY]]);
    let mut late = loss("i-1", "e3", 10_000, &[]);
    late.lost = 2;
    table.merge(&Observation::Loss(late));
    assert!(table.update(Time::from_millis(10_100), ENTRIES).crashes.is_empty(), "a late loss");
}

// Guards against memory that grows with the prompts of callers, and against losing a quarantine to a flood of other losses.
#[test]
fn losses_without_end_are_bounded_and_keep_the_quarantine() {
    let (mut table, _) = quarantined();
    for number in 0..400_u64 {
        let at = 2_000 + number;
        let segments: Vec<u64> = (0..400).map(|id| 10_000 + number * 400 + id).collect();
        crash(&mut table, &format!("flood-{number}"), at, &segments);
        table.update(Time::from_millis(at + SETTLED_MS), ENTRIES);
    }
    assert!(held(&mut table, 8_000).contains(&vec![DEADLY]));
    let observations = table.observations();
    let segments = |found: &Observation| match found {
        Observation::Loss(loss) => {
            loss.candidates.iter().map(|found| found.content.segments.len()).sum()
        }
        Observation::Survival(_) | Observation::Trial(_) => 1,
    };
    let all: usize = observations.iter().map(segments).sum();
    assert!(observations.len() < 300 && all < 40_000, "{}, {all}", observations.len());
}

// Guards against a process that starts long after the crashes, or a keeper that reads them from its disk, and removes them as old
// before it has decided what they show.
#[test]
fn a_process_that_learns_late_holds_back_the_same_segments() {
    let (mut table, _) = quarantined();
    let later = 1_800_000;
    assert_eq!(held(&mut table, later), [[DEADLY]]);
    let mut other = Table::default();
    for observation in table.observations() {
        other.merge(&observation);
    }
    for step in 0..3 {
        assert_eq!(held(&mut other, later + step), [[DEADLY]]);
    }
}

#[test]
fn a_quarantine_ends_an_hour_after_the_last_crash() {
    let (mut table, _) = quarantined();
    assert_eq!(held(&mut table, 3_500_000), [[DEADLY]]);
    assert!(held(&mut table, 3_700_000).is_empty());
    assert!(table.observations().is_empty());
}

/// The loss of plain requests with these digests, as one entry observed it.
fn plain_loss(server: &str, entry: &str, at: u64, digests: &[u128]) -> Loss {
    let content = |digest: &u128| Content {
        service: Name::new("desk"),
        digest: Some(*digest),
        ..Content::default()
    };
    let candidate = |digest: &u128| Candidate {
        request: Name::from(format!("{server} {entry} {digest}")),
        stage: Stage::Sent,
        content: content(digest),
    };
    Loss {
        lost: digests.len() as u32,
        candidates: digests.iter().map(candidate).collect(),
        ..loss(server, entry, at, &[])
    }
}

/// The crash of a server that ran plain requests with these digests, confirmed by a refused connection.
fn plain_crash(table: &mut Table, server: &str, at: u64, digests: &[u128]) {
    let loss = Loss { refused: true, ..plain_loss(server, "e1", at, digests) };
    table.merge(&Observation::Loss(loss));
}

fn request(digest: u128) -> Cause {
    Cause::Request { service: Name::new("desk"), digest }
}

fn request_survives(table: &mut Table, at: u64, digest: u128) {
    let at = Time::from_millis(at);
    table.merge(&Observation::Survival(Survival { cause: request(digest), at }));
}

fn held_requests(table: &mut Table, now: u64) -> Vec<u128> {
    table.update(Time::from_millis(now), ENTRIES);
    let digest = |cause: &Cause| match cause {
        Cause::Request { digest, .. } => *digest,
        Cause::Segment { id, .. } => panic!("segment {id}"),
    };
    table.holds().iter().flat_map(|hold| &hold.causes).map(digest).collect()
}

// Guards against a plain request that crashes each server which runs it, beside others that run there by chance.
#[test]
fn a_request_in_two_crashes_is_held() {
    let mut table = Table::default();
    plain_crash(&mut table, "i-1", 1_000, &[9, 21, 22]);
    assert!(held_requests(&mut table, 1_100).is_empty(), "one crash may have any cause");
    plain_crash(&mut table, "i-2", 1_500, &[9]);
    assert_eq!(held_requests(&mut table, 1_600), [9]);
    let content = Content { service: Name::new("other"), digest: Some(9), ..Content::default() };
    assert!(table.find(&content).is_none(), "at another service");
}

// Guards against blaming a victim that was tried again, and lost again at a server that crashed by itself.
#[test]
fn a_request_that_never_ran_alone_is_held_after_a_third_crash() {
    let mut table = Table::default();
    plain_crash(&mut table, "i-1", 1_000, &[9, 21, 22]);
    plain_crash(&mut table, "i-2", 1_500, &[23, 9]);
    assert!(held_requests(&mut table, 1_600).is_empty());
    plain_crash(&mut table, "i-3", 2_000, &[9, 24]);
    assert_eq!(held_requests(&mut table, 2_100), [9]);
}

// Guards against more than three crashes by one request, whatever speaks for it.
#[test]
fn a_third_crash_is_always_enough() {
    let mut table = Table::default();
    request_survives(&mut table, 500, 9);
    plain_crash(&mut table, "i-0", 900, &[70]);
    for number in 1..4 {
        assert!(held_requests(&mut table, 900 + 500 * number).is_empty());
        plain_crash(&mut table, &format!("i-{number}"), 1_000 + 500 * number, &[9, 20]);
        request_survives(&mut table, 1_050 + 500 * number, 20);
    }
    assert_eq!(held_requests(&mut table, 2_700), [9]);
}

// Guards against blaming the victim that was tried again beside the cause.
#[test]
fn requests_that_crashed_the_same_servers_are_told_apart_or_held_after_a_third_crash() {
    for (third, expected) in [(&[9][..], &[9][..]), (&[8, 9], &[8, 9])] {
        let mut table = Table::default();
        plain_crash(&mut table, "i-1", 1_000, &[8, 9]);
        plain_crash(&mut table, "i-2", 1_200, &[8, 9]);
        assert!(held_requests(&mut table, 1_300).is_empty());
        plain_crash(&mut table, "i-3", 1_500, third);
        let mut held = held_requests(&mut table, 1_600);
        held.sort_unstable();
        assert_eq!(held, expected);
    }
}

// Guards against rejecting a frequent request because it runs everywhere, also where servers crash.
#[test]
fn a_request_that_survives_between_crashes_is_not_held() {
    let mut table = Table::default();
    for number in 0..6 {
        let at = 1_000 + 500 * number;
        plain_crash(&mut table, &format!("i-{number}"), at, &[7, 100 + u128::from(number)]);
        request_survives(&mut table, at + 250, 7);
        assert!(held_requests(&mut table, at + 300).is_empty());
    }
}

// Guards against a request that turns deadly, as when what it reads has changed.
#[test]
fn a_request_that_survived_before_is_held_after_a_third_crash() {
    let mut table = Table::default();
    request_survives(&mut table, 900, 9);
    plain_crash(&mut table, "i-1", 1_000, &[9]);
    plain_crash(&mut table, "i-2", 1_500, &[9]);
    assert!(held_requests(&mut table, 1_600).is_empty());
    plain_crash(&mut table, "i-3", 2_000, &[9]);
    assert_eq!(held_requests(&mut table, 2_100), [9]);
}

// Guards against several such requests that hide each other.
#[test]
fn two_deadly_requests_are_both_held() {
    let mut table = Table::default();
    for number in 0..6 {
        plain_crash(
            &mut table,
            &format!("i-{number}"),
            1_000 + 400 * number,
            &[8 + u128::from(number % 2)],
        );
    }
    let mut held = held_requests(&mut table, 4_000);
    held.sort_unstable();
    assert_eq!(held, [8, 9]);
}

// Guards against a request that runs alone, so that each crash is a single lost run that nothing confirms.
#[test]
fn a_request_that_is_lost_at_three_servers_is_held() {
    let mut table = Table::default();
    for (number, entry) in [(1, "e1"), (2, "e2"), (3, "e1")] {
        assert!(held_requests(&mut table, 5_000 * number - 100).is_empty());
        let loss = plain_loss(&format!("i-{number}"), entry, 5_000 * number, &[9]);
        table.merge(&Observation::Loss(loss));
    }
    assert_eq!(held_requests(&mut table, 15_100), [9]);
}

// Guards against rejecting a sound request for servers that reset connections, for an entry that lost its own, and for
// losses at a server that goes on.
#[test_case(|_, loss| loss.answered = true; "servers that answer later requests")]
#[test_case(|_, loss| loss.remaining = 1; "servers that go on")]
#[test_case(|_, loss| loss.entry = Name::new("e1"); "one entry")]
#[test_case(|_, loss| loss.server = Server { id: Name::new("i-1"), born: Some(1) }; "one server")]
#[test_case(|number, loss| loss.at = Time::from_millis(1_000 + number); "one moment")]
fn a_request_that_is_lost_without_a_crash_is_not_held(change: fn(u64, &mut Loss)) {
    let mut table = Table::default();
    for number in 0..4 {
        let entry = format!("e{number}");
        let mut loss = plain_loss(&format!("i-{number}"), &entry, 1_000 + 400 * number, &[9]);
        change(number, &mut loss);
        table.merge(&Observation::Loss(loss));
        let now = 1_000 + 400 * number + SETTLED_MS;
        assert!(held_requests(&mut table, now).is_empty(), "after {number}");
    }
}

// Guards against a broken response that a later crash of its server, seen by a refused connection, turns into one.
#[test]
fn a_server_that_answered_before_it_refused_has_not_crashed_at_the_loss() {
    let mut table = Table::default();
    for (number, at) in [(1, 1_000), (2, 3_000)] {
        let lost = plain_loss(&format!("i-{number}"), "e1", at, &[9]);
        table.merge(&Observation::Loss(Loss { answered: true, ..lost.clone() }));
        let refused = Loss { entry: Name::new("e2"), lost: 0, refused: true, ..lost };
        table.merge(&Observation::Loss(Loss { candidates: Vec::new(), ..refused }));
    }
    assert!(held_requests(&mut table, 4_000).is_empty());
}

// Guards against single losses without end that displace the crashes of a quarantined request.
#[test]
fn lost_responses_without_end_keep_the_quarantine() {
    let mut table = Table::default();
    plain_crash(&mut table, "i-1", 1_000, &[9]);
    plain_crash(&mut table, "i-2", 1_500, &[9]);
    for number in 0..1_000_u64 {
        let digests: Vec<u128> = (0..40).map(|id| u128::from(1_000 + 40 * number) + id).collect();
        let at = 2_000 + 10 * number;
        let loss = plain_loss(&format!("flood-{number}"), "e2", at, &digests);
        table.merge(&Observation::Loss(loss));
        table.update(Time::from_millis(at + SETTLED_MS), ENTRIES);
    }
    assert_eq!(held_requests(&mut table, 12_100), [9]);
    let count = |found: &Observation| match found {
        Observation::Loss(loss) => loss.candidates.len(),
        Observation::Survival(_) | Observation::Trial(_) => 1,
    };
    let all: usize = table.observations().iter().map(count).sum();
    assert!(all <= 130 * 16, "{all}");
}

// Guards against holding each of the requests that have a deadly segment instead of the segment, and against prompts whose
// segments are all sound, or too many, that crash servers as a whole.
#[test]
fn a_segment_explains_crashes_before_a_whole_request_does() {
    let crash_with = |table: &mut Table, number: u64, digest: u128| {
        for entry in ["e1", "e2"] {
            let at = 1_000 + 500 * number;
            let mut loss =
                loss(&format!("i-{number}"), entry, at, &[(Stage::Begun, &[WORKSPACE, DEADLY])]);
            loss.candidates[0].content.digest = Some(digest);
            table.merge(&Observation::Loss(loss));
        }
        survives(table, 1_100 + 500 * number, WORKSPACE);
    };
    let mut table = Table::default();
    (0..3).for_each(|number| crash_with(&mut table, number, 7));
    assert_eq!(held(&mut table, 3_000), [[DEADLY]]);
    // Another request with the segment shows that it is sound.
    survives(&mut table, 3_100, DEADLY);
    table.update(Time::from_millis(3_200), ENTRIES);
    let causes: Vec<&Cause> = table.holds().iter().flat_map(|hold| &hold.causes).collect();
    assert_eq!(causes, [&Cause::Request { service: Name::default(), digest: 7 }]);
}
