//! Benchmarks.

mod commits;
mod load;
mod slopes;

use serde_json::Value;

use crate::args::{Bench, BenchKind};
use crate::client::Error;

/// Runs a benchmark and prints its figures as JSON.
pub fn run(bench: &Bench) -> Result<(), Error> {
    let value = match &bench.kind {
        BenchKind::Load(args) => load::run(args)?,
        BenchKind::Idle(args) => load::idle(args),
        BenchKind::Commits(args) => commits::run(args)?,
        BenchKind::Route(_) => slopes::route(),
        BenchKind::Memory(_) => slopes::memory(),
        BenchKind::Recovery(_) => slopes::recovery()?,
    };
    println!("{value:#}");
    Ok(())
}

/// Resident memory of this process, bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Quantiles of a histogram of microseconds, in milliseconds.
fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> Value {
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    serde_json::json!({ "count": histogram.len(), "p50": ms(0.5), "p95": ms(0.95), "p99": ms(0.99) })
}

fn histogram() -> Result<hdrhistogram::Histogram<u64>, Error> {
    hdrhistogram::Histogram::new(3).map_err(|error| Error::Rejected(error.to_string()))
}
