//! Load on the callers' address of entries, or directly on engines for comparison.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{histogram, quantiles};
use crate::args;
use crate::client::Error;

const STACK_BYTES: usize = 128 << 10;
/// Longest time for which a request may continue after the load has ended.
const GRACE: Duration = Duration::from_secs(30);
/// Largest line of a response in bytes.
const MAX_LINE: u64 = 256 << 10;

#[derive(Default)]
struct Counts {
    /// Times to first token, or to the end of a plain call.
    first: Vec<Duration>,
    /// Times between tokens.
    gaps: Vec<Duration>,
    completed: u64,
    failed: u64,
    tokens: u64,
}

/// Keeps a number of requests in flight for a time.
pub fn run(load: &args::Load) -> Result<Value, Error> {
    let (sender, results) = channel();
    let start = Instant::now();
    let deadline = start + Duration::from_secs(load.seconds);
    for place in 0..load.streams {
        let (sender, load) = (sender.clone(), load.clone());
        let work = move || {
            let mut counts = Counts::default();
            let config = ureq::Agent::config_builder().http_status_as_error(false).build();
            let agent = ureq::Agent::from(config);
            let mut count = 0;
            while Instant::now() < deadline {
                count += 1;
                let timeout = deadline + GRACE - Instant::now();
                send(&agent, &load, (place, count), timeout, &mut counts);
            }
            let _ = sender.send(counts);
        };
        let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
        spawned.map_err(|error| Error::Rejected(error.to_string()))?;
    }
    drop(sender);
    let (mut first, mut gaps) = (histogram()?, histogram()?);
    let mut total = Counts::default();
    for counts in results {
        for time in counts.first {
            let _ = first.record(time.as_micros() as u64);
        }
        for time in counts.gaps {
            let _ = gaps.record(time.as_micros() as u64);
        }
        total.completed += counts.completed;
        total.failed += counts.failed;
        total.tokens += counts.tokens;
    }
    let seconds = start.elapsed().as_secs_f64();
    Ok(json!({
        "streams": load.streams,
        "whole": total.completed,
        "failed": total.failed,
        "requests_per_s": total.completed as f64 / seconds,
        "tokens_per_s": total.tokens as f64 / seconds,
        "first_token_ms": quantiles(&first),
        "between_tokens_ms": quantiles(&gaps),
    }))
}

/// Sends one request and counts its result.
fn send(
    agent: &ureq::Agent,
    load: &args::Load,
    (place, count): (usize, u64),
    timeout: Duration,
    counts: &mut Counts,
) {
    let body = json!({
        "model": load.model,
        "prompt": format!("prompt {place} {count} {}", "x".repeat(load.prompt_bytes)),
        "max_tokens": load.tokens,
        "stream": true,
    });
    let path = if load.call.is_empty() { "/v1/completions" } else { load.call.as_str() };
    let addresses: Vec<&str> = load.to.split(',').collect();
    let url = format!("http://{}{path}", addresses[place % addresses.len()]);
    let request = agent.post(&url).config().timeout_global(Some(timeout)).build();
    let mut request = request.header("authorization", format!("Bearer {}", load.bearer));
    if load.once {
        request = request.header("idempotency-key", format!("{place}-{count}-{}", load.seed));
    }
    let start = Instant::now();
    let Ok(mut response) = request.send(body.to_string()) else {
        counts.failed += 1;
        return;
    };
    if response.status().as_u16() != 200 {
        counts.failed += 1;
        thread::sleep(Duration::from_millis(50));
        return;
    }
    if !load.call.is_empty() {
        let mut body = response.body_mut().as_reader();
        let complete = std::io::copy(&mut body, &mut std::io::sink()).is_ok();
        counts.first.push(start.elapsed());
        counts.completed += u64::from(complete);
        counts.failed += u64::from(!complete);
        return;
    }
    let mut last: Option<Instant> = None;
    let mut reader = BufReader::new(response.body_mut().as_reader());
    while let Some(line) = line(&mut reader) {
        if line == "data: [DONE]" {
            counts.completed += 1;
            return;
        }
        if !line.starts_with("data: ") || line.contains("usage") || line.contains("\"text\":\"\"") {
            continue;
        }
        let now = Instant::now();
        match last {
            Some(last) => counts.gaps.push(now - last),
            None => counts.first.push(now - start),
        }
        last = Some(now);
        counts.tokens += 1;
    }
    counts.failed += 1;
}

/// Reads a line; `None` at the end of the body, or if it breaks off or the line is too large.
fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.take(MAX_LINE).read_line(&mut line).ok()?;
    let is_complete = !line.is_empty() && (line.len() as u64) < MAX_LINE;
    is_complete.then(|| line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Opens connections that send an incomplete request, and holds them.
pub fn idle(idle: &args::Idle) -> Value {
    let mut open = Vec::new();
    let mut refused = 0;
    for _ in 0..idle.connections {
        match TcpStream::connect(&idle.to) {
            Ok(mut socket) => {
                let _ = socket.write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n");
                open.push(socket);
            }
            Err(_) => refused += 1,
        }
    }
    println!("open: {}", open.len());
    thread::sleep(Duration::from_secs(idle.seconds));
    json!({ "opened": open.len(), "refused": refused })
}
