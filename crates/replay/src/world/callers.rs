//! Callers: they send the requests of the trace and check the responses.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use node::{Caller, Event, RequestKind};
use wire::{Call, Priority};

use super::{BYTES_PER_TOKEN, Exchange, MODEL, SERVICE, World};
use crate::Ask;

impl World<'_> {
    /// Returns the next running entry, as a round-robin load balancer does.
    pub(super) fn entry(&self) -> Option<usize> {
        let entries = 1..=self.trace.deployment.entries as usize;
        let up: Vec<usize> =
            entries.filter(|index| self.processes[*index].node.is_some()).collect();
        let call = self.next_call as usize;
        up.get(call % up.len().max(1)).copied()
    }

    pub(super) fn send(&mut self, exchange: Exchange, ask: node::ClientRequest) {
        self.next_call += 1;
        let call = self.next_call;
        let entry = exchange.entry;
        self.out.requests += 1;
        self.exchanges.insert(call, exchange);
        self.event(entry, Duration::ZERO, Event::Request { call, request: Box::new(ask) });
    }

    pub(super) fn ask(&mut self, ask: Ask) {
        let Some(entry) = self.entry() else {
            return;
        };
        let bytes = ask.prompt as usize * BYTES_PER_TOKEN;
        let document = self.documents.entry(ask.document).or_default();
        grow(document, ask.document, bytes);
        let text: Arc<str> = Arc::from(&document[..bytes]);
        self.workspace_by_head
            .entry(head(&text).to_owned())
            .or_insert_with(|| Name::new(&ask.workspace));
        let seen = self.seen_tokens.entry((ask.workspace.clone(), ask.document)).or_insert(0);
        let in_blocks = ask.prompt / 1_000 * 1_000;
        let min_computed_tokens = ask.prompt - (*seen).min(in_blocks);
        *seen = (*seen).max(in_blocks);
        let priority = match ask.priority.as_str() {
            "low" => Priority::Low,
            "high" => Priority::High,
            _ => Priority::Normal,
        };
        let request = node::ClientRequest {
            caller: Caller {
                key: ask.workspace.clone(),
                priority,
                deadline: Some(Duration::from_millis(ask.deadline_ms)),
                ..Caller::default()
            },
            kind: RequestKind::Prompt {
                model: Name::new(MODEL),
                text,
                max_tokens: ask.answer,
                stream: true,
                chat: false,
            },
            digest: [0; 16],
        };
        let exchange = Exchange { ask: Some(ask), min_computed_tokens, ..self.exchange(entry) };
        self.send(exchange, request);
    }

    pub(super) fn exchange(&self, entry: usize) -> Exchange {
        Exchange {
            ask: None,
            at: self.now,
            text: Vec::new(),
            status: 0,
            begun: None,
            finished: None,
            entry,
            key: None,
            min_computed_tokens: 0,
        }
    }

    pub(super) fn call(&mut self, workspace: &str, key: u64) {
        let Some(entry) = self.entry() else {
            return;
        };
        let request = node::ClientRequest {
            caller: Caller {
                key: workspace.to_owned(),
                idempotency_key: Some(Name::from(format!("key-{key}"))),
                deadline: Some(Duration::from_secs(20)),
                ..Caller::default()
            },
            kind: RequestKind::Call(Call {
                service: Name::new(SERVICE),
                method: "POST".to_owned(),
                path: "/schedules".to_owned(),
                content_type: String::new(),
                body: key.to_string().into_bytes(),
            }),
            digest: [key as u8; 16],
        };
        let exchange = Exchange { key: Some(key), ..self.exchange(entry) };
        self.send(exchange, request);
    }

    pub(super) fn finished(&mut self, call: u64, complete: bool) {
        let now = self.now;
        let Some(exchange) = self.exchanges.get_mut(&call) else {
            return;
        };
        if exchange.finished.replace((complete, now)).is_some() {
            self.violated("one response per request", format!("request {call} ended twice"));
            return;
        }
        let exchange = &self.exchanges[&call];
        let text = String::from_utf8_lossy(&exchange.text);
        if exchange.status != 200 || !complete {
            let code = error_code(&text);
            *self.out.codes.entry(code).or_insert(0) += 1;
            return;
        }
        self.out.completed += 1;
        if let Some(ask) = &exchange.ask {
            let bytes = ask.prompt as usize * BYTES_PER_TOKEN;
            let prompt = &self.documents[&ask.document][..bytes];
            let expected = fake::answer(prompt, ask.answer);
            let (seen, done) = streamed(&text);
            let first = exchange.begun.unwrap_or(now).since(exchange.at);
            self.out.first_token_us.saturating_record(first.as_micros() as u64);
            let at = exchange.at.0 as f64 / 1e6;
            self.out.points.push((at, first, ask.workspace.clone()));
            self.out.prompt_tokens += ask.prompt;
            self.out.min_computed_tokens += exchange.min_computed_tokens;
            let took = now.since(exchange.at);
            self.out.met_deadline += u64::from(took <= Duration::from_millis(ask.deadline_ms));
            if !done || seen != expected {
                let text = format!("request {call} got a truncated or wrong answer");
                self.violated("complete answers", text);
            }
        } else if exchange.key.is_some_and(|key| text != key.to_string()) {
            self.violated("response to the same request", format!("request {call} got {text}"));
        }
    }
}

/// Extends the text of a document to this length.
fn grow(text: &mut String, document: u64, bytes: usize) {
    let mut counter = text.len() as u64 / 64;
    while text.len() < bytes {
        let seed = format!("{document} {counter}");
        text.push_str(&blake3::hash(seed.as_bytes()).to_hex());
        counter += 1;
    }
}

/// The beginning of a prompt, by which its document is identified.
pub(super) fn head(text: &str) -> &str {
    const HEAD_BYTES: usize = 64;
    text.get(..HEAD_BYTES).unwrap_or(text)
}

/// The error code in a response body, plain or streamed; 0 if there is none.
fn error_code(text: &str) -> u64 {
    let last = text.lines().rev().find_map(|line| {
        let json = line.strip_prefix("data: ").unwrap_or(line);
        serde_json::from_str::<serde_json::Value>(json).ok()
    });
    last.and_then(|value| value["error"]["code"].as_u64()).unwrap_or(0)
}

/// The text of a streamed answer, and whether its end marker was received.
fn streamed(text: &str) -> (String, bool) {
    let mut out = String::new();
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
        } else if let Ok(value) = serde_json::from_str::<serde_json::Value>(data) {
            out.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
        }
    }
    (out, done)
}
