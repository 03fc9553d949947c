//! Results of a replay.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// An invariant that did not hold, and what was observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub name: &'static str,
    /// What was observed.
    pub text: String,
}

/// The figures of one replay.
#[derive(Debug)]
pub struct Outcome {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete, successful response.
    pub completed: u64,
    /// Prompts completed within their deadline.
    pub met_deadline: u64,
    /// Time to first token, microseconds.
    pub first_token_us: Histogram<u64>,
    /// Arrival in seconds, time to first token and workspace of each completed prompt.
    pub points: Vec<(f64, Duration, String)>,
    /// Prompt tokens of all completed requests.
    pub prompt_tokens: u64,
    /// Prompt tokens computed by engines.
    pub computed_tokens: u64,
    /// Prompt tokens that would have been computed if every complete prefix block seen before were cached.
    pub min_computed_tokens: u64,
    /// Bytes fetched from each store.
    pub fetched_by_store: BTreeMap<String, u64>,
    /// Bytes saved to each store.
    pub saved_by_store: BTreeMap<String, u64>,
    /// Number of failed requests by error code.
    pub codes: BTreeMap<u64, u64>,
    /// Invariants that did not hold.
    pub violations: Vec<Violation>,
    /// Time from the first to the last line of the trace.
    pub span: Duration,
}

impl Default for Outcome {
    fn default() -> Self {
        const MAX_US: u64 = 3_600_000_000;
        const DIGITS: u8 = 3;
        let first = Histogram::new_with_max(MAX_US, DIGITS);
        Self {
            requests: 0,
            completed: 0,
            met_deadline: 0,
            // Cannot fail: the library accepts these constants.
            first_token_us: first.unwrap_or_else(|_| Histogram::new(DIGITS).expect("three digits")),
            points: Vec::new(),
            prompt_tokens: 0,
            computed_tokens: 0,
            min_computed_tokens: 0,
            fetched_by_store: BTreeMap::new(),
            saved_by_store: BTreeMap::new(),
            codes: BTreeMap::new(),
            violations: Vec::new(),
            span: Duration::ZERO,
        }
    }
}

impl Outcome {
    /// Time to first token at a quantile, milliseconds.
    pub fn first_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Time to first token at a quantile, milliseconds, among requests that arrived within `span`
    /// seconds and whose workspace passes `of`.
    pub fn first_ms_of(
        &self,
        quantile: f64,
        span: (f64, f64),
        of: impl Fn(&str) -> bool,
    ) -> Option<f64> {
        let mut found: Vec<Duration> = self
            .points
            .iter()
            .filter(|(at, _, workspace)| (span.0..span.1).contains(at) && of(workspace))
            .map(|(_, first, _)| *first)
            .collect();
        found.sort_unstable();
        let index = ((found.len() as f64 - 1.0) * quantile).round() as usize;
        found.get(index).map(|first| first.as_secs_f64() * 1e3)
    }

    /// Ratio of computed prompt tokens to the minimum.
    pub fn computed_ratio(&self) -> f64 {
        self.computed_tokens as f64 / self.min_computed_tokens.max(1) as f64
    }

    /// Prompts completed within their deadline, per second.
    pub fn goodput(&self) -> f64 {
        self.met_deadline as f64 / self.span.as_secs_f64().max(1e-9)
    }

    /// Bytes fetched from stores.
    pub fn fetched_bytes(&self) -> u64 {
        self.fetched_by_store.values().sum()
    }

    /// The figures as JSON.
    pub fn json(&self) -> Value {
        let violations: Vec<Value> = self
            .violations
            .iter()
            .map(|violation| json!({ "promise": violation.name, "seen": violation.text }))
            .collect();
        json!({
            "asked": self.requests,
            "whole": self.completed,
            "goodput_per_s": self.goodput(),
            "first_token_ms": {
                "p50": self.first_ms(0.5), "p95": self.first_ms(0.95), "p99": self.first_ms(0.99),
            },
            "prompt_tokens": self.prompt_tokens,
            "computed_tokens": self.computed_tokens,
            "least_tokens": self.min_computed_tokens,
            "computed_to_least": self.computed_ratio(),
            "fetched_bytes": self.fetched_by_store,
            "kept_bytes": self.saved_by_store,
            "codes": self.codes.iter().map(|(c, n)| (c.to_string(), *n)).collect::<BTreeMap<_, _>>(),
            "broken": violations,
        })
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const MIB: u64 = 1 << 20;
        writeln!(f, "requests              {:>10}", self.requests)?;
        writeln!(f, "completed             {:>10}", self.completed)?;
        writeln!(f, "goodput /s            {:>10.2}", self.goodput())?;
        writeln!(f, "first token ms p50    {:>10.1}", self.first_ms(0.5))?;
        writeln!(f, "first token ms p95    {:>10.1}", self.first_ms(0.95))?;
        writeln!(f, "first token ms p99    {:>10.1}", self.first_ms(0.99))?;
        let share = 100.0 * self.computed_tokens as f64 / self.prompt_tokens.max(1) as f64;
        writeln!(f, "prompt computed %     {share:>10.1}")?;
        writeln!(f, "computed to minimum   {:>10.3}", self.computed_ratio())?;
        for (store, bytes) in &self.fetched_by_store {
            writeln!(f, "fetched from {store:<9}{:>6} MiB", bytes / MIB)?;
        }
        for (store, bytes) in &self.saved_by_store {
            writeln!(f, "saved to {store:<13}{:>6} MiB", bytes / MIB)?;
        }
        for (code, count) in &self.codes {
            writeln!(f, "code {code:<17}{count:>10}")?;
        }
        writeln!(f, "invariants violated   {:>10}", self.violations.len())?;
        for violation in self.violations.iter().take(10) {
            writeln!(f, "  {}: {}", violation.name, violation.text)?;
        }
        Ok(())
    }
}
