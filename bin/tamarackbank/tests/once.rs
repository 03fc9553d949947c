//! Requests that must run at most once, while entries, agents and callers fail.

mod harness;

use std::io::{Read, Write};
use std::net::TcpListener;

use harness::{
    agent_of, client, completion, fake, folder, get, keepers, leader, post, put, start, until,
};
use serde_json::{Value, json};

const KEY: (&str, &str) = ("idempotency-key", "renewal-7");

fn count(plain: &str) -> u64 {
    get(plain, "/count")["count"].as_u64().unwrap_or(u64::MAX)
}

/// Sends a request, and retries while the response says that it has not run, after which a retry is always safe.
/// A conflict (409) is returned.
fn send_until_run(
    callers: &str,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> (u16, String) {
    let mut last = (0, String::new());
    until("a request that has run", || {
        last = post(callers, path, body, headers);
        let value: Value = serde_json::from_str(&last.1).unwrap_or_default();
        value["error"]["fate"] != "not-run" || last.0 == 409
    });
    last
}

#[test]
fn a_resend_through_another_entry_gets_the_stored_answer() {
    let folder = folder("stored");
    let keepers = keepers(&folder, 11);
    let (_plain, addr) = fake("plain", &[]);
    let _agent = agent_of(&folder, 11, "agent-1", &addr, "kind = plain\nserves = probes");
    let first = send_until_run(&keepers[0].callers, "/svc/probes/x", "a", &[KEY]);
    assert_eq!(first.0, 200, "{}", first.1);
    let second = send_until_run(&keepers[1].callers, "/svc/probes/x", "a", &[KEY]);
    assert_eq!(first, second);
    assert_eq!(count(&addr), 1);
    let other = send_until_run(&keepers[2].callers, "/svc/probes/x", "b", &[KEY]);
    assert_eq!(other.0, 409, "the same key with another body: {}", other.1);
}

#[test]
fn resends_while_it_runs_join_the_one_run() {
    let folder = folder("join");
    let keepers = keepers(&folder, 12);
    let (_plain, addr) = fake("plain", &["--step-us", "700000"]);
    let _agent = agent_of(&folder, 12, "agent-1", &addr, "kind = plain\nserves = probes");
    send_until_run(&keepers[0].callers, "/svc/probes/x", "warm", &[("idempotency-key", "warm")]);
    let senders: Vec<_> = (0..6)
        .map(|sender| {
            let callers = keepers[sender % 3].callers.clone();
            std::thread::spawn(move || send_until_run(&callers, "/svc/probes/x", "a", &[KEY]))
        })
        .collect();
    let answers: Vec<_> = senders.into_iter().map(|s| s.join().expect("ends")).collect();
    assert!(answers.iter().all(|answer| *answer == answers[0] && answer.0 == 200), "{answers:?}");
    assert_eq!(count(&addr), 2, "the warm-up call and one run");
}

#[test]
fn the_death_of_the_entry_does_not_double_the_run() {
    let folder = folder("entry-dies");
    let mut keepers = keepers(&folder, 13);
    let (_plain, addr) = fake("plain", &["--step-us", "1500000"]);
    let _agent = agent_of(&folder, 13, "agent-1", &addr, "kind = plain\nserves = probes");
    send_until_run(&keepers[0].callers, "/svc/probes/x", "warm", &[("idempotency-key", "warm")]);
    let first = (leader(&keepers) + 1) % 3;
    let callers = keepers[first].callers.clone();
    let lost = std::thread::spawn(move || {
        let url = format!("http://{callers}/svc/probes/x");
        let request = client().post(url).header("authorization", "Bearer demo");
        request.header(KEY.0, KEY.1).send("a").map(|response| response.status().as_u16())
    });
    until("it runs", || count(&addr) == 2);
    keepers[first].process.kill();
    assert!(lost.join().expect("ends").is_err(), "the first caller's connection is closed");
    let again = send_until_run(&keepers[(first + 1) % 3].callers, "/svc/probes/x", "a", &[KEY]);
    assert_eq!(again.0, 200, "{}", again.1);
    assert!(again.1.contains("\"body\":\"a\""), "{}", again.1);
    assert_eq!(count(&addr), 2);
}

#[test]
fn the_death_of_the_agent_yields_unknown_and_no_second_run() {
    let folder = folder("agent-dies-once");
    let keepers = keepers(&folder, 14);
    let (_plain, addr) = fake("plain", &["--step-us", "1500000"]);
    let mut agent = agent_of(&folder, 14, "agent-1", &addr, "kind = plain\nserves = probes");
    send_until_run(&keepers[0].callers, "/svc/probes/x", "warm", &[("idempotency-key", "warm")]);
    let callers = keepers[0].callers.clone();
    let caller = std::thread::spawn(move || post(&callers, "/svc/probes/x", "a", &[KEY]));
    until("it runs", || count(&addr) == 2);
    agent.process.kill();
    let (status, body) = caller.join().expect("ends");
    assert_eq!(status, 502, "{body}");
    assert!(body.contains("3001") && body.contains("unknown"), "{body}");
    let _agent = start(agent.settings.clone());
    let again = send_until_run(&keepers[1].callers, "/svc/probes/x", "a", &[KEY]);
    assert!(again.1.contains("3001"), "{}", again.1);
    assert_eq!(count(&addr), 2);
}

#[test]
fn a_record_makes_a_call_run_once_without_any_header() {
    let folder = folder("by-record");
    let keepers = keepers(&folder, 15);
    let once = json!({ "once": [{ "method": "POST", "prefix": "/schedules" }] });
    put(&keepers[0].operators, "service/probes", 0, &once);
    let (_plain, addr) = fake("plain", &["--step-us", "1500000"]);
    let mut agent = agent_of(&folder, 15, "agent-1", &addr, "kind = plain\nserves = probes");
    send_until_run(&keepers[0].callers, "/svc/probes/read", "warm", &[]);
    let callers = keepers[0].callers.clone();
    let caller = std::thread::spawn(move || post(&callers, "/svc/probes/schedules", "a", &[]));
    until("it runs", || count(&addr) == 2);
    agent.process.kill();
    let (status, body) = caller.join().expect("ends");
    assert_eq!(status, 502, "{body}");
    let _agent = start(agent.settings.clone());
    std::thread::sleep(std::time::Duration::from_secs(2));
    assert_eq!(count(&addr), 2, "the call is not retried");
}

#[test]
fn a_prompt_may_run_once_too() {
    let folder = folder("prompt-once");
    let keepers = keepers(&folder, 16);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent_of(&folder, 16, "agent-1", &addr, "serves = demo");
    let body = completion("may the renewal proceed?", 4, false);
    let first = send_until_run(&keepers[0].callers, "/v1/completions", &body, &[KEY]);
    let second = send_until_run(&keepers[1].callers, "/v1/completions", &body, &[KEY]);
    let text = |answer: &(u16, String)| {
        let value: Value = serde_json::from_str(&answer.1).unwrap_or_default();
        value["choices"][0]["text"].clone()
    };
    assert_eq!(text(&first), ::fake::answer("may the renewal proceed?", 4));
    assert_eq!(text(&first), text(&second));
    assert_eq!(get(&addr, "/started"), 1);
}

/// A plain service whose answers have no length and end with their connection inside an event.
fn cut_stream() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut bytes = [0; 4_096];
                // The load that the agent reads gets the same answer.
                if socket.read(&mut bytes).is_ok_and(|read| read > 0) {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    let _ = socket.write_all(format!("{head}data: one\n\ndata: tw").as_bytes());
                }
            });
        }
    });
    addr
}

// Guards against a stored answer that is returned as complete to each resend, although the server broke it off: without a
// length its end looks like that of the connection.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_stored_as_complete() {
    let folder = folder("cut-stream");
    let keepers = keepers(&folder, 17);
    let addr = cut_stream();
    let _agent = agent_of(&folder, 17, "agent-1", &addr, "kind = plain\nserves = probes");
    let first = send_until_run(&keepers[0].callers, "/svc/probes/x", "a", &[KEY]);
    assert!(first.0 != 200 || !first.1.contains("data: tw"), "{first:?}");
    let second = send_until_run(&keepers[1].callers, "/svc/probes/x", "a", &[KEY]);
    assert!(second.0 == 502 && !second.1.contains("data: tw"), "{second:?}");
}
