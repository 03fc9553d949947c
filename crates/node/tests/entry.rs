//! The entry: complete responses, correct rejections, at-most-once execution.

mod harness;

use std::time::Duration;

use base::{Code, Name, Revision};
use harness::{Harness, V1, call, claims, end, engine, plain, prompt, response, starts, token};
use node::Event;
use state::{ClaimStatus, Outcome, Reply};
use test_case::test_case;
use wire::{Answer, Frame, Heartbeat, NoQuorum};

/// One run sent to an agent, whose first token was delivered.
fn running() -> (Harness, base::RunId) {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    let out = harness.prompt(1);
    let run = starts(&out)[0].1.run;
    harness.frame("agent-1", token(run, 0, "a "));
    (harness, run)
}

#[test_case(&[0, 1, 2]; "in order")]
#[test_case(&[0, 0, 1, 1, 2]; "duplicated")]
#[test_case(&[2, 1, 0, 1, 2]; "out of order and resent")]
fn parts_reach_the_caller_once_and_in_order(order: &[u64]) {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    let run = starts(&harness.prompt(1))[0].1.run;
    let words = ["a ", "b ", "c "];
    let mut out = Vec::new();
    for seq in order {
        out.extend(harness.frame("agent-1", token(run, *seq, words[*seq as usize])));
    }
    out.extend(harness.frame("agent-1", end(run, &words)));
    let (text, complete) = response(&out, 1);
    let counts: Vec<_> = words.iter().map(|word| text.matches(word).count()).collect();
    assert_eq!((counts, complete), (vec![1, 1, 1], Some(true)));
    assert!(text.find("a ") < text.find("b ") && text.find("b ") < text.find("c "));
    assert!(text.ends_with("data: [DONE]\n\n"));
}

#[test]
fn a_mismatched_end_does_not_complete_the_response() {
    let (mut harness, run) = running();
    let out = harness.frame(
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
    assert_eq!(response(&out, 1).1, None, "the run continues instead: {out:?}");
}

#[test]
fn an_interrupted_run_resumes_after_the_delivered_part_on_its_version() {
    let (mut harness, run) = running();
    harness.connect("agent-2", 1, engine(), "v2");
    harness.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = harness.advance(Duration::from_secs(1));
    assert!(starts(&out).is_empty(), "v2 must not continue an answer of v1");
    let out = harness.connect("agent-3", 1, engine(), "v1");
    let (to, start) = starts(&out).remove(0);
    let wire::Work::Prompt(prompt) = &start.work else { panic!("a prompt") };
    assert_eq!((to.as_str(), prompt.resume_from, start.run.number), ("agent-3", 1, run.number));
    // A late token of the first agent has no effect.
    let out = harness.frame("agent-1", token(run, 1, "late "));
    assert_eq!(response(&out, 1).0, "");
}

#[test]
fn a_restored_connection_resumes_at_the_next_part() {
    let (mut harness, run) = running();
    harness.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = harness.connect("agent-1", 1, engine(), "v1");
    let resumed = out.iter().any(|effect| {
        matches!(effect, node::Effect::Send { frame: Frame::Resume { run: of, seq: 1 }, .. }
            if *of == run)
    });
    assert!(resumed, "{out:?}");
}

#[test]
fn a_lost_run_is_never_reported_as_not_run() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    assert_eq!(starts(&harness.prompt(1)).len(), 1);
    harness.step(Event::Disconnected { peer: Name::new("agent-1") });
    let out = harness.advance(Duration::from_secs(6));
    let (text, complete) = response(&out, 1);
    assert_eq!(complete, Some(true));
    assert!(text.contains("\"unknown\"") && !text.contains("not-run"), "{text}");
}

/// Disconnects an agent for longer than it may take to connect again, while the others send heartbeats.
fn lose(harness: &mut Harness, agent: &str) -> node::Effects {
    let mut out = harness.step(Event::Disconnected { peer: Name::new(agent) });
    for _ in 0..9 {
        for other in (1..=5).map(|other| format!("agent-{other}")).filter(|other| other != agent) {
            out.extend(harness.heartbeat(&other, "v1", false));
        }
        out.extend(harness.advance(Duration::from_millis(100)));
    }
    out
}

// Guards against a prompt that ends each server before its first token and is sent to all of them in turn.
#[test]
fn a_prompt_that_is_lost_twice_before_a_token_is_given_up() {
    let mut harness = Harness::entry();
    for agent in 1..=4 {
        harness.connect(&format!("agent-{agent}"), 1, engine(), "v1");
    }
    let mut out = harness.prompt(1);
    let mut lost = Vec::new();
    while let Some((agent, _)) = starts(&out).into_iter().next() {
        out = lose(&mut harness, &agent);
        lost.push(agent);
    }
    assert_eq!(lost.len(), 2, "{lost:?}");
    let (text, complete) = response(&out, 1);
    assert_eq!(complete, Some(true));
    assert!(text.contains("3002") && !text.contains("not-run"), "{text}");
}

// Guards against the same limit for prompts whose servers are lost after they have added tokens.
#[test]
fn a_prompt_continues_as_often_as_servers_add_tokens() {
    let mut harness = Harness::entry();
    for agent in 1..=5 {
        harness.connect(&format!("agent-{agent}"), 1, engine(), "v1");
    }
    let mut out = harness.prompt(1);
    for _ in 0..4 {
        let (agent, start) = starts(&out).remove(0);
        harness.frame(&agent, token(start.run, 0, "word "));
        out = lose(&mut harness, &agent);
    }
    assert_eq!(starts(&out).len(), 1, "a fifth server continues");
}

#[test]
fn a_request_without_a_server_is_rejected_immediately() {
    let mut harness = Harness::entry();
    let out = harness.prompt(1);
    let (text, complete) = response(&out, 1);
    assert_eq!(complete, Some(true));
    assert!(text.contains("2002") && text.contains("not-run"), "{text}");
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    harness.connect("agent-2", 1, engine(), "v1");
    harness.heartbeat("agent-1", "v1", true);
    for call in 1..=4 {
        assert_eq!(starts(&harness.prompt(call))[0].0, "agent-2");
    }
}

#[test]
fn a_claim_precedes_the_attempt() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, plain(), "");
    let out = harness.request(1, call(), Some("key"));
    assert!(starts(&out).is_empty(), "nothing is sent before the claim is granted");
    let (id, claim) = claims(&out).remove(0);
    assert_eq!(claim.agent, Name::new("agent-1"));
    let granted = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    let out = harness.frame(harness::KEEPER, Frame::Answer { id, answer: granted.clone() });
    assert_eq!(starts(&out).len(), 1);
    let out = harness.frame(harness::KEEPER, Frame::Answer { id, answer: granted });
    assert!(starts(&out).is_empty(), "a duplicate answer sends nothing more");
}

#[test]
fn a_request_without_a_committed_claim_is_not_run() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, plain(), "");
    let id = claims(&harness.request(1, call(), Some("key")))[0].0;
    let out = harness.advance(Duration::from_secs(6));
    let (text, _) = response(&out, 1);
    assert!(text.contains("2007") && text.contains("not-run"), "{text}");
    let granted = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    let out = harness.frame(harness::KEEPER, Frame::Answer { id, answer: granted });
    assert!(starts(&out).is_empty(), "it was reported as not run, so it must not run");
}

#[test]
fn a_held_claim_is_taken_over_only_after_the_agents_confirmation() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, plain(), "");
    let (id, mut claim) = claims(&harness.request(1, call(), Some("key"))).remove(0);
    claim.run.entry = base::Incarnation(3);
    let other = claim.run;
    let in_progress = Answer::Reply(Reply::Claim(ClaimStatus::InProgress(claim)));
    harness.frame(harness::KEEPER, Frame::Answer { id, answer: in_progress });
    let out = harness.advance(Duration::from_secs(2));
    let cancelled = out.iter().any(|effect| {
        matches!(effect, node::Effect::Send { frame: Frame::Cancel { run }, .. } if *run == other)
    });
    assert!(cancelled && claims(&out).is_empty(), "it asks the agent and does not claim yet");
    let rejected = Frame::Rejected { run: other, code: Code::Cancelled, retry_ms: 0 };
    let out = harness.frame("agent-1", rejected);
    assert_eq!(claims(&out).len(), 1);
}

#[test]
fn a_completed_claim_returns_the_stored_response() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, plain(), "");
    let id = claims(&harness.request(1, call(), Some("key")))[0].0;
    let outcome =
        Outcome::Answer { status: 200, content_type: "text/plain".into(), body: (*b"yes").into() };
    let answer = Answer::Reply(Reply::Claim(ClaimStatus::Completed(outcome)));
    let out = harness.frame(harness::KEEPER, Frame::Answer { id, answer });
    assert_eq!(response(&out, 1), ("yes".to_owned(), Some(true)));
}

#[test]
fn an_unconfirmed_configuration_is_not_used() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    harness.now = harness.now + node::CONFIG_LEASE + Duration::from_millis(1);
    let (text, _) = response(&harness.prompt(1), 1);
    assert!(text.contains("2006"), "{text}");
    // A peer confirmed a second ago is enough; one with a newer revision is not.
    let echo = harness.now;
    let confirmed = |revision| Heartbeat {
        revision,
        confirmed_age_ms: Some(1_000),
        echo,
        ..Heartbeat::default()
    };
    let newer = Revision { epoch: 1, index: 6 };
    harness.frame("agent-1", Frame::Heartbeat(confirmed(newer)));
    assert!(!harness.node.ready(harness.now));
    harness.frame("agent-1", Frame::Heartbeat(confirmed(V1)));
    assert!(harness.node.ready(harness.now));
}

#[test]
fn a_majority_of_keepers_without_a_leader_lets_answers_go_on() {
    let mut harness = Harness::entry();
    harness.now = harness.now + 2 * node::CONFIG_LEASE;
    let echo = harness.now;
    let leaderless = || Heartbeat {
        revision: V1,
        no_quorum: Some(NoQuorum { voters: 3, newest: V1 }),
        echo,
        ..Heartbeat::default()
    };
    harness.frame("keeper", Frame::Heartbeat(leaderless()));
    assert!(!harness.node.ready(harness.now), "one of three proves nothing");
    harness.frame("keeper-2", Frame::Heartbeat(leaderless()));
    assert!(harness.node.ready(harness.now));
}

// Same class as incident CONFIG, RECOVER: an entry that lacked the last change was confirmed by keepers whose logs
// contained it.
#[test]
fn keepers_without_a_leader_confirm_only_what_their_logs_do_not_exceed() {
    let mut harness = Harness::entry();
    harness.now = harness.now + 2 * node::CONFIG_LEASE;
    let echo = harness.now;
    let mut heartbeat = |keeper: &str, newest: Revision| {
        let no_quorum = Some(NoQuorum { voters: 3, newest });
        harness.frame(
            keeper,
            Frame::Heartbeat(Heartbeat { revision: V1, no_quorum, echo, ..Heartbeat::default() }),
        );
        harness.node.ready(harness.now)
    };
    assert!(!heartbeat("keeper", V1));
    assert!(!heartbeat("keeper-2", revision(V1.index + 1)), "its log contains a later command");
    assert!(heartbeat("keeper-3", V1), "a majority contains none");
}

#[test]
fn a_lower_revision_is_never_applied() {
    let mut harness = Harness::entry();
    let stale = Revision { epoch: 1, index: 4 };
    harness.frame(harness::KEEPER, Frame::Records { revision: stale, records: Vec::new() });
    assert_eq!(harness.node.watch().view.revision, V1);
    assert!(harness.node.watch().view.workspace_of("k").is_some());
}

#[test]
fn a_client_disconnect_cancels_only_an_idempotent_run() {
    let (mut harness, run) = running();
    let out = harness.step(Event::ClientDisconnected { call: 1 });
    let cancelled = |out: &node::Effects, run| {
        out.iter().any(|effect| {
            matches!(effect, node::Effect::Send { frame: Frame::Cancel { run: of }, .. }
                if *of == run)
        })
    };
    assert!(cancelled(&out, run));
    harness.connect("agent-2", 1, plain(), "");
    let (id, claim) = claims(&harness.request(2, call(), Some("key"))).remove(0);
    let answer = Answer::Reply(Reply::Claim(ClaimStatus::Granted));
    harness.frame(harness::KEEPER, Frame::Answer { id, answer });
    let out = harness.step(Event::ClientDisconnected { call: 2 });
    assert!(!cancelled(&out, claim.run));
}

#[test]
fn a_workspace_reads_no_other_workspaces_models() {
    let mut harness = Harness::entry();
    harness.connect("agent-1", 1, engine(), "v1");
    let request = node::ClientRequest {
        caller: node::Caller { key: "stranger".to_owned(), ..node::Caller::default() },
        kind: prompt(1),
        digest: [0; 16],
    };
    let out = harness.step(Event::Request { call: 1, request: Box::new(request) });
    assert!(response(&out, 1).0.contains("1005"));
}

#[test]
fn changes_come_from_one_keeper_and_from_another_when_that_falls_behind() {
    let mut harness = Harness::entry();
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
    let out = harness.step(Event::Connected(second));
    assert!(asked(&out).is_empty(), "one source is enough");
    let newer = Revision { epoch: 1, index: 6 };
    let heartbeat = || {
        Frame::Heartbeat(Heartbeat {
            revision: newer,
            confirmed_age_ms: Some(0),
            ..Heartbeat::default()
        })
    };
    assert!(
        asked(&harness.frame("k2", heartbeat())).is_empty(),
        "the source usually sends the changes sooner"
    );
    harness.now = harness.now + Duration::from_millis(400);
    assert_eq!(asked(&harness.frame("k2", heartbeat())), ["k2"]);
    let out = harness.step(Event::Disconnected { peer: Name::new("k2") });
    assert_eq!(asked(&out), [harness::KEEPER], "the remaining keeper");
}

#[test]
fn a_rejection_has_one_log_line_and_a_request_id() {
    let mut harness = Harness::entry();
    let out = harness.prompt(1);
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

/// Heartbeats received after a freeze, but sent before it, don't confirm the configuration.
#[test]
fn a_heartbeat_from_before_a_freeze_confirms_nothing() {
    let mut harness = Harness::entry();
    let echo = harness.now;
    harness.now = harness.now + node::CONFIG_LEASE + Duration::from_millis(500);
    let stale = Heartbeat { revision: V1, confirmed_age_ms: Some(0), echo, ..Heartbeat::default() };
    harness.frame(harness::KEEPER, Frame::Heartbeat(stale));
    assert!(!harness.node.ready(harness.now));
    harness.frame(
        "keeper-2",
        Frame::Heartbeat(Heartbeat {
            no_quorum: Some(NoQuorum { voters: 1, newest: V1 }),
            echo,
            ..Heartbeat::default()
        }),
    );
    assert!(!harness.node.ready(harness.now));
}

fn revision(index: u64) -> Revision {
    Revision { epoch: 1, index }
}

/// A change that puts a service record.
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

/// The revisions after which changes were requested.
fn watched(effects: &[node::Effect]) -> Vec<u64> {
    let asked = effects.iter().filter_map(|effect| match effect {
        node::Effect::Send { frame: Frame::Watch { revision }, .. } => Some(revision.index),
        _ => None,
    });
    asked.collect()
}

// Same cause as issue 17, in the configuration: receiving a change was taken as having received all earlier ones, so
// that a change whose frame was lost with its connection never came into force.
#[test]
fn a_change_that_was_lost_with_its_link_is_asked_for() {
    let mut harness = Harness::entry();
    let current = harness.node.watch().view.revision.index;
    // The change after the local revision is lost.
    let after = revision(current + 1);
    let later = Frame::Changes { after, changes: vec![change(current + 2, "later")] };
    assert_eq!(watched(&harness.frame(harness::KEEPER, later)), [current]);
    assert_eq!(harness.node.watch().view.revision.index, current, "the configuration has no gap");
    let changes = vec![change(current + 1, "earlier"), change(current + 2, "later")];
    harness.frame(harness::KEEPER, Frame::Changes { after: revision(current), changes });
    let view = &harness.node.watch().view;
    assert!(view.service("earlier").is_some() && view.service("later").is_some());
}

// Same cause, in the watch: each change from a source that lags restarted the time for which the process had been
// behind, so that it never requested changes from another peer.
#[test]
fn who_is_behind_asks_although_its_source_tells_old_changes() {
    let mut harness = Harness::entry();
    let current = harness.node.watch().view.revision.index;
    let mut out = node::Effects::new();
    for step in 0..20 {
        harness.now = harness.now + Duration::from_millis(50);
        let heartbeat = Heartbeat {
            revision: revision(current + 200),
            echo: harness.now,
            ..Heartbeat::default()
        };
        out.extend(harness.frame("entry-2", Frame::Heartbeat(heartbeat)));
        let changes = vec![change(current + step + 1, "old")];
        out.extend(
            harness.frame(
                harness::KEEPER,
                Frame::Changes { after: revision(current + step), changes },
            ),
        );
    }
    assert!(!watched(&out).is_empty(), "behind for a second without a request");
}
