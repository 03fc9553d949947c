//! The entry: whole answers, truthful refusals, one dispatch.

mod harness;

use std::time::Duration;

use base::{Code, Name, Revision};
use harness::{Bed, V1, answered, call, claims, end, engine, plain, prompt, starts, token};
use node::Event;
use state::{ClaimStatus, Outcome, Reply};
use test_case::test_case;
use wire::{Answer, Frame, Heartbeat, NoQuorum};

/// One run on an agent, sent and with its first token out.
fn running() -> (Bed, base::RunId) {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    let out = bed.prompt(1);
    let run = starts(&out)[0].1.run;
    bed.frame("agent-1", token(run, 0, "a "));
    (bed, run)
}

#[test_case(&[0, 1, 2]; "in order")]
#[test_case(&[0, 0, 1, 1, 2]; "doubled")]
#[test_case(&[2, 1, 0, 1, 2]; "disordered and sent again")]
fn parts_reach_the_caller_once_and_in_order(order: &[u64]) {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    let run = starts(&bed.prompt(1))[0].1.run;
    let words = ["a ", "b ", "c "];
    let mut out = Vec::new();
    for seq in order {
        out.extend(bed.frame("agent-1", token(run, *seq, words[*seq as usize])));
    }
    out.extend(bed.frame("agent-1", end(run, &words)));
    let (text, whole) = answered(&out, 1);
    let places: Vec<_> = words.iter().map(|word| text.matches(word).count()).collect();
    assert_eq!((places, whole), (vec![1, 1, 1], Some(true)));
    assert!(text.find("a ") < text.find("b ") && text.find("b ") < text.find("c "));
    assert!(text.ends_with("data: [DONE]\n\n"));
}

#[test]
fn an_end_that_does_not_match_is_no_end() {
    let (mut bed, run) = running();
    let out = bed.frame(
        "agent-1",
        Frame::Output(wire::Output {
            run,
            seq: 1,
            part: wire::Part::End {
                code: Code::Ok,
                parts: 3,
                digest: wire::Digest(1),
                computed: 0,
                cached: 0,
            },
        }),
    );
    assert_eq!(answered(&out, 1).1, None, "it goes on instead: {out:?}");
}

#[test]
fn a_cut_run_goes_on_from_what_the_caller_has_and_on_its_version_only() {
    let (mut bed, run) = running();
    bed.meet("agent-2", 1, engine(), "v2");
    bed.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = bed.pass(Duration::from_secs(1));
    assert!(starts(&out).is_empty(), "v2 must not continue an answer of v1");
    let out = bed.meet("agent-3", 1, engine(), "v1");
    let (to, start) = starts(&out).remove(0);
    let wire::Work::Prompt(prompt) = &start.work else { panic!("a prompt") };
    assert_eq!((to.as_str(), prompt.resume_from, start.run.number), ("agent-3", 1, run.number));
    // A late word of the first agent changes nothing.
    let out = bed.frame("agent-1", token(run, 1, "late "));
    assert_eq!(answered(&out, 1).0, "");
}

#[test]
fn a_link_that_comes_back_resumes_at_the_next_part() {
    let (mut bed, run) = running();
    bed.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = bed.meet("agent-1", 1, engine(), "v1");
    let resumed = out.iter().any(|effect| {
        matches!(effect, node::Effect::Send { frame: Frame::Resume { run: of, seq: 1 }, .. }
            if *of == run)
    });
    assert!(resumed, "{out:?}");
}

#[test]
fn a_lost_run_is_never_said_not_to_have_run() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    assert_eq!(starts(&bed.prompt(1)).len(), 1);
    bed.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = bed.pass(Duration::from_secs(6));
    let (text, whole) = answered(&out, 1);
    assert_eq!(whole, Some(true));
    assert!(text.contains("\"unknown\"") && !text.contains("not-run"), "{text}");
}

#[test]
fn a_request_given_up_on_is_answered_at_once() {
    let mut bed = Bed::entry();
    let out = bed.prompt(1);
    let (text, whole) = answered(&out, 1);
    assert_eq!(whole, Some(true));
    assert!(text.contains("2002") && text.contains("not-run"), "{text}");
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    bed.meet("agent-2", 1, engine(), "v1");
    bed.beat("agent-1", "v1", true);
    for call in 1..=4 {
        assert_eq!(starts(&bed.prompt(call))[0].0, "agent-2");
    }
}

#[test]
fn a_claim_comes_before_the_dispatch() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, plain(), "");
    let out = bed.ask(1, call(), Some("key"));
    assert!(starts(&out).is_empty(), "nothing is sent before the claim is agreed");
    let (id, claim) = claims(&out).remove(0);
    assert_eq!(claim.agent, Name::new("agent-1"));
    let granted = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    let out = bed.frame(harness::KEEPER, Frame::Answer { id, answer: granted.clone() });
    assert_eq!(starts(&out).len(), 1);
    let out = bed.frame(harness::KEEPER, Frame::Answer { id, answer: granted });
    assert!(starts(&out).is_empty(), "a doubled answer sends nothing more");
}

#[test]
fn a_claim_that_is_not_agreed_is_not_run() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, plain(), "");
    let id = claims(&bed.ask(1, call(), Some("key")))[0].0;
    let out = bed.pass(Duration::from_secs(6));
    let (text, _) = answered(&out, 1);
    assert!(text.contains("2007") && text.contains("not-run"), "{text}");
    let granted = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    let out = bed.frame(harness::KEEPER, Frame::Answer { id, answer: granted });
    assert!(starts(&out).is_empty(), "it was said not to run, so it must not");
}

#[test]
fn a_held_claim_is_taken_over_only_on_the_agents_word() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, plain(), "");
    let (id, mut claim) = claims(&bed.ask(1, call(), Some("key"))).remove(0);
    claim.run.entry = base::Incarnation(3);
    let other = claim.run;
    let held = Answer::Reply(Reply::Claim(ClaimStatus::InProgress(claim)));
    bed.frame(harness::KEEPER, Frame::Answer { id, answer: held });
    let out = bed.pass(Duration::from_secs(2));
    let cancelled = out.iter().any(|effect| {
        matches!(effect, node::Effect::Send { frame: Frame::Cancel { run }, .. } if *run == other)
    });
    assert!(cancelled && claims(&out).is_empty(), "it asks and does not claim yet");
    let refused = Frame::Rejected { run: other, code: Code::Cancelled, retry_ms: 0 };
    let out = bed.frame("agent-1", refused);
    assert_eq!(claims(&out).len(), 1);
}

#[test]
fn a_settled_claim_gives_the_stored_answer() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, plain(), "");
    let id = claims(&bed.ask(1, call(), Some("key")))[0].0;
    let outcome =
        Outcome::Answer { status: 200, content_type: "text/plain".into(), body: (*b"yes").into() };
    let answer = Answer::Reply(Reply::Claim(ClaimStatus::Completed(outcome)));
    let out = bed.frame(harness::KEEPER, Frame::Answer { id, answer });
    assert_eq!(answered(&out, 1), ("yes".to_owned(), Some(true)));
}

#[test]
fn a_configuration_that_nobody_confirms_is_not_served_by() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    bed.now = bed.now + node::CONFIG_LEASE + Duration::from_millis(1);
    let (text, _) = answered(&bed.prompt(1), 1);
    assert!(text.contains("2006"), "{text}");
    // A peer that was confirmed a second ago is enough, one with a newer revision is not.
    let echo = bed.now;
    let confirmed = |revision| Heartbeat {
        revision,
        confirmed_age_ms: Some(1_000),
        echo,
        ..Heartbeat::default()
    };
    let newer = Revision { epoch: 1, index: 6 };
    bed.frame("agent-1", Frame::Heartbeat(confirmed(newer)));
    assert!(!bed.node.ready(bed.now));
    bed.frame("agent-1", Frame::Heartbeat(confirmed(V1)));
    assert!(bed.node.ready(bed.now));
}

#[test]
fn a_majority_of_keepers_without_a_leader_lets_answers_go_on() {
    let mut bed = Bed::entry();
    bed.now = bed.now + 2 * node::CONFIG_LEASE;
    let echo = bed.now;
    let lost = || Heartbeat {
        revision: V1,
        no_quorum: Some(NoQuorum { voters: 3, newest: V1 }),
        echo,
        ..Heartbeat::default()
    };
    bed.frame("keeper", Frame::Heartbeat(lost()));
    assert!(!bed.node.ready(bed.now), "one of three says nothing");
    bed.frame("keeper-2", Frame::Heartbeat(lost()));
    assert!(bed.node.ready(bed.now));
}

// Same class as incident CONFIG, RECOVER: an entry that missed the last change was confirmed by keepers whose logs held it.
#[test]
fn keepers_without_a_leader_confirm_only_what_their_logs_do_not_exceed() {
    let mut bed = Bed::entry();
    bed.now = bed.now + 2 * node::CONFIG_LEASE;
    let echo = bed.now;
    let mut beat = |keeper: &str, newest: Revision| {
        let no_quorum = Some(NoQuorum { voters: 3, newest });
        bed.frame(
            keeper,
            Frame::Heartbeat(Heartbeat { revision: V1, no_quorum, echo, ..Heartbeat::default() }),
        );
        bed.node.ready(bed.now)
    };
    assert!(!beat("keeper", V1));
    assert!(!beat("keeper-2", revision(V1.index + 1)), "its log holds a later command");
    assert!(beat("keeper-3", V1), "a majority holds none");
}

#[test]
fn a_lower_revision_is_never_applied() {
    let mut bed = Bed::entry();
    let old = Revision { epoch: 1, index: 4 };
    bed.frame(harness::KEEPER, Frame::Records { revision: old, records: Vec::new() });
    assert_eq!(bed.node.watch().view.revision, V1);
    assert!(bed.node.watch().view.workspace_of("k").is_some());
}

#[test]
fn a_hangup_cancels_an_idempotent_run_only() {
    let (mut bed, run) = running();
    let out = bed.step(Event::ClientDisconnected { call: 1 });
    let cancelled = |out: &node::Effects, run| {
        out.iter().any(|effect| {
            matches!(effect, node::Effect::Send { frame: Frame::Cancel { run: of }, .. }
                if *of == run)
        })
    };
    assert!(cancelled(&out, run));
    bed.meet("agent-2", 1, plain(), "");
    let (id, claim) = claims(&bed.ask(2, call(), Some("key"))).remove(0);
    let answer = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    bed.frame(harness::KEEPER, Frame::Answer { id, answer });
    let out = bed.step(Event::ClientDisconnected { call: 2 });
    assert!(!cancelled(&out, claim.run));
}

#[test]
fn a_workspace_reads_no_other_workspaces_models() {
    let mut bed = Bed::entry();
    bed.meet("agent-1", 1, engine(), "v1");
    let ask = node::ClientRequest {
        caller: node::Caller { key: "stranger".to_owned(), ..node::Caller::default() },
        kind: prompt(1),
        digest: [0; 16],
    };
    let out = bed.step(Event::Request { call: 1, request: Box::new(ask) });
    assert!(answered(&out, 1).0.contains("1005"));
}

#[test]
fn changes_come_from_one_keeper_and_from_another_when_that_falls_behind() {
    let mut bed = Bed::entry();
    let asked = |out: &node::Effects| -> Vec<String> {
        out.iter()
            .filter_map(|effect| match effect {
                node::Effect::Send { to, frame: Frame::Watch { .. } } => Some(to.to_string()),
                _ => None,
            })
            .collect()
    };
    let mut second = harness::hello("k2", 1, None);
    second.keeper = true;
    let out = bed.step(Event::Connected(second));
    assert!(asked(&out).is_empty(), "one source is enough");
    let newer = Revision { epoch: 1, index: 6 };
    let beat = || {
        Frame::Heartbeat(Heartbeat {
            revision: newer,
            confirmed_age_ms: Some(0),
            ..Heartbeat::default()
        })
    };
    assert!(asked(&bed.frame("k2", beat())).is_empty(), "the source is mostly faster");
    bed.now = bed.now + Duration::from_millis(400);
    assert_eq!(asked(&bed.frame("k2", beat())), ["k2"]);
    let out = bed.step(Event::Disconnected { peer: Name::new("k2") });
    assert_eq!(asked(&out), [harness::KEEPER], "the one that is left");
}

#[test]
fn a_refusal_leaves_one_line_and_an_id_too() {
    let mut bed = Bed::entry();
    let out = bed.prompt(1);
    let lines: Vec<_> = out
        .iter()
        .filter_map(|effect| match effect {
            node::Effect::Log { workspace, code, .. } => Some((workspace.to_string(), *code)),
            _ => None,
        })
        .collect();
    assert_eq!(lines, [("w".to_owned(), Code::NoServer)]);
    let id = out.iter().any(|effect| {
        matches!(effect, node::Effect::Begin { head, .. }
            if head.headers.iter().any(|(name, _)| *name == "x-request-id"))
    });
    assert!(id, "{out:?}");
}

/// Heartbeats that waited while the process was frozen say nothing of the present.
#[test]
fn a_heartbeat_from_before_a_freeze_confirms_nothing() {
    let mut bed = Bed::entry();
    let echo = bed.now;
    bed.now = bed.now + node::CONFIG_LEASE + Duration::from_millis(500);
    let old = Heartbeat { revision: V1, confirmed_age_ms: Some(0), echo, ..Heartbeat::default() };
    bed.frame(harness::KEEPER, Frame::Heartbeat(old));
    assert!(!bed.node.ready(bed.now));
    bed.frame(
        "keeper-2",
        Frame::Heartbeat(Heartbeat {
            no_quorum: Some(NoQuorum { voters: 1, newest: V1 }),
            echo,
            ..Heartbeat::default()
        }),
    );
    assert!(!bed.node.ready(bed.now));
}

fn revision(index: u64) -> Revision {
    Revision { epoch: 1, index }
}

/// A change that puts a service.
fn change(index: u64, name: &str) -> record::Change {
    let (kind, place, by) = (record::Kind::Service, revision(index), Name::new("ann"));
    let record = record::Record {
        kind,
        name: Name::new(name),
        version: 1,
        schema: record::schema::newest(kind),
        min_schema: 1,
        body: "{}".into(),
        created: place,
        revision: place,
        by: by.clone(),
        at_ms: 0,
    };
    record::Change {
        kind,
        name: Name::new(name),
        revision: place,
        record: Some(record),
        by,
        at_ms: 0,
    }
}

/// The revisions after which changes were asked for.
fn watched(effects: &[node::Effect]) -> Vec<u64> {
    let asked = effects.iter().filter_map(|effect| match effect {
        node::Effect::Send { frame: Frame::Watch { revision }, .. } => Some(revision.index),
        _ => None,
    });
    asked.collect()
}

// Guards against the cause of issue 17 in the configuration: the latest change stood for all before it, so that one
// whose frame was lost with its link was never in force.
#[test]
fn a_change_that_was_lost_with_its_link_is_asked_for() {
    let mut bed = Bed::entry();
    let known = bed.node.watch().view.revision.index;
    // The change after the known one is lost.
    let after = revision(known + 1);
    let later = Frame::Changes { after, changes: vec![change(known + 2, "later")] };
    assert_eq!(watched(&bed.frame(harness::KEEPER, later)), [known]);
    assert_eq!(bed.node.watch().view.revision.index, known, "what is known has no gap");
    let changes = vec![change(known + 1, "earlier"), change(known + 2, "later")];
    bed.frame(harness::KEEPER, Frame::Changes { after: revision(known), changes });
    let view = &bed.node.watch().view;
    assert!(view.service("earlier").is_some() && view.service("later").is_some());
}

// Guards against the same in the watch: each change from a source that lags made the time for which a process was
// behind start again, so that it never asked anybody else.
#[test]
fn who_is_behind_asks_although_its_source_tells_old_changes() {
    let mut bed = Bed::entry();
    let known = bed.node.watch().view.revision.index;
    let mut out = node::Effects::new();
    for step in 0..20 {
        bed.now = bed.now + Duration::from_millis(50);
        let beat =
            Heartbeat { revision: revision(known + 200), echo: bed.now, ..Heartbeat::default() };
        out.extend(bed.frame("entry-2", Frame::Heartbeat(beat)));
        let changes = vec![change(known + step + 1, "old")];
        out.extend(
            bed.frame(harness::KEEPER, Frame::Changes { after: revision(known + step), changes }),
        );
    }
    assert!(!watched(&out).is_empty(), "behind for a second");
}
