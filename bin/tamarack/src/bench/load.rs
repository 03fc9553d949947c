//! Load on callers' HTTP, or on an engine directly for comparison.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{histogram, quantiles};
use crate::args;
use crate::client::Trouble;

const STACK: usize = 128 << 10;

#[derive(Default)]
struct Seen {
    first: Vec<Duration>,
    gaps: Vec<Duration>,
    whole: u64,
    failed: u64,
    tokens: u64,
}

/// Keeps a number of requests open for a time.
pub fn run(load: &args::Load) -> Result<Value, Trouble> {
    let (sender, results) = channel();
    let begin = Instant::now();
    let end = begin + Duration::from_secs(load.seconds);
    for place in 0..load.streams {
        let (sender, load) = (sender.clone(), load.clone());
        let work = move || {
            let mut seen = Seen::default();
            let config = ureq::Agent::config_builder().http_status_as_error(false).build();
            let agent = ureq::Agent::from(config);
            let mut count = 0;
            while Instant::now() < end {
                count += 1;
                one(&agent, &load, place, count, &mut seen);
            }
            let _ = sender.send(seen);
        };
        let spawned = thread::Builder::new().stack_size(STACK).spawn(work);
        spawned.map_err(|error| Trouble::Refused(error.to_string()))?;
    }
    drop(sender);
    let (mut first, mut gaps) = (histogram()?, histogram()?);
    let mut all = Seen::default();
    for seen in results {
        for time in seen.first {
            let _ = first.record(time.as_micros() as u64);
        }
        for time in seen.gaps {
            let _ = gaps.record(time.as_micros() as u64);
        }
        all.whole += seen.whole;
        all.failed += seen.failed;
        all.tokens += seen.tokens;
    }
    let seconds = begin.elapsed().as_secs_f64();
    Ok(json!({
        "streams": load.streams,
        "whole": all.whole,
        "failed": all.failed,
        "requests_per_s": all.whole as f64 / seconds,
        "tokens_per_s": all.tokens as f64 / seconds,
        "first_token_ms": quantiles(&first),
        "between_tokens_ms": quantiles(&gaps),
    }))
}

fn one(agent: &ureq::Agent, load: &args::Load, place: usize, count: u64, seen: &mut Seen) {
    let body = json!({
        "model": load.model,
        "prompt": format!("prompt {place} {count} {}", "x".repeat(load.prompt_bytes)),
        "max_tokens": load.tokens,
        "stream": true,
    });
    let path = if load.call.is_empty() { "/v1/completions" } else { load.call.as_str() };
    let addresses: Vec<&str> = load.to.split(',').collect();
    let url = format!("http://{}{path}", addresses[place % addresses.len()]);
    let mut request = agent.post(&url).header("authorization", format!("Bearer {}", load.bearer));
    if load.once {
        request = request.header("idempotency-key", format!("{place}-{count}-{}", load.seed));
    }
    let begin = Instant::now();
    let Ok(mut response) = request.send(body.to_string()) else {
        seen.failed += 1;
        return;
    };
    if response.status().as_u16() != 200 {
        seen.failed += 1;
        thread::sleep(Duration::from_millis(50));
        return;
    }
    if !load.call.is_empty() {
        let whole = response.body_mut().read_to_vec().is_ok();
        seen.first.push(begin.elapsed());
        seen.whole += u64::from(whole);
        return;
    }
    let mut last: Option<Instant> = None;
    for line in BufReader::new(response.body_mut().as_reader()).lines().map_while(Result::ok) {
        if line == "data: [DONE]" {
            seen.whole += 1;
            return;
        }
        if !line.starts_with("data: ") || line.contains("usage") || line.contains("\"text\":\"\"") {
            continue;
        }
        let now = Instant::now();
        match last {
            Some(last) => seen.gaps.push(now - last),
            None => seen.first.push(now - begin),
        }
        last = Some(now);
        seen.tokens += 1;
    }
    seen.failed += 1;
}

/// Opens connections that send half a request and then nothing, and holds them for a while.
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
