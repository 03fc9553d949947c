//! The `story` command: shows what happened to one request, from the logs of several processes.
//!
//! Shows the log lines of the request and, around that time, the lines about its servers and the lines on
//! the state of the processes that handled it, sorted by the processes' clocks. If it resumes a stream, the lines of the
//! request that began the stream are shown too. If the request was rejected because of
//! crashes of servers, however long ago, it also shows these.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use serde_json::{Map, Value};

use crate::args;
use crate::client::Error;

/// Time before and after the request in which other lines are shown, milliseconds.
const CONTEXT_MS: u64 = 2_000;

/// Message of the lines on crashes of servers.
const CRASH: &str = "server crash observed";

/// One line of a log.
struct Line {
    process: String,
    ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// Whether the line is about the process itself, not about a request or a server.
    fn is_process_state(&self) -> bool {
        self.text("request").is_empty() && self.text("server").is_empty()
    }

    /// Formats the line, with its time relative to `start`.
    fn format(&self, start: u64) -> String {
        let (sign, ms) =
            if self.ms < start { ('-', start - self.ms) } else { ('+', self.ms - start) };
        let at = format!("{sign}{ms}");
        let mut text = format!("{at:>7} ms  {}  {}", self.process, self.text("message"));
        for (key, value) in &self.fields {
            if !["ms", "level", "target", "message"].contains(&key.as_str()) {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                text.push_str(&format!("  {key}={value}"));
            }
        }
        text
    }
}

/// Prints the lines on a request and their context.
pub fn show(story: &args::Story) -> Result<(), Error> {
    let mut lines = Vec::new();
    for path in &story.logs {
        let text = fs::read_to_string(path)
            .map_err(|error| Error::Rejected(format!("{}: {error}", path.display())))?;
        lines.extend(text.lines().filter_map(|line| parse(path, line)));
    }
    lines.sort_by_key(|line| line.ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.text("request") == story.id).collect();
    // A stream that the request resumes began with another request, which other ones may have resumed before.
    let resumed: BTreeSet<&str> =
        own.iter().map(|line| line.text("resumes")).filter(|first| !first.is_empty()).collect();
    let of_stream = |line: &Line| {
        resumed.contains(line.text("request")) || resumed.contains(line.text("resumes"))
    };
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Error::Rejected(format!("no log line names the request '{}'", story.id)));
    };
    let took = own.iter().filter_map(|line| line.fields.get("took_ms")?.as_u64()).max();
    let start = first.ms.min(last.ms.saturating_sub(took.unwrap_or(0)));
    let context = start.saturating_sub(CONTEXT_MS)..=last.ms + CONTEXT_MS;
    let servers: BTreeSet<&str> =
        own.iter().map(|line| line.text("server")).filter(|server| !server.is_empty()).collect();
    let crashed: BTreeSet<&str> =
        own.iter().flat_map(|line| line.text("servers").split(',')).collect();
    let processes: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
    for line in &lines {
        let own = line.text("request") == story.id;
        let of_server = line.text("request").is_empty() && servers.contains(line.text("server"));
        let of_crash = line.text("message") == CRASH && crashed.contains(line.text("server"));
        let of_process = line.is_process_state() && processes.contains(line.process.as_str());
        if own
            || of_crash
            || of_stream(line)
            || (context.contains(&line.ms) && (of_server || of_process))
        {
            println!("{}", line.format(start));
        }
    }
    Ok(())
}

/// Parses a log line. The last word before the JSON is the name of the process; without one, the file's name is.
fn parse(path: &Path, line: &str) -> Option<Line> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let ms = fields.get("ms")?.as_u64()?;
    let name = prefix.split_whitespace().last().map(str::to_owned);
    let stem = || path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Some(Line { process: name.unwrap_or_else(stem), ms, fields })
}
