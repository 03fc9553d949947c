//! The story of one request, from the logs of several processes.
//!
//! Shows its own lines, and around them what its servers did and what the processes that held it
//! came to believe, in the order of their clocks.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use serde_json::{Map, Value};

use crate::args;
use crate::client::Trouble;

/// Time around the request's own lines in which other lines belong to its story, milliseconds.
const AROUND_MS: u64 = 2_000;

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

    /// Whether it tells what the process believes, rather than of some other request.
    fn is_belief(&self) -> bool {
        self.text("request").is_empty() && self.text("server").is_empty()
    }

    fn show(&self, from: u64) -> String {
        let (sign, ms) = if self.ms < from { ('-', from - self.ms) } else { ('+', self.ms - from) };
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

/// Prints the story of a request.
pub fn tell(story: &args::Story) -> Result<(), Trouble> {
    let mut lines = Vec::new();
    for path in &story.logs {
        let text = fs::read_to_string(path)
            .map_err(|error| Trouble::Refused(format!("{}: {error}", path.display())))?;
        lines.extend(text.lines().filter_map(|line| read(path, line)));
    }
    lines.sort_by_key(|line| line.ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.text("request") == story.id).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Trouble::Refused(format!("no line names the request '{}'", story.id)));
    };
    let took = own.iter().filter_map(|line| line.fields.get("took_ms")?.as_u64()).max();
    let start = first.ms.min(last.ms.saturating_sub(took.unwrap_or(0)));
    let around = start.saturating_sub(AROUND_MS)..=last.ms + AROUND_MS;
    let servers: BTreeSet<&str> =
        own.iter().map(|line| line.text("server")).filter(|server| !server.is_empty()).collect();
    let holders: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
    for line in &lines {
        let mine = line.text("request") == story.id;
        let of_server = line.text("request").is_empty() && servers.contains(line.text("server"));
        let of_holder = line.is_belief() && holders.contains(line.process.as_str());
        if mine || (around.contains(&line.ms) && (of_server || of_holder)) {
            println!("{}", line.show(start));
        }
    }
    Ok(())
}

/// Reads a line; what stands before the JSON, such as a process's name, is kept as its name.
fn read(path: &Path, line: &str) -> Option<Line> {
    let (before, json) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let ms = fields.get("ms")?.as_u64()?;
    let name = before.split_whitespace().last().map(str::to_owned);
    let stem = || path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    Some(Line { process: name.unwrap_or_else(stem), ms, fields })
}
