//! Answers of faulty servers that have an agent: what is stored for resends is whole and the request's own.

mod harness;

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use test_case::test_case;

use harness::{agent_of, folder, keepers, post, until};

/// Time for bytes to arrive before the connection ends.
const TRANSIT: Duration = Duration::from_millis(60);

/// What a service does with its connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It breaks off as the last word of the path says.
    Breaks,
    /// It keeps connections, and writes a refusal before each answer but the first one.
    Repeats,
}

/// Starts a plain service; returns its address and the bodies of the requests that it has run.
fn service(fault: Fault) -> (String, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = runs.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || connection(fault, socket, &seen));
        }
    });
    (addr, runs)
}

fn connection(fault: Fault, socket: TcpStream, runs: &Mutex<Vec<String>>) {
    let Ok(mut writer) = socket.try_clone() else { return };
    let mut reader = BufReader::new(socket);
    let mut used = false;
    while let Some((path, body)) = request(&mut reader) {
        if path != "/load" {
            runs.lock().expect("the runs").push(body.clone());
        }
        let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let refusal = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";
        let text = match path.rsplit('/').next().unwrap_or_default() {
            _ if fault == Fault::Repeats && used => format!("{refusal}{whole}"),
            "status" => "HTTP/1.1 20".to_owned(),
            "head" => "HTTP/1.1 200 OK\r\nContent-Le".to_owned(),
            "length" | "reset" => "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\npart".to_owned(),
            "chunk" => {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n".to_owned()
            }
            "inside" => {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\npart".to_owned()
            }
            "unframed" => "HTTP/1.1 200 OK\r\n\r\npart".to_owned(),
            _ => whole.clone(),
        };
        let _ = writer.write_all(text.as_bytes());
        if path.ends_with("reset") || path.ends_with("unframed") {
            sleep(TRANSIT);
            let reset = socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
            assert!(reset.is_ok(), "{reset:?}");
            return;
        }
        if fault == Fault::Breaks && text != whole {
            return;
        }
        used = true;
    }
}

fn request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let line = |reader: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    };
    let path = line(reader)?.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        let header = line(reader)?.to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    std::io::Read::read_exact(reader, &mut body).ok()?;
    Some((path, String::from_utf8(body).ok()?))
}

/// Sends requests until one is answered with 200.
fn serves(callers: &str) {
    let mut number = 0;
    until("a served request", || {
        number += 1;
        let key = format!("warm-{number}");
        post(callers, "/svc/probes/whole", "warm", &[("idempotency-key", &key)]).0 == 200
    });
}

/// Sends one request to each of three entries, whose server breaks off as the last word of the path says.
fn send_broken(what: &str, test: u8) {
    let folder = folder(&format!("cut-{what}"));
    let keepers = keepers(&folder, test);
    let (addr, runs) = service(Fault::Breaks);
    let _agent = agent_of(&folder, test, "agent-1", &addr, "kind = plain\nserves = probes");
    serves(&keepers[0].callers);
    let path = format!("/svc/probes/{what}");
    for keeper in &keepers {
        let answer = post(&keeper.callers, &path, "broken", &[("idempotency-key", what)]);
        assert!(answer.0 >= 500 && !answer.1.contains("part"), "{what}: {answer:?}");
    }
    assert!(runs.lock().expect("the runs").iter().any(|found| found == "broken"), "it was run");
}

// Guards against a part of an answer that is stored, and returned as complete to each resend.
#[test_case("status", 18; "inside the status")]
#[test_case("head", 19; "inside the head")]
#[test_case("length", 20; "before its length")]
#[test_case("reset", 21; "reset before its length")]
#[test_case("chunk", 22; "before the last chunk")]
#[test_case("inside", 24; "inside a chunk")]
fn an_answer_that_breaks_off_is_not_stored_as_complete(what: &str, test: u8) {
    send_broken(what, test);
}

// Guards against the same where the answer has no length and its connection is reset, which looks like its end.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_stored_as_complete() {
    send_broken("unframed", 25);
}

// Guards against a refusal that a server writes once more on a kept connection and that is taken for the answer to the next
// request, and stored.
#[test]
fn a_repeated_refusal_is_not_stored_for_another_request() {
    let folder = folder("repeated");
    let keepers = keepers(&folder, 26);
    let (addr, runs) = service(Fault::Repeats);
    let _agent = agent_of(&folder, 26, "agent-1", &addr, "kind = plain\nserves = probes");
    serves(&keepers[0].callers);
    for number in 0..5 {
        let (key, body) = (format!("key-{number}"), format!("body {number}"));
        let headers = [("idempotency-key", &*key)];
        for keeper in &keepers {
            let answer = post(&keeper.callers, "/svc/probes/whole", &body, &headers);
            assert_eq!(answer, (200, body.clone()));
        }
        let count = runs.lock().expect("the runs").iter().filter(|found| **found == body).count();
        assert_eq!(count, 1, "{body}");
    }
}
