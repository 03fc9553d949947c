//! The command line on forwarded requests, against a real hosted process.

#[path = "../../../platform/tests/harness/mod.rs"]
mod harness;

use std::process::Command;

use harness::{Harness, until};

/// Entry point of the child processes that the other tests start; not a test itself.
#[test]
fn process() {
    harness::run_if_process();
}

fn tamarack(harness: &Harness, args: &[&str]) -> (Option<i32>, String) {
    let at = harness.process.own.to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_tamarack"))
        .args(["--at", &at])
        .args(args)
        .output()
        .expect("the binary runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

/// Whether a line of a text contains all these words.
fn line(text: &str, words: &[&str]) -> bool {
    text.lines()
        .any(|line| words.iter().all(|word| line.split_whitespace().any(|one| one == *word)))
}

#[test]
fn servers_without_an_agent_are_shown_with_why_they_take_no_work() {
    let harness = Harness::start(2);
    let (code, text) = tamarack(&harness, &["servers"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("servers without an agent"), "{text}");
    let address = harness.servers[0].addr.to_string();
    assert!(line(&text, &["i-0", "svc", &address, "z1", "true", "8"]), "{text}");
    harness
        .list
        .show(vec![harness.servers[0].entry("draining"), harness.servers[1].entry("ready")]);
    until("the leaving server", || {
        line(&tamarack(&harness, &["servers"]).1, &["i-0", "false", "leaving"]).then_some(())
    });
    let (code, text) = tamarack(&harness, &["--json", "servers"]);
    assert!(code == Some(0) && text.contains(r#""why_not":"leaving""#), "{text}");
}

#[test]
fn a_forwarded_request_is_explained_attempt_by_attempt() {
    let harness = Harness::start(2);
    assert_eq!(harness.process.request("GET", "/plain/silent", "r1", "").status, 502);
    let (code, text) = tamarack(&harness, &["explain", "r1"]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("request r1 on route plain to service svc"), "{text}");
    assert!(
        text.contains("attempt 1 went to i-") && text.contains("attempt 2 went to i-"),
        "{text}"
    );
    assert!(text.contains("status=502"), "{text}");
    let second = text.split("attempt 2").nth(1).expect("the second attempt");
    assert!(line(second, &["false"]) && line(second, &["true"]), "one server had failed: {text}");
    assert_eq!(tamarack(&harness, &["explain", "nobody"]).0, Some(1));
}
