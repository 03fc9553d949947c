//! Replays seeded traces with faults: all invariants hold, and a replay yields the same figures every time.

use base::Time;
use node::Policy;
use replay::{Fault, Line, Outcome, Shape, Trace, generate};
use test_case::test_case;

const TRACE_SECONDS: u64 = 24;

fn small(shape: Shape, seed: u64, load: u64) -> Trace {
    let mut trace = generate(shape, seed, TRACE_SECONDS, load);
    trace.deployment.replicas = 6;
    trace.deployment.entries = 2;
    trace
}

fn with_faults(mut trace: Trace, faults: &[(u64, Fault)]) -> Trace {
    for (millis, fault) in faults {
        let at = Time::from_millis(*millis);
        let index = trace.lines.partition_point(|(time, _)| *time <= at);
        trace.lines.insert(index, (at, Line::Fault(*fault)));
    }
    trace
}

fn assert_no_violations(outcome: &Outcome) {
    assert!(
        outcome.violations.is_empty(),
        "{:?}",
        &outcome.violations[..outcome.violations.len().min(5)]
    );
}

use Fault::{
    FillStore, KillAgent, KillEntry, KillStore, LimitServer, ReviveAgent, SlowLink, SlowServer,
    StopAgent, Swap, Taint,
};

#[test_case(&[(8_000, KillAgent(1)), (15_000, ReviveAgent(1))]; "a server dies and comes back")]
#[test_case(&[(8_000, KillAgent(1)), (8_000, KillAgent(2))]; "two servers die together")]
#[test_case(&[(8_000, KillStore(0))]; "a store dies")]
#[test_case(&[(8_000, FillStore(0)), (8_000, FillStore(1))]; "the stores are full")]
#[test_case(&[(8_000, SlowLink(0, 50))]; "a link slows down")]
#[test_case(&[(8_000, SlowServer(0, 10))]; "a server slows down")]
#[test_case(&[(8_000, KillEntry(0))]; "an entry dies")]
#[test_case(&[(8_000, Swap(2))]; "a weight version is swapped")]
#[test_case(&[(8_000, StopAgent(3))]; "a server leaves")]
#[test_case(&[(8_000, Swap(2)), (8_400, KillStore(1))]; "swap and store death")]
#[test_case(&[(8_000, Swap(2)), (8_300, KillAgent(0)), (9_000, KillAgent(4))]; "swap and server deaths")]
#[test_case(&[(8_000, Swap(2)), (9_000, Swap(3))]; "a swap overtakes another")]
#[test_case(&[(8_000, KillEntry(0)), (8_100, KillAgent(0))]; "entry and server die")]
#[test_case(&[(8_000, StopAgent(1)), (8_050, KillAgent(1))]; "a server dies while it leaves")]
#[test_case(&[(8_000, KillStore(0)), (8_000, SlowLink(1, 50))]; "store death and slow link")]
// Guards against incident LIMIT: an agent sent its server every request, whatever rate limit it advertised.
#[test_case(&[(8_000, LimitServer(0, Some(600))), (18_000, LimitServer(0, None))]; "a server is rate-limited")]
#[test_case(&[(8_000, LimitServer(0, Some(400))), (10_000, Swap(2))]; "swap at a rate-limited server")]
#[test_case(&[(8_000, LimitServer(0, Some(0))), (8_000, LimitServer(1, Some(3_000))), (9_000, KillAgent(2))]; "two are rate-limited and another dies")]
fn no_invariant_is_violated(faults: &[(u64, Fault)]) {
    for (shape, seed) in [(Shape::SiamBaan, 3), (Shape::Shatla, 4)] {
        let load = if shape == Shape::SiamBaan { 30 } else { 80 };
        let outcome = replay::run(&with_faults(small(shape, seed, load), faults), Policy::Estimate);
        assert_no_violations(&outcome);
        assert!(outcome.completed * 100 >= outcome.requests * 95, "{outcome}");
    }
}

// Guards against a prompt that crashes each replica before its first token and is sent to all of them.
#[test]
fn a_document_that_crashes_replicas_does_not_end_all_of_them() {
    let mut trace = small(Shape::Shatla, 4, 80);
    let document = 9_000_000;
    for second in [8, 11, 14, 17] {
        let at = Time::from_millis(second * 1_000);
        let index = trace.lines.partition_point(|(time, _)| *time <= at);
        let ask = trace.lines.iter().find_map(|(_, line)| match line {
            Line::Ask(ask) => Some(ask.clone()),
            Line::Call { .. } | Line::Fault(_) => None,
        });
        let ask = replay::Ask { document, ..ask.expect("a prompt") };
        trace.lines.insert(index, (at, Line::Ask(ask)));
    }
    let outcome = replay::run(&with_faults(trace, &[(7_000, Taint(document))]), Policy::Estimate);
    assert_no_violations(&outcome);
    assert!(outcome.completed * 100 >= outcome.requests * 95, "{outcome}");
}

#[test]
fn a_replay_gives_the_same_figures_each_time() {
    let faults = [(8_000, KillAgent(1)), (9_000, Swap(2))];
    let trace = with_faults(small(Shape::Shatla, 9, 100), &faults);
    let text = trace.text();
    let again = Trace::parse(&text).expect("a generated trace parses");
    let one = replay::run(&again, Policy::Estimate).json().to_string();
    let two = replay::run(&again, Policy::Estimate).json().to_string();
    assert_eq!(one, two);
}

/// Within 10 s of losing stores or servers, the time to first token is back near that of a replay without the loss.
#[test_case(&[(10_000, KillStore(0))]; "one store of two")]
#[test_case(&[(10_000, KillAgent(0)), (10_000, KillAgent(1))]; "a third of the servers")]
fn a_loss_is_soon_made_good(faults: &[(u64, Fault)]) {
    const MAX_RATIO: f64 = 1.5;
    let mut trace = generate(Shape::Shatla, 5, 40, 60);
    trace.deployment.replicas = 6;
    let steady = replay::run(&trace, Policy::Estimate);
    let outcome = replay::run(&with_faults(trace, faults), Policy::Estimate);
    assert_no_violations(&outcome);
    let late = (20.0, 40.0);
    let before = steady.first_ms_of(0.95, late, |_| true).expect("requests");
    let after = outcome.first_ms_of(0.95, late, |_| true).expect("requests");
    assert!(after <= MAX_RATIO * before, "{before} ms without the loss, {after} ms with it");
}

#[test]
fn overload_keeps_nine_tenths_of_the_peak() {
    let goodput = |load| {
        let mut trace = generate(Shape::Shatla, 6, 40, load);
        trace.deployment.replicas = 3;
        trace.deployment.entries = 2;
        let outcome = replay::run(&trace, Policy::Estimate);
        assert_no_violations(&outcome);
        outcome.goodput()
    };
    let loads = [100, 200, 300, 400];
    let rates: Vec<f64> = loads.into_iter().map(goodput).collect();
    let peak = rates.iter().copied().fold(0.0, f64::max);
    let index = rates.iter().position(|rate| *rate >= peak).unwrap_or(0);
    let overloaded = goodput(2 * loads[index]);
    assert!(
        overloaded >= 0.9 * peak,
        "goodput {rates:?} at {loads:?} % load, {overloaded} at twice the peak"
    );
}

#[test]
fn a_flood_leaves_others_their_time_to_first_token() {
    const MAX_RATIO: f64 = 1.3;
    let mut quiet = generate(Shape::Shatla, 7, 30, 40);
    quiet.deployment.replicas = 6;
    quiet.deployment.concurrency = 24;
    let alone = replay::run(&quiet, Policy::Estimate);
    let mut flooded = quiet.clone();
    let flood = generate(Shape::SiamBaan, 8, 30, 100);
    for (at, line) in flood.lines {
        let Line::Ask(ask) = line else { continue };
        let document = ask.document + 1_000_000;
        let ask = replay::Ask { workspace: "flood".to_owned(), document, ..ask };
        let index = flooded.lines.partition_point(|(time, _)| *time <= at);
        flooded.lines.insert(index, (at, Line::Ask(ask)));
    }
    let outcome = replay::run(&flooded, Policy::Estimate);
    assert_no_violations(&outcome);
    let span = (5.0, 30.0);
    let others = |workspace: &str| workspace != "flood";
    let before = alone.first_ms_of(0.95, span, others).expect("requests");
    let after = outcome.first_ms_of(0.95, span, others).expect("requests");
    assert!(after <= MAX_RATIO * before, "{before} ms without the flood, {after} ms with it");
}
