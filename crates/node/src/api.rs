//! The HTTP API for callers, as pure functions over text.
//!
//! Follows the completion and chat conventions of client libraries for language models.

use std::io::Write as _;
use std::sync::Arc;
use std::time::Duration;

use base::{Code, Name, RunId};
use serde_json::{Value, json};
use wire::{Call, Priority};

use crate::{Caller, ClientRequest, RequestKind, ResponseHead};

/// Maximum number of generated tokens of a request that names none.
const DEFAULT_MAX_TOKENS: u32 = 128;
/// Largest number of generated tokens that a request may ask for.
const MAX_TOKENS: u32 = 32_768;
/// Approximate size of a streamed chunk without its text, bytes.
const CHUNK_OVERHEAD: usize = 160;
/// Content type of JSON.
pub const JSON: &str = "application/json";
/// Content type of a streamed response.
pub const EVENT_STREAM: &str = "text/event-stream";
/// Last event of a complete streamed response.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// A caller's HTTP request as the edge received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }
}

/// Parses a request.
///
/// # Errors
/// The code and a message for an invalid request.
pub fn parse(request: &Request) -> Result<ClientRequest, (Code, String)> {
    let caller = caller(request)?;
    let path = request.path.split('?').next().unwrap_or_default();
    let kind = match (request.method.as_str(), path) {
        ("POST", "/v1/completions") => prompt(&request.body, false)?,
        ("POST", "/v1/chat/completions") => prompt(&request.body, true)?,
        ("GET", "/v1/models") => RequestKind::Models,
        _ => RequestKind::Call(call(request)?),
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method.as_bytes());
    hasher.update(request.path.as_bytes());
    hasher.update(&request.body);
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Ok(ClientRequest { caller, kind, digest })
}

fn bad_header(name: &str, allowed: &str) -> (Code, String) {
    (Code::BadHeader, format!("{name}: {allowed}"))
}

fn caller(request: &Request) -> Result<Caller, (Code, String)> {
    let key = request.header("authorization").unwrap_or_default();
    let mut caller = Caller {
        key: key.strip_prefix("Bearer ").unwrap_or_default().trim().to_owned(),
        ..Caller::default()
    };
    if let Some(once) = request.header("idempotency-key") {
        if once.is_empty() || once.len() > 200 {
            return Err(bad_header("idempotency-key", "1 to 200 bytes"));
        }
        caller.idempotency_key = Some(Name::new(once));
    }
    caller.idempotent = match request.header("x-tamarack-idempotent") {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(_) => return Err(bad_header("x-tamarack-idempotent", "true, false")),
    };
    caller.priority = match request.header("x-tamarack-priority") {
        None | Some("normal") => Priority::Normal,
        Some("low") => Priority::Low,
        Some("high") => Priority::High,
        Some(_) => return Err(bad_header("x-tamarack-priority", "low, normal, high")),
    };
    if let Some(text) = request.header("x-tamarack-deadline-ms") {
        let millis = text.parse().ok().filter(|millis| (1..=3_600_000).contains(millis));
        let Some(millis) = millis else {
            return Err(bad_header("x-tamarack-deadline-ms", "1 to 3600000"));
        };
        caller.deadline = Some(Duration::from_millis(millis));
    }
    Ok(caller)
}

fn prompt(body: &[u8], chat: bool) -> Result<RequestKind, (Code, String)> {
    let bad = |text: &str| (Code::BadBody, text.to_owned());
    let value: Value =
        serde_json::from_slice(body).map_err(|error| (Code::BadBody, error.to_string()))?;
    let model = value["model"].as_str().ok_or_else(|| bad("model: a string is needed"))?;
    let text = if chat { messages(&value["messages"]) } else { plain_prompt(&value["prompt"]) };
    let what = if chat { "messages: a list of role and content" } else { "prompt: a string" };
    let text = text.ok_or_else(|| bad(what))?;
    let max_tokens = match &value["max_tokens"] {
        Value::Null => DEFAULT_MAX_TOKENS,
        found => found
            .as_u64()
            .and_then(|count| u32::try_from(count).ok())
            .filter(|count| (1..=MAX_TOKENS).contains(count))
            .ok_or_else(|| bad("max_tokens: 1 to 32768"))?,
    };
    let stream = match &value["stream"] {
        Value::Null => false,
        Value::Bool(stream) => *stream,
        _ => return Err(bad("stream: true, false")),
    };
    Ok(RequestKind::Prompt { model: Name::new(model), text, max_tokens, stream, chat })
}

fn plain_prompt(value: &Value) -> Option<Arc<str>> {
    value.as_str().map(Arc::from)
}

fn messages(value: &Value) -> Option<Arc<str>> {
    let mut text = String::new();
    for message in value.as_array()? {
        text.push_str(message["role"].as_str()?);
        text.push_str(": ");
        text.push_str(message["content"].as_str()?);
        text.push('\n');
    }
    Some(Arc::from(text))
}

fn call(request: &Request) -> Result<Call, (Code, String)> {
    let rest = request.path.strip_prefix("/svc/");
    let Some(rest) = rest else {
        return Err((Code::NoSuchPath, format!("{} {}", request.method, request.path)));
    };
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(split);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok(Call {
        service: Name::new(service),
        method: request.method.clone(),
        path,
        content_type: request.header("content-type").unwrap_or_default().to_owned(),
        body: request.body.clone(),
    })
}

/// Head of a response with this status, code and content type.
pub fn head(run: Option<RunId>, code: Code, status: u16, content_type: &str) -> ResponseHead {
    let mut headers = vec![("x-tamarack-fate", code.fate().as_str().to_owned())];
    if let Some(run) = run {
        headers.push(("x-request-id", run.to_string()));
    }
    ResponseHead { status, content_type: content_type.to_owned(), headers }
}

/// Head and body of a rejection.
pub fn rejection(
    run: Option<RunId>,
    code: Code,
    text: &str,
    retry: Duration,
) -> (ResponseHead, Vec<u8>) {
    let mut head = head(run, code, code.status(), JSON);
    if code.retryable() {
        let seconds = retry.as_millis().div_ceil(1_000).max(1);
        head.headers.push(("retry-after", seconds.to_string()));
    }
    let body = error(code, text, retry);
    (head, body.to_string().into_bytes())
}

fn error(code: Code, text: &str, retry: Duration) -> Value {
    let retry_ms = code.retryable().then_some(retry.as_millis() as u64);
    json!({ "error": {
        "code": code.number(),
        "type": code.as_str(),
        "message": text,
        "fate": code.fate().as_str(),
        "retry_after_ms": retry_ms,
    }})
}

/// An event that ends a stream without [`DONE`].
pub fn error_event(code: Code, text: &str) -> Vec<u8> {
    format!("data: {}\n\n", error(code, text, Duration::ZERO)).into_bytes()
}

/// A streamed chunk of text.
pub fn chunk(run: RunId, model: &Name, chat: bool, text: &str, finish: Option<&str>) -> Vec<u8> {
    // Called for each token, so the JSON is written directly, without building a value.
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let (open, close) = if chat { ("\"delta\":{\"content\":", "}") } else { ("\"text\":", "") };
    let mut out = Vec::with_capacity(CHUNK_OVERHEAD + text.len());
    let _ = write!(out, "data: {{\"id\":\"{run}\",\"object\":\"{object}\",\"model\":");
    quote(&mut out, model);
    let _ = write!(out, ",\"choices\":[{{\"index\":0,{open}");
    quote(&mut out, text);
    let _ = write!(out, "{close},\"finish_reason\":");
    match finish {
        Some(finish) => quote(&mut out, finish),
        None => out.extend_from_slice(b"null"),
    }
    out.extend_from_slice(b"}]}\n\n");
    out
}

/// Writes a text as a JSON string; writing to memory cannot fail.
fn quote(out: &mut Vec<u8>, text: &str) {
    let _ = serde_json::to_writer(out, text);
}

/// A complete response in one body.
pub fn complete(
    run: RunId,
    model: &Name,
    chat: bool,
    text: &str,
    usage: (u32, u32, u32),
) -> Vec<u8> {
    let choice = if chat {
        let message = json!({ "role": "assistant", "content": text });
        json!({ "index": 0, "message": message, "finish_reason": "stop" })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop" })
    };
    let (computed, cached, generated) = usage;
    let object = if chat { "chat.completion" } else { "text_completion" };
    let value = json!({
        "id": run.to_string(), "object": object, "model": &**model, "choices": [choice],
        "usage": {
            "prompt_tokens": computed + cached,
            "completion_tokens": generated,
            "total_tokens": computed + cached + generated,
            "prompt_tokens_details": { "cached_tokens": cached },
        },
    });
    value.to_string().into_bytes()
}

/// A stored response in the requested format: content type and body.
pub fn stored(run: RunId, request: &RequestKind, kind: &Name, body: &[u8]) -> (String, Vec<u8>) {
    let text = || String::from_utf8_lossy(body);
    match request {
        RequestKind::Prompt { model, stream: true, chat, .. } => {
            let mut bytes = chunk(run, model, *chat, &text(), None);
            bytes.extend(chunk(run, model, *chat, "", Some("stop")));
            bytes.extend_from_slice(DONE);
            (EVENT_STREAM.to_owned(), bytes)
        }
        RequestKind::Prompt { model, chat, .. } => {
            (JSON.to_owned(), complete(run, model, *chat, &text(), (0, 0, 0)))
        }
        RequestKind::Call(_) | RequestKind::Models => (kind.to_string(), body.to_vec()),
    }
}

/// The list of models.
pub fn models(names: &[Name]) -> Vec<u8> {
    let data: Vec<Value> =
        names.iter().map(|name| json!({ "id": &**name, "object": "model" })).collect();
    json!({ "object": "list", "data": data }).to_string().into_bytes()
}
