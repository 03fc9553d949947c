//! Metrics in the Prometheus text format.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use base::Code;
use node::decision::{Permit, SavePermit, Waited};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
    Registry, TextEncoder,
};
use resume::Refusal;
use wire::Frame;

/// Kinds of notices from servers, as label values.
const NOTICES: [&str; 3] = ["leaving", "pause", "unreadable"];
/// Causes of crashes of servers, as label values.
const CRASH_CAUSES: [&str; 2] = ["unknown", "segment"];
/// What was done with tokens, as label values.
const TOKENS: [&str; 3] = ["computed", "cached", "generated"];
/// Software version of the server at which a stream was resumed, against the one before, as label values.
const SOFTWARE: [&str; 2] = ["same", "other"];
/// Label value of a stream that goes on after the client resumed it.
pub const GOES_ON: &str = "goes on";
/// Outcomes of streams that clients resumed.
const RESUMPTIONS: [&str; 6] = [
    GOES_ON,
    Refusal::UnknownOrigin.as_str(),
    Refusal::NoAnswer.as_str(),
    Refusal::OtherService.as_str(),
    Refusal::VersionGone.as_str(),
    Refusal::VersionUnavailable(Duration::ZERO).as_str(),
];
/// Outcomes of permit requests.
const PERMITS: [Permit; 4] = [Permit::Granted, Permit::Denied, Permit::Unanswered, Permit::Standby];
/// Limits on clients, as label values.
const CLIENT_LIMITS: [&str; 7] = [
    "body size",
    "body rate",
    "body memory",
    "response memory",
    "callers' connections",
    "operators' connections",
    "unknown links",
];
/// Directions of bytes on a link, as label values.
const OUT: &str = "out";
const IN: &str = "in";

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    took: Histogram,
    first: Histogram,
    tokens: IntCounterVec,
    fetched: IntCounter,
    link: IntCounterVec,
    frames: IntCounterVec,
    links: IntCounter,
    lost: IntCounter,
    old_weights: IntCounter,
    limits_unreadable: IntCounter,
    notices: IntCounterVec,
    permits: IntCounterVec,
    save_permits: IntCounterVec,
    queue_wait: HistogramVec,
    resumed: IntCounterVec,
    resumptions: IntCounterVec,
    crashes: IntCounterVec,
    held_back: IntCounter,
    trials: IntCounter,
    client_limits: IntCounterVec,
    gauges: Mutex<HashMap<&'static str, Gauge>>,
}

impl Metrics {
    /// Creates the metrics in their own registry.
    ///
    /// # Errors
    /// A name is invalid or used twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let seconds = |name: &str, help: &str| {
            let buckets = prometheus::exponential_buckets(0.001, 2.0, 18)?;
            Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
        };
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("tamarack_requests_total", "Requests ended, by result code"),
                &["code"],
            )?,
            took: seconds("tamarack_request_seconds", "Time from arrival to end")?,
            first: seconds("tamarack_first_token_seconds", "Time from arrival to first token")?,
            tokens: IntCounterVec::new(
                Opts::new("tamarack_tokens_total", "Tokens, by what was done with them"),
                &["what"],
            )?,
            fetched: IntCounter::new("tamarack_fetched_pieces_total", "Pieces asked from stores")?,
            link: IntCounterVec::new(
                Opts::new("tamarack_link_bytes_total", "Bytes on links to other processes"),
                &["way"],
            )?,
            frames: IntCounterVec::new(
                Opts::new("tamarack_frames_total", "Frames on links to other processes, by kind"),
                &["way", "kind"],
            )?,
            links: IntCounter::new("tamarack_links_total", "Links that came up")?,
            lost: IntCounter::new("tamarack_tries_failed_total", "Tries at servers that failed")?,
            old_weights: IntCounter::new(
                "tamarack_old_weights_requests_total",
                "Forwarded requests sent to a server whose weight version was not the newest",
            )?,
            limits_unreadable: IntCounter::new(
                "tamarack_limits_unreadable_total",
                "Answers whose server named a limit that is no rate",
            )?,
            notices: IntCounterVec::new(
                Opts::new(
                    "tamarack_server_notices_total",
                    "What servers without an agent said: that they leave, a pause, a pause that is no time",
                ),
                &["what"],
            )?,
            permits: IntCounterVec::new(
                Opts::new(
                    "tamarack_permits_total",
                    "Requests best sent to a server with a limit, by what came of it",
                ),
                &["outcome"],
            )?,
            save_permits: IntCounterVec::new(
                Opts::new(
                    "tamarack_save_permits_total",
                    "Requests, by the outcome of their request for a permit to save prompt segments",
                ),
                &["outcome"],
            )?,
            queue_wait: HistogramVec::new(
                HistogramOpts::new(
                    "tamarack_queue_wait_seconds",
                    "Time that forwarded requests waited for a server, by how the wait ended",
                )
                .buckets(prometheus::exponential_buckets(0.01, 2.0, 9)?),
                &["outcome"],
            )?,
            resumed: IntCounterVec::new(
                Opts::new(
                    "tamarack_streams_resumed_total",
                    "Streams resumed at another server within one response, by its software version against the one before",
                ),
                &["software"],
            )?,
            resumptions: IntCounterVec::new(
                Opts::new(
                    "tamarack_stream_resumptions_total",
                    "Streams that clients resumed or that could not go on within their response, by outcome",
                ),
                &["outcome"],
            )?,
            crashes: IntCounterVec::new(
                Opts::new(
                    "tamarack_server_crashes_total",
                    "Crashes of servers without an agent: all of them as unknown, then those that prompt segments or requests explain",
                ),
                &["cause"],
            )?,
            held_back: IntCounter::new(
                "tamarack_quarantined_requests_total",
                "Requests rejected because they or a segment of their prompt crash servers",
            )?,
            trials: IntCounter::new(
                "tamarack_quarantine_trials_total",
                "Permitted trials of quarantined prompt segments and requests",
            )?,
            client_limits: IntCounterVec::new(
                Opts::new(
                    "tamarack_client_limits_total",
                    "Requests rejected, connections closed and responses paused by a limit on clients, by limit",
                ),
                &["limit"],
            )?,
            gauges: Mutex::new(HashMap::new()),
        };
        metrics.registry.register(Box::new(metrics.requests.clone()))?;
        metrics.registry.register(Box::new(metrics.took.clone()))?;
        metrics.registry.register(Box::new(metrics.first.clone()))?;
        metrics.registry.register(Box::new(metrics.tokens.clone()))?;
        metrics.registry.register(Box::new(metrics.fetched.clone()))?;
        metrics.registry.register(Box::new(metrics.link.clone()))?;
        metrics.registry.register(Box::new(metrics.frames.clone()))?;
        metrics.registry.register(Box::new(metrics.links.clone()))?;
        metrics.registry.register(Box::new(metrics.lost.clone()))?;
        metrics.registry.register(Box::new(metrics.old_weights.clone()))?;
        metrics.registry.register(Box::new(metrics.limits_unreadable.clone()))?;
        metrics.registry.register(Box::new(metrics.permits.clone()))?;
        metrics.registry.register(Box::new(metrics.save_permits.clone()))?;
        metrics.registry.register(Box::new(metrics.queue_wait.clone()))?;
        metrics.registry.register(Box::new(metrics.resumed.clone()))?;
        metrics.registry.register(Box::new(metrics.resumptions.clone()))?;
        metrics.registry.register(Box::new(metrics.notices.clone()))?;
        metrics.registry.register(Box::new(metrics.crashes.clone()))?;
        metrics.registry.register(Box::new(metrics.held_back.clone()))?;
        metrics.registry.register(Box::new(metrics.trials.clone()))?;
        metrics.registry.register(Box::new(metrics.client_limits.clone()))?;
        // Created at the start, so that the first increment shows as a rise from 0.
        metrics.requests.with_label_values(&[&Code::Ok.number().to_string()]);
        for outcome in PERMITS {
            metrics.permits.with_label_values(&[outcome.as_str()]);
        }
        for outcome in SavePermit::ALL {
            metrics.save_permits.with_label_values(&[outcome.as_str()]);
        }
        for outcome in [Waited::Sent, Waited::Ended] {
            metrics.queue_wait.with_label_values(&[outcome.as_str()]);
        }
        for outcome in RESUMPTIONS {
            metrics.resumptions.with_label_values(&[outcome]);
        }
        for software in SOFTWARE {
            metrics.resumed.with_label_values(&[software]);
        }
        for what in NOTICES {
            metrics.notices.with_label_values(&[what]);
        }
        for cause in CRASH_CAUSES {
            metrics.crashes.with_label_values(&[cause]);
        }
        for what in TOKENS {
            metrics.tokens.with_label_values(&[what]);
        }
        for limit in CLIENT_LIMITS {
            metrics.client_limits.with_label_values(&[limit]);
        }
        for way in [OUT, IN] {
            metrics.link.with_label_values(&[way]);
            metrics.frames.with_label_values(&[way, Frame::Idle.kind()]);
        }
        Ok(metrics)
    }

    /// Counts a limit on clients that acted.
    pub fn record_limit(&self, limit: &str) {
        self.client_limits.with_label_values(&[limit]).inc();
    }

    /// Counts a failed attempt.
    pub fn record_failed_attempt(&self) {
        self.lost.inc();
    }

    /// Counts a request whose server did not hold the newest weight version.
    pub fn record_old_weights(&self) {
        self.old_weights.inc();
    }

    /// Counts a permit request by outcome.
    pub fn record_permit(&self, outcome: Permit) {
        self.permits.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Counts a request by the outcome of its request for a permit to save segments.
    pub fn record_save_permit(&self, outcome: SavePermit) {
        self.save_permits.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Records the time that a request waited for a server.
    pub fn record_queue_wait(&self, outcome: Waited, waited: Duration) {
        self.queue_wait.with_label_values(&[outcome.as_str()]).observe(waited.as_secs_f64());
    }

    /// Counts a stream that was resumed at another server; `same` if that has the same software version.
    pub fn record_resumed(&self, same: bool) {
        self.resumed.with_label_values(&[if same { SOFTWARE[0] } else { SOFTWARE[1] }]).inc();
    }

    /// Counts a stream that a client resumed, or that could not go on within its response.
    pub fn record_resumption(&self, outcome: &str) {
        self.resumptions.with_label_values(&[outcome]).inc();
    }

    /// Counts a response with an invalid rate limit.
    pub fn record_invalid_limit(&self) {
        self.limits_unreadable.inc();
    }

    /// Counts a server that was first announced as leaving.
    pub fn record_leaving(&self) {
        self.notices.with_label_values(&["leaving"]).inc();
    }

    /// Counts a backoff that a server requested.
    pub fn record_backoff(&self) {
        self.notices.with_label_values(&["pause"]).inc();
    }

    /// Counts a response with an invalid backoff.
    pub fn record_invalid_backoff(&self) {
        self.notices.with_label_values(&["unreadable"]).inc();
    }

    /// Counts a crash of a server by cause.
    pub fn record_crash(&self, cause: &'static str) {
        self.crashes.with_label_values(&[cause]).inc();
    }

    /// Counts a request that was rejected because it or a segment of its prompt is quarantined.
    pub fn record_held_back(&self) {
        self.held_back.inc();
    }

    /// Counts a permitted trial of a quarantined prompt segment or request.
    pub fn record_trial(&self) {
        self.trials.inc();
    }

    /// Counts a request that has ended.
    pub fn record_request(&self, code: Code, took: Duration, first: Option<Duration>) {
        self.requests.with_label_values(&[&code.number().to_string()]).inc();
        self.took.observe(took.as_secs_f64());
        if let Some(first) = first {
            self.first.observe(first.as_secs_f64());
        }
    }

    /// Counts the tokens and fetched blocks of a complete response.
    pub fn record_tokens(&self, computed: u32, cached: u32, generated: u32, fetched: u32) {
        for (what, count) in TOKENS.into_iter().zip([computed, cached, generated]) {
            self.tokens.with_label_values(&[what]).inc_by(u64::from(count));
        }
        self.fetched.inc_by(u64::from(fetched));
    }

    /// Counts a link that was established.
    pub fn record_link(&self) {
        self.links.inc();
    }

    /// Counts bytes sent to other processes.
    pub fn record_sent(&self, bytes: usize) {
        self.link.with_label_values(&[OUT]).inc_by(bytes as u64);
    }

    /// Counts a frame sent to another process.
    pub fn record_sent_frame(&self, frame: &Frame) {
        self.frames.with_label_values(&[OUT, frame.kind()]).inc();
    }

    /// Counts a frame received from another process.
    pub fn record_received_frame(&self, frame: &Frame) {
        self.frames.with_label_values(&[IN, frame.kind()]).inc();
    }

    /// Counts bytes received from other processes.
    pub fn record_received(&self, bytes: usize) {
        self.link.with_label_values(&[IN]).inc_by(bytes as u64);
    }

    /// Sets gauges.
    pub fn set_gauges(&self, values: &[(&'static str, f64)]) {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in values {
            if let Some(gauge) = gauges.get(name) {
                gauge.set(*value);
                continue;
            }
            let Ok(gauge) = Gauge::new(*name, "See docs/OPERATORS.md") else { continue };
            gauge.set(*value);
            if self.registry.register(Box::new(gauge.clone())).is_ok() {
                gauges.insert(name, gauge);
            }
        }
    }

    /// All metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        if let Err(error) = encoded {
            log::warn!("metrics: {error}");
        }
        bytes
    }
}
