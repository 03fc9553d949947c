//! The commands against processes and servers that send a response without end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use test_case::test_case;

/// Memory that a command may use: a few times the largest response.
const MAX_MEMORY_KB: u64 = 100 << 10;
/// Memory beyond which a test ends the command, to protect the machine.
const GUARD_KB: u64 = 400 << 10;
/// Time in which a command must end, beside the time that it was told to run: its own limit is 30 s.
const TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a server that sends a head, the beginning of a body, and then the same bytes without end.
fn serve(begin: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let addr = listener.local_addr().expect("bound");
    spawn(move || {
        for mut socket in listener.incoming().flatten() {
            spawn(move || {
                let _ = socket.read(&mut [0; 4 << 10]);
                let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
                let _ = socket.write_all(begin.as_bytes());
                let size = if pause.is_zero() { 64 << 10 } else { 16 };
                let bytes = vec![b'a'; size];
                while socket.write_all(&bytes).is_ok() {
                    sleep(pause);
                }
            });
        }
    });
    addr
}

/// Peak of the resident memory, in KB; 0 once the process has ended.
fn peak_kb(child: &Child) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Runs a command to its end; returns its exit code, its output and the peak of its memory.
fn run(args: &[&str]) -> (Option<i32>, String, u64) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamarack"))
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let end = Instant::now() + TIMEOUT;
    let mut peak = 0;
    while child.try_wait().expect("own child").is_none() {
        peak = peak_kb(&child).max(peak);
        if peak > GUARD_KB || Instant::now() > end {
            let _ = child.kill();
        }
        sleep(Duration::from_millis(5));
    }
    let output = child.wait_with_output().expect("ends");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned(), peak)
}

// Guards against a command that takes a response which it could not read to its end for an empty one, and succeeds.
#[test]
fn command_fails_if_response_does_not_end() {
    let at = serve("{\"revision\":\"", Duration::ZERO).to_string();
    let (code, text, peak) = run(&["--at", &at, "dump"]);
    println!("{code:?}, {peak} KB: {text}");
    assert_eq!(code, Some(2), "{text}");
    assert!(peak < MAX_MEMORY_KB, "{peak} KB");
}

// Guards against a load test that runs out of memory, or never ends, because a server sends a line or a body without end.
#[test_case("data: ", &[], Duration::ZERO; "a line")]
#[test_case("data: ", &[], Duration::from_millis(5); "a line that trickles")]
#[test_case("data: ", &["--call", "/plain"], Duration::from_millis(5); "a body that trickles")]
fn load_ends_if_responses_do_not(begin: &'static str, more: &[&str], pause: Duration) {
    let to = serve(begin, pause).to_string();
    let load = ["bench", "load", &to, "--streams", "4", "--seconds", "1"];
    let (code, text, peak) = run(&[&load, more].concat());
    println!("{code:?}, {peak} KB: {text}");
    assert_eq!(code, Some(0), "{text}");
    assert!(peak < MAX_MEMORY_KB, "{peak} KB");
}
