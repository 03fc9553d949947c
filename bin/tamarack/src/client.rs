//! HTTP client for the operators' address of a process.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest response in bytes: a dump of some thousand records and servers.
const MAX_RESPONSE: u64 = 16 << 20;

/// Why a command failed.
#[derive(Debug)]
pub enum Error {
    /// The request was rejected, or the command failed locally.
    Rejected(String),
    /// The process did not respond.
    Unreachable(String),
}

#[derive(Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    key: String,
    by: String,
    /// Whether commands print JSON instead of tables.
    pub json: bool,
}

impl Client {
    pub fn new(at: &str, key: &str, by: &str, json: bool) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            base: format!("http://{at}"),
            key: key.to_owned(),
            by: by.to_owned(),
            json,
        }
    }

    /// Sends a GET request; returns the body of a successful response.
    pub fn get(&self, path: &str) -> Result<Value, Error> {
        self.send("GET", path, "", "")
    }

    /// Sends a request; returns the body of a successful response.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        body: &str,
        request: &str,
    ) -> Result<Value, Error> {
        let url = format!("{}{path}", self.base);
        let unreachable = |error: String| Error::Unreachable(format!("{url}: {error}"));
        let mut builder = ureq::http::Request::builder()
            .method(method)
            .uri(&url)
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-operator", &self.by);
        if !request.is_empty() {
            builder = builder.header("x-request-id", request);
        }
        let built =
            builder.body(body.to_owned()).map_err(|error| unreachable(error.to_string()))?;
        let mut response = self.agent.run(built).map_err(|error| unreachable(error.to_string()))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_RESPONSE).read_to_string();
        let text = body.map_err(|error| unreachable(error.to_string()))?;
        let value: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        if (200..300).contains(&status) {
            return Ok(value);
        }
        let error = &value["error"];
        let mut text = match error["code"].as_u64() {
            Some(code) => format!("{code} {}", error["message"].as_str().unwrap_or_default()),
            None => format!("HTTP {status} {text}"),
        };
        if value["winner"].is_object() {
            text.push_str(&format!("\ncurrent record: {}", value["winner"]));
        }
        Err(Error::Rejected(text))
    }
}
