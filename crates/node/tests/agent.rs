//! The agent: permanent rejections, buffered response parts, fenced orders.

mod harness;

use std::time::Duration;

use base::{Code, Incarnation, Name, Revision};
use harness::{Harness, done, engine, hello, run, served, start};
use node::{Effect, Event, ServerEvent};
use wire::{Frame, Load, Part};

fn agent() -> Harness {
    let mut harness = Harness::agent(engine());
    harness.step(Event::Connected(hello("entry-1", 7, None)));
    harness
}

fn rejected(out: &node::Effects) -> Option<Code> {
    out.iter().find_map(|effect| match effect {
        Effect::Send { frame: Frame::Rejected { code, .. }, .. } => Some(*code),
        _ => None,
    })
}

/// Up to which part the response to a run may be read on.
fn acked(out: &node::Effects) -> Option<u64> {
    out.iter().find_map(|effect| match effect {
        Effect::Acked { seq, .. } => Some(*seq),
        _ => None,
    })
}

fn orders(out: &node::Effects) -> Vec<String> {
    out.iter()
        .filter_map(|effect| match effect {
            Effect::Order { load, .. } => Some(load.to_string()),
            _ => None,
        })
        .collect()
}

#[test]
fn a_run_cancelled_before_its_start_never_starts() {
    let mut harness = agent();
    let out = harness.frame("entry-2", Frame::Cancel { run: run(1) });
    assert_eq!(rejected(&out), Some(Code::Cancelled));
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v1"))));
    assert!(served(&out).is_empty(), "a late start");
    assert_eq!(rejected(&out), Some(Code::Cancelled));
}

#[test]
fn a_start_for_another_incarnation_is_rejected() {
    let mut harness = agent();
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 8, "v1"))));
    assert!(served(&out).is_empty() && rejected(&out).is_some());
}

#[test]
fn a_start_for_another_weight_version_is_rejected() {
    let mut harness = agent();
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v2"))));
    assert!(served(&out).is_empty() && rejected(&out).is_some());
}

#[test]
fn a_duplicate_start_runs_once() {
    let mut harness = agent();
    let frame = Frame::Start(Box::new(start(run(1), 9, "v1")));
    assert_eq!(served(&harness.frame("entry-1", frame.clone())).len(), 1);
    assert!(served(&harness.frame("entry-1", frame)).is_empty());
}

#[test]
fn parts_are_kept_until_they_are_acknowledged() {
    let mut harness = agent();
    harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v1"))));
    for text in ["a", "b", "c"] {
        let part = Part::Tokens { text: text.to_owned(), count: 1 };
        harness.step(Event::Server(ServerEvent::Part { run: run(1), part }));
    }
    harness.step(done(run(1)));
    harness.frame("entry-1", Frame::Ack { run: run(1), seq: 2 });
    let out = harness.frame("entry-1", Frame::Resume { run: run(1), seq: 2 });
    let seqs: Vec<u64> = out
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send { frame: Frame::Output(output), .. } => Some(output.seq),
            _ => None,
        })
        .collect();
    assert_eq!(seqs, [2, 3], "the unacknowledged part and the end");
    harness.frame("entry-1", Frame::Ack { run: run(1), seq: u64::MAX });
    let out = harness.frame("entry-1", Frame::Resume { run: run(1), seq: 0 });
    assert!(out.iter().any(|e| matches!(e, Effect::Send { frame: Frame::UnknownRun { .. }, .. })));
}

// Guards against a response that is never read on, since the acknowledgement of its parts was lost with a link.
#[test]
fn a_resumption_acknowledges_the_parts_before_it() {
    let mut harness = agent();
    harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v1"))));
    for _ in 0..3 {
        let part = Part::Tokens { text: "a".to_owned(), count: 1 };
        harness.step(Event::Server(ServerEvent::Part { run: run(1), part }));
    }
    let out = harness.frame("entry-1", Frame::Ack { run: run(1), seq: 1 });
    assert_eq!(acked(&out), Some(1));
    let out = harness.frame("entry-1", Frame::Resume { run: run(1), seq: 3 });
    assert_eq!(acked(&out), Some(3));
    assert!(!out.iter().any(|e| matches!(e, Effect::Send { frame: Frame::Output(_), .. })));
}

// Guards against a claim that is never completed: the response of a run that must execute at most once is read to its
// end also without an entry that acknowledges its parts.
#[test]
fn a_claimed_run_without_an_entry_is_read_to_its_end() {
    for idempotent in [false, true] {
        let mut harness = agent();
        let start = wire::Start { idempotent, left_ms: 60_000, ..start(run(1), 9, "v1") };
        harness.frame("entry-1", Frame::Start(Box::new(start)));
        harness.step(Event::Disconnected { peer: Name::new("entry-1") });
        let out = harness.advance(Duration::from_secs(11));
        assert_eq!(acked(&out), (!idempotent).then_some(u64::MAX));
        let aborted = out.iter().any(|effect| matches!(effect, Effect::Abort { .. }));
        assert_eq!(aborted, idempotent);
    }
}

#[test]
fn a_stopping_agent_rejects_starts_and_exits_when_its_runs_have_ended() {
    let mut harness = agent();
    harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v1"))));
    let out = harness.step(Event::Stop);
    assert!(!out.iter().any(|effect| matches!(effect, Effect::Exit { .. })));
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(2), 9, "v1"))));
    assert_eq!(rejected(&out), Some(Code::Draining));
    harness.step(done(run(1)));
    harness.frame("entry-1", Frame::Ack { run: run(1), seq: u64::MAX });
    let out = harness.step(Event::Tick);
    assert!(out.iter().any(|effect| matches!(effect, Effect::Exit { cut: 0 })), "{out:?}");
}

fn order(index: u64, to: u64, load: &str) -> Frame {
    Frame::Order {
        token: Revision { epoch: 1, index },
        incarnation: Incarnation(to),
        version: Name::new(load),
    }
}

#[test]
fn an_order_with_an_older_token_or_for_another_incarnation_is_ignored() {
    let mut harness = agent();
    assert_eq!(orders(&harness.frame("keeper", order(20, 9, "v3"))), ["v3"]);
    assert!(orders(&harness.frame("keeper", order(19, 9, "v2"))).is_empty(), "an older token");
    assert!(
        orders(&harness.frame("keeper", order(30, 8, "v4"))).is_empty(),
        "an earlier incarnation"
    );
    let epoch = Frame::Order {
        token: Revision { epoch: 2, index: 1 },
        incarnation: Incarnation(9),
        version: Name::new("v5"),
    };
    assert_eq!(orders(&harness.frame("keeper", epoch)), ["v5"], "a restore raises the epoch");
}

#[test]
fn a_load_waits_for_the_runs_of_the_old_version() {
    let mut harness = agent();
    harness.frame("entry-1", Frame::Start(Box::new(start(run(1), 9, "v1"))));
    assert!(orders(&harness.frame("keeper", order(20, 9, "v2"))).is_empty());
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(2), 9, "v1"))));
    assert_eq!(rejected(&out), Some(Code::Draining));
    harness.step(done(run(1)));
    let out = harness.advance(Duration::from_millis(20));
    assert_eq!(orders(&out), ["v2"]);
    let load = Load { version: Name::new("v2"), ..Load::default() };
    harness.step(Event::Server(ServerEvent::Load(load)));
    let out = harness.frame("entry-1", Frame::Start(Box::new(start(run(3), 9, "v2"))));
    assert_eq!(served(&out).len(), 1);
}

#[test]
fn a_run_waits_for_its_blocks_and_goes_on_without_them() {
    let mut harness = Harness::agent(engine());
    harness.step(Event::Connected(hello("entry-1", 7, None)));
    let mut with_fetch = start(run(1), 9, "v1");
    // This store is not configured, so there is nothing to wait for.
    with_fetch.fetch = vec![wire::Piece { key: [1; 16], store: Name::new("unknown") }];
    let out = harness.frame("entry-1", Frame::Start(Box::new(with_fetch)));
    assert_eq!(served(&out).len(), 1);
}

#[test]
fn an_agent_rejects_runs_beyond_the_expected_queue() {
    let mut harness = agent();
    let mut long = start(run(1), 9, "v1");
    long.prefill = 10_000;
    assert_eq!(served(&harness.frame("entry-1", Frame::Start(Box::new(long.clone())))).len(), 1);
    long.run = run(2);
    let out = harness.frame("entry-1", Frame::Start(Box::new(long.clone())));
    assert_eq!(rejected(&out), Some(Code::Overloaded));
    long.run = run(3);
    long.queued_tokens = u64::MAX;
    assert_eq!(served(&harness.frame("entry-1", Frame::Start(Box::new(long)))).len(), 1);
}
