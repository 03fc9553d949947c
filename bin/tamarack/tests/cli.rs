//! The operators' command line against an in-process deployment.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use test_case::test_case;

fn tamarack(at: &str, input: &str, args: &[&str]) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tamarack"))
        .args(["--at", at, "--by", "ann"])
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("ends");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn commands_work_as_documented() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cli");
    let _ = std::fs::remove_dir_all(&folder);
    let text = format!(
        "[process]\nname = one\nroles = entry, keeper\nlink = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         data = {}\n[keeper]\nvoters = one\n[entry]\ncallers = 127.0.0.1:0\n",
        folder.display()
    );
    let settings = conf::Settings::parse(&text).expect("good settings");
    let mut running = edge::start(&settings).expect("starts");
    let at = running.operators.to_string();
    let run = |input: &str, args: &[&str]| tamarack(&at, input, args);
    let end = Instant::now() + Duration::from_secs(60);
    while run("", &["ready"]).0 != Some(0) {
        assert!(Instant::now() < end, "the process did not become ready");
        std::thread::sleep(Duration::from_millis(50));
    }
    let put = ["put", "workspace", "shop", "--wait"];
    let (code, text) = run(r#"{"share":5}"#, &put);
    assert!(code == Some(0) && text.contains("version 1") && text.contains("in force"), "{text}");
    let (code, text) = run(r#"{"share":6}"#, &put);
    assert!(code == Some(1) && text.contains("4001") && text.contains("\"share\":5"), "{text}");
    let (code, text) = run(r#"{"colour":1}"#, &["put", "workspace", "x"]);
    assert!(code == Some(1) && text.contains("4002") && text.contains("unknown field"), "{text}");
    let (code, text) = run("", &["get", "workspace", "shop"]);
    assert!(code == Some(0) && text.contains("ann") && text.contains("\"share\":5"), "{text}");
    assert_eq!(run("", &["get", "workspace", "none"]).0, Some(1));
    let (code, text) = run("", &["--json", "get", "workspace"]);
    assert!(code == Some(0) && text.starts_with('{'), "{text}");
    assert_eq!(run("", &["drain", "agent-9"]).0, Some(0));
    assert!(run("", &["get", "server", "agent-9"]).1.contains("\"drain\":true"));
    assert_eq!(run("", &["undrain", "agent-9"]).0, Some(0));
    assert!(run("", &["history"]).1.contains("agent-9"));
    assert!(run("", &["servers"]).1.contains("ready"));
    assert!(run("", &["dump"]).1.contains("\"revision\""));
    assert_eq!(run("", &["explain", "none"]).0, Some(1));
    assert_eq!(run("", &["delete", "workspace", "shop", "--expect", "1"]).0, Some(0));
    assert_eq!(tamarack("127.0.0.1:1", "", &["ready"]).0, Some(2), "nothing listens there");
    assert!(run("", &["--help"]).1.contains("Examples:"));
    let (code, text) = run("", &["trace", "shatla", "--seconds", "5"]);
    assert!(code == Some(0) && text.contains("ask w"), "{text}");
    running.stopper().stop();
    assert!(matches!(running.wait(), edge::Exit::Done { in_flight: 0 }));
}

#[test_case("given-up.log", "c98c08f99fad98b7", &["code=3003", "took_ms=401"]; "given up")]
#[test_case("cut.log", "c36e1bf88a8a7dc8", &["stalled_ms=3018", "code=2008"]; "cut midway")]
#[test_case("quarantine.log", "5ba69446f73205f5", &["server crash observed", "segments=12ca9047f126  ", "code=2009"]; "quarantined")]
#[test_case("late.log", "c129c6563c08cd33", &["ahead=2892", "first_ms=1320"]; "late")]
fn the_story_of_a_request_leads_to_its_cause(log: &str, id: &str, expected: &[&str]) {
    let log = format!("{}/../../docs/logs/{log}", env!("CARGO_MANIFEST_DIR"));
    let output = Command::new(env!("CARGO_BIN_EXE_tamarack"))
        .args(["story", id, &log])
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let positions: Vec<Option<usize>> = expected.iter().map(|part| text.find(part)).collect();
    assert!(positions.is_sorted() && positions.iter().all(Option::is_some), "{text}");
    let other = Command::new(env!("CARGO_BIN_EXE_tamarack"))
        .args(["story", "nobody", &log])
        .output()
        .expect("the binary runs");
    assert_eq!(other.status.code(), Some(1));
}
