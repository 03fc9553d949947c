//! Requests through entry, agent and server as separate processes.

mod harness;

use harness::{agent, complete, completion, fake, first, folder, post, streamed};

#[test]
fn a_streamed_response_is_complete() {
    let folder = folder("streamed");
    let entry = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent(&folder, "agent-1", &addr, "serves = demo", &entry.link);
    let (status, body) = complete(&entry.callers, &completion("why does my mint wilt?", 40, true));
    assert_eq!(status, 200, "{body}");
    assert_eq!(streamed(&body), (fake::answer("why does my mint wilt?", 40), true));
}

#[test]
fn a_plain_call_gets_its_response() {
    let folder = folder("plain");
    let entry = first(&folder);
    let (_plain, addr) = fake("plain", &[]);
    let _agent = agent(&folder, "agent-1", &addr, "kind = plain\nserves = probes", &entry.link);
    let end = std::time::Instant::now() + harness::TIMEOUT;
    let (status, body) = loop {
        let (status, body) = post(&entry.callers, "/svc/probes/schedule?x=1", "{}", &[]);
        if status != 503 || std::time::Instant::now() > end {
            break (status, body);
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    };
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("/schedule?x=1"), "{body}");
}

#[test]
fn a_response_resumes_at_another_agent_when_its_agent_dies() {
    let folder = folder("agent-dies");
    let entry = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "10000"]);
    let first = agent(&folder, "agent-1", &addr, "serves = demo", &entry.link);
    let callers = entry.callers.clone();
    complete(&callers, &completion("warm", 1, false));
    let body = completion("a long history", 100, true);
    let caller = std::thread::spawn(move || post(&callers, "/v1/completions", &body, &[]));
    let _second = agent(&folder, "agent-2", &addr, "serves = demo", &entry.link);
    std::thread::sleep(std::time::Duration::from_millis(300));
    drop(first);
    let (status, body) = caller.join().expect("the caller ends");
    assert_eq!(status, 200);
    assert_eq!(streamed(&body), (fake::answer("a long history", 100), true));
}

#[test]
fn a_stop_cuts_no_request() {
    let folder = folder("stop");
    let mut entry = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "10000"]);
    let mut agent = agent(&folder, "agent-1", &addr, "serves = demo", &entry.link);
    complete(&entry.callers, &completion("warm", 1, false));
    let callers = entry.callers.clone();
    let body = completion("a long history", 100, true);
    let caller = std::thread::spawn(move || post(&callers, "/v1/completions", &body, &[]));
    std::thread::sleep(std::time::Duration::from_millis(300));
    agent.process.signal("TERM");
    entry.process.signal("TERM");
    let (status, body) = caller.join().expect("the caller ends");
    assert_eq!(status, 200);
    assert_eq!(streamed(&body), (fake::answer("a long history", 100), true));
    assert_eq!(entry.process.code(), Some(0));
    assert_eq!(agent.process.code(), Some(0));
}

#[test]
fn a_restarted_agent_is_found_at_its_new_address() {
    let folder = folder("new-address");
    let keeper = first(&folder);
    let other = harness::entry(&folder, "entry-2", &keeper.link);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let mut agent = agent(&folder, "agent-1", &addr, "serves = demo", &keeper.link);
    assert_eq!(complete(&other.callers, &completion("before", 2, false)).0, 200);
    agent.process.kill();
    let again = harness::start(agent.settings.clone());
    assert_ne!(agent.link, again.link, "any free port");
    assert_eq!(complete(&other.callers, &completion("after", 2, false)).0, 200);
}

/// Guards against lost frames where an entry and an agent connect to each other: both connections must stay open.
#[test]
fn connections_of_processes_that_dial_each_other_stay_open() {
    let folder = folder("two-links");
    let keeper = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent(&folder, "agent-1", &addr, "serves = demo", &keeper.link);
    assert_eq!(complete(&keeper.callers, &completion("warm", 2, false)).0, 200);
    let links = || {
        let text = harness::text(&keeper.operators, "/metrics");
        let line = text.lines().find(|line| line.starts_with("tamarack_links_total"));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    };
    std::thread::sleep(std::time::Duration::from_secs(3));
    let before = links();
    assert!(before.is_some_and(|links| links >= 2.0), "{before:?}");
    std::thread::sleep(std::time::Duration::from_secs(6));
    assert_eq!(links(), before, "connections were replaced although nothing failed");
}

/// The README's `tamarackbank dev` serves prompts and plain calls, and a resent call gets the same response.
#[test]
fn dev_serves_everything_in_one_process() {
    let folder = folder("dev");
    let (callers, operators) = (harness::address(31, 1, 7400), harness::address(31, 1, 7401));
    let data = folder.join("data");
    let data = data.to_str().expect("a UTF-8 path");
    let args = ["dev", "--callers", &callers, "--operators", &operators, "--data", data];
    let mut dev = harness::Process::spawn(&args);
    dev.line("try:");
    assert_eq!(complete(&callers, &completion("x", 3, false)).0, 200);
    let key = [("idempotency-key", "pot-7")];
    let mut answer = (0, String::new());
    harness::until("the plain service", || {
        answer = post(&callers, "/svc/probes/schedules", "{}", &key);
        answer.0 == 200
    });
    assert_eq!(post(&callers, "/svc/probes/schedules", "{}", &key), answer);
    dev.signal("TERM");
    assert_eq!(dev.code(), Some(0));
}
