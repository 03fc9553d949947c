//! The cases of the second review that are scripts: each starts a small deployment and checks one rule.
//!
//! Usage: `stand-ins-2 CASE RECORD`, in the repository's root. It exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` the case runs without its disruption.

mod http;
mod poison;
mod replica;
mod system;
mod versions;

use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use system::Unable;

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let millis = at.saturating_duration_since(self.start).as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{millis:>7} {text}");
    }
}

fn run(case: &str, record: &Record) -> Result<bool, Unable> {
    system::check_program()?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    match case {
        "versions" => versions::run(record, trouble),
        "poison" => poison::run(record, trouble),
        other => Err(Unable(format!("no case {other}"))),
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = words.as_slice() else {
        eprintln!("stand-ins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(path) else {
        eprintln!("{path} can't be written");
        return ExitCode::from(2);
    };
    let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
    match run(case, &record) {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            println!("the rule was broken; see {path}");
            ExitCode::from(1)
        }
        Err(Unable(text)) => {
            record.line(&format!("couldn't run: {text}"));
            eprintln!("couldn't run: {text}");
            ExitCode::from(2)
        }
    }
}
