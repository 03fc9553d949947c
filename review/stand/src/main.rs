//! Plays one case: `stand CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

use stand::Verdict;
use stand::record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        exit(2);
    };
    let record = match Record::start(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {name}, trouble: {}", stand::trouble()));
    let case = cases::find(name);
    let (sender, receiver) = std::sync::mpsc::channel();
    let own = record.clone();
    std::thread::spawn(move || {
        let verdict = match case {
            Some(case) => case(&own).unwrap_or_else(Verdict::NotRun),
            None => Verdict::NotRun("there is no such case".to_owned()),
        };
        let _ = sender.send(verdict);
    });
    let verdict = receiver
        .recv_timeout(Duration::from_secs(105))
        .unwrap_or_else(|_| Verdict::NotRun("it took too long".to_owned()));
    stand::system::end_all();
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{name}: {text}");
    exit(code);
}
