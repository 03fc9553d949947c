//! Invalid, oversized, slow and incomplete requests, and their effect on other callers.

mod harness;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use harness::{agent, complete, completion, fake, folder, post, until};
use test_case::test_case;

const LIMITS: &str = "max_body_bytes = 4096\narrival_ms = 700\nmax_connections = 60\n";

fn first(folder: &std::path::Path) -> harness::Member {
    let text = format!(
        "[process]\nname = entry-1\nroles = entry, keeper\nlink = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\ndata = {}\n[keeper]\nvoters = entry-1\n\
         [entry]\ncallers = 127.0.0.1:0\n{LIMITS}",
        folder.join("entry-1").display()
    );
    let member = harness::member(folder, "entry-1", &text);
    harness::workspace(&member.operators);
    member
}

#[test_case("{", 400, "1001"; "malformed JSON")]
#[test_case("[]", 400, "1001"; "another shape")]
#[test_case(r#"{"model":"demo","prompt":7}"#, 400, "1001"; "prompt of another type")]
#[test_case(r#"{"model":"demo","prompt":"x","max_tokens":-1}"#, 400, "1001"; "negative tokens")]
#[test_case(r#"{"model":"none","prompt":"x"}"#, 503, "2002"; "unknown model")]
fn a_bad_body_gets_a_numbered_error(body: &str, status: u16, code: &str) {
    let folder = folder(&format!("bad-{}", blake3::hash(body.as_bytes()).to_hex()));
    let entry = first(&folder);
    until("ready", || harness::get(&entry.operators, "/ready")["ready"] == true);
    let (seen, text) = post(&entry.callers, "/v1/completions", body, &[]);
    assert_eq!(seen, status, "{text}");
    assert!(text.contains(code) && text.contains("not-run"), "{text}");
}

#[test]
fn bad_headers_paths_keys_and_sizes_get_numbered_errors() {
    let folder = folder("bad-headers");
    let entry = first(&folder);
    until("ready", || harness::get(&entry.operators, "/ready")["ready"] == true);
    let good = completion("x", 1, false);
    let header = [("x-tamarack-priority", "urgent")];
    assert_eq!(post(&entry.callers, "/v1/completions", &good, &header).0, 400);
    let header = [("x-tamarack-deadline-ms", "soon")];
    assert_eq!(post(&entry.callers, "/v1/completions", &good, &header).0, 400);
    assert_eq!(post(&entry.callers, "/v2/other", &good, &[]).0, 404);
    let long = completion(&"x".repeat(5_000), 1, false);
    let (status, text) = post(&entry.callers, "/v1/completions", &long, &[]);
    assert_eq!(status, 413, "{text}");
    let url = format!("http://{}/v1/completions", entry.callers);
    let other_key = harness::client().post(url).header("authorization", "Bearer other").send(&good);
    assert_eq!(other_key.expect("an answer").status().as_u16(), 401);
}

/// Sends raw bytes and returns everything that is received until the connection ends.
fn raw(callers: &str, bytes: &[u8]) -> String {
    let mut socket = TcpStream::connect(callers).expect("connects");
    socket.write_all(bytes).expect("sends");
    let _ = socket.set_read_timeout(Some(Duration::from_secs(30)));
    let mut text = Vec::new();
    let _ = socket.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn slow_invalid_and_silent_callers_are_disconnected_and_others_served() {
    let folder = folder("slow");
    let entry = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "1000"]);
    let _agent = agent(&folder, "agent-1", &addr, "serves = demo", &entry.link);
    assert_eq!(complete(&entry.callers, &completion("warm", 2, false)).0, 200);
    // A content-length that is larger than the body.
    let short = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 900\r\n\r\n{}";
    let text = raw(&entry.callers, short);
    assert!(text.contains("408") && text.contains("1008"), "{text}");
    // Two content-lengths that differ, and bytes that are not HTTP.
    let two = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\nabcd";
    assert!(raw(&entry.callers, two).contains("400"));
    assert!(!raw(&entry.callers, b"\x00\x01\x02 nonsense\r\n\r\n").contains("200"));
    // As many incomplete requests as connections are allowed: new connections are rejected until these time out.
    let open: Vec<TcpStream> = (0..60)
        .filter_map(|_| {
            let mut socket = TcpStream::connect(&entry.callers).ok()?;
            socket.write_all(b"POST /v1/completions HTTP/1.1\r\nhost:").ok()?;
            Some(socket)
        })
        .collect();
    assert_eq!(open.len(), 60);
    let full = raw(&entry.callers, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(full.contains("503") && full.contains("retry-after") || full.contains("HTTP/1.1 4"));
    assert_eq!(complete(&entry.callers, &completion("others", 2, false)).0, 200);
    drop(open);
}

#[test]
fn a_caller_who_disconnects_ends_its_run() {
    let folder = folder("goes-away");
    let entry = first(&folder);
    let (_engine, addr) = fake("engine", &["--step-us", "5000"]);
    let _agent = agent(&folder, "agent-1", &addr, "serves = demo", &entry.link);
    assert_eq!(complete(&entry.callers, &completion("warm", 2, false)).0, 200);
    let body = completion("a long one", 20_000, true);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer demo\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut socket = TcpStream::connect(&entry.callers).expect("connects");
    socket.write_all(head.as_bytes()).expect("sends");
    until("the run is started", || harness::get(&addr, "/load")["running"] == 1);
    drop(socket);
    until("the run is cancelled", || harness::get(&addr, "/load")["running"] == 0);
    until("the entry has no run left", || {
        harness::get(&entry.operators, "/dump")["entry"]["runs"]
            .as_array()
            .is_some_and(Vec::is_empty)
    });
}
