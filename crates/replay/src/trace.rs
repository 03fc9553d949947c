//! The text form of a trace.
//!
//! ```text
//! # comment
//! set replicas 18
//! 0.500 ask WORKSPACE DOCUMENT PROMPT_TOKENS ANSWER_TOKENS [priority=high] [deadline=5000]
//! 0.600 call WORKSPACE KEY
//! 3.000 fault kill-agent 2
//! ```
//! Times are seconds since the start and must not decrease.

use std::fmt::{self, Write as _};

use base::Time;

/// Sizes and speeds of the simulated deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Entry processes.
    pub entries: u64,
    /// Model replicas, each with an agent.
    pub replicas: u64,
    /// Servers of the plain service, each with an agent.
    pub plains: u64,
    /// Availability zones.
    pub zones: u64,
    /// Time of one engine step, microseconds.
    pub step_us: u64,
    /// Maximum number of runs in one batch.
    pub slots: u64,
    /// Prompt tokens computed in one step.
    pub prefill: u64,
    /// Blocks that fit into one engine's memory.
    pub blocks: u64,
    /// Store VMs.
    pub stores: u64,
    /// Blocks that fit into one store.
    pub store_blocks: u64,
    /// Bytes of one block.
    pub block_bytes: u64,
    /// Bytes per second between one agent and one store.
    pub link_rate: u64,
    /// One cache event in this many is lost; 0 for none.
    pub lose_every: u64,
    /// Time to load a weight version, microseconds.
    pub load_us: u64,
    /// Replicas that may load a weight version at the same time.
    pub parallel: u64,
    /// Maximum number of requests in flight per workspace.
    pub concurrency: u64,
    /// Weight of the time to first token in the routing cost, in thousandths.
    pub weigh_first: u64,
    /// Weight of recomputed prompt tokens in the routing cost, in thousandths.
    pub weigh_recompute: u64,
    /// Weight of link use in the routing cost, in thousandths.
    pub weigh_link: u64,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            entries: 2,
            replicas: 4,
            plains: 1,
            zones: 2,
            step_us: 6_000,
            slots: 16,
            prefill: 256,
            blocks: 128,
            stores: 2,
            store_blocks: 4_000,
            block_bytes: 16 << 20,
            link_rate: 1 << 30,
            lose_every: 50,
            load_us: 600_000,
            parallel: 2,
            concurrency: 200,
            weigh_first: 1_000,
            weigh_recompute: 200,
            weigh_link: 100,
        }
    }
}

impl Deployment {
    /// All settings with their names in the text form.
    pub fn fields(&mut self) -> [(&'static str, &mut u64); 19] {
        [
            ("entries", &mut self.entries),
            ("replicas", &mut self.replicas),
            ("plains", &mut self.plains),
            ("zones", &mut self.zones),
            ("step_us", &mut self.step_us),
            ("slots", &mut self.slots),
            ("prefill", &mut self.prefill),
            ("blocks", &mut self.blocks),
            ("stores", &mut self.stores),
            ("store_blocks", &mut self.store_blocks),
            ("block_bytes", &mut self.block_bytes),
            ("link_rate", &mut self.link_rate),
            ("lose_every", &mut self.lose_every),
            ("load_us", &mut self.load_us),
            ("parallel", &mut self.parallel),
            ("concurrency", &mut self.concurrency),
            ("weigh_first", &mut self.weigh_first),
            ("weigh_recompute", &mut self.weigh_recompute),
            ("weigh_link", &mut self.weigh_link),
        ]
    }
}

/// An `ask` line: a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Workspace of the caller.
    pub workspace: String,
    /// Document whose first tokens are the prompt.
    pub document: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens to generate.
    pub answer: u32,
    /// Priority: low, normal or high.
    pub priority: String,
    /// Deadline, milliseconds.
    pub deadline_ms: u64,
}

/// A fault, or a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A model replica and its agent crash.
    KillAgent(u64),
    /// They start again with an empty cache.
    ReviveAgent(u64),
    /// An entry crashes.
    KillEntry(u64),
    /// A store VM crashes and loses its blocks.
    KillStore(u64),
    /// A store VM reports that it is full.
    FillStore(u64),
    /// The links to a store slow down by this factor.
    SlowLink(u64, u64),
    /// The steps of a server take longer by this factor.
    SlowServer(u64, u64),
    /// A server advertises this rate limit, in runs per 1,000 s; `None` lifts it.
    LimitServer(u64, Option<u64>),
    /// The agent of a replica is asked to stop.
    StopAgent(u64),
    /// Rolls out the weight version with this number.
    Swap(u64),
    /// From now on, each replica crashes as it sends the first token of a response to a prompt from this document.
    Taint(u64),
}

/// One line of a trace after the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A prompt.
    Ask(Ask),
    /// A plain call that must run at most once.
    Call {
        /// Workspace of the caller.
        workspace: String,
        /// Idempotency key; a line with the same key again is a resend.
        key: u64,
    },
    /// A fault.
    Fault(Fault),
}

/// A trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Sizes and speeds of the deployment.
    pub deployment: Deployment,
    /// Requests and faults, sorted by time.
    pub lines: Vec<(Time, Line)>,
}

/// A line that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line number, starting at 1.
    pub line: usize,
    /// What is wrong, and what is allowed.
    pub text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

impl std::error::Error for ParseError {}

const MAX_SECONDS: f64 = 1e6;
const MAX_TOKENS: u64 = 1_000_000;
const MAX_PROCESSES: u64 = 1_000;

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    /// The first line that cannot be parsed.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut trace = Self::default();
        let mut last = Time::ZERO;
        for (index, line) in text.lines().enumerate() {
            let error = |text: String| ParseError { line: index + 1, text };
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                [] => {}
                [first, ..] if first.starts_with('#') => {}
                ["set", name, value] => trace.set(name, value).map_err(error)?,
                [time, rest @ ..] => {
                    let at = seconds(time).map_err(error)?;
                    if at < last {
                        return Err(error(
                            "the time is earlier than on the line before".to_owned(),
                        ));
                    }
                    last = at;
                    trace.lines.push((at, parse_line(rest).map_err(error)?));
                }
            }
        }
        Ok(trace)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        let number: u64 = value.parse().map_err(|_| format!("'{value}' is not a whole number"))?;
        let mut fields = self.deployment.fields();
        let Some((_, field)) = fields.iter_mut().find(|(known, _)| *known == name) else {
            let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
            return Err(format!("'{name}' is not a setting; allowed: {}", names.join(", ")));
        };
        let processes = ["entries", "replicas", "plains", "stores", "zones"].contains(&name);
        if processes && number > MAX_PROCESSES {
            return Err(format!("{name}: must be at most {MAX_PROCESSES}"));
        }
        if ["entries", "zones", "step_us", "link_rate", "slots", "prefill"].contains(&name)
            && number == 0
        {
            return Err(format!("{name}: must be at least 1"));
        }
        **field = number;
        Ok(())
    }

    /// The text form of the trace.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let mut deployment = self.deployment.clone();
        for (name, value) in deployment.fields() {
            let _ = writeln!(out, "set {name} {value}");
        }
        for (at, line) in &self.lines {
            let _ = writeln!(out, "{:.6} {line}", at.0 as f64 / 1e6);
        }
        out
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ask(ask) => write!(
                f,
                "ask {} {} {} {} priority={} deadline={}",
                ask.workspace, ask.document, ask.prompt, ask.answer, ask.priority, ask.deadline_ms
            ),
            Self::Call { workspace, key } => write!(f, "call {workspace} {key}"),
            Self::Fault(fault) => write!(f, "fault {fault}"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KillAgent(n) => write!(f, "kill-agent {n}"),
            Self::ReviveAgent(n) => write!(f, "revive-agent {n}"),
            Self::KillEntry(n) => write!(f, "kill-entry {n}"),
            Self::KillStore(n) => write!(f, "kill-store {n}"),
            Self::FillStore(n) => write!(f, "fill-store {n}"),
            Self::SlowLink(n, times) => write!(f, "slow-link {n} {times}"),
            Self::SlowServer(n, times) => write!(f, "slow-server {n} {times}"),
            Self::LimitServer(n, Some(limit)) => write!(f, "limit-server {n} {limit}"),
            Self::LimitServer(n, None) => write!(f, "limit-server {n} none"),
            Self::StopAgent(n) => write!(f, "stop-agent {n}"),
            Self::Swap(version) => write!(f, "swap {version}"),
            Self::Taint(document) => write!(f, "taint {document}"),
        }
    }
}

fn seconds(text: &str) -> Result<Time, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("'{text}' is not a time in seconds"))?;
    if !(0.0..=MAX_SECONDS).contains(&seconds) {
        return Err(format!("'{text}' is not between 0 and {MAX_SECONDS} seconds"));
    }
    Ok(Time((seconds * 1e6).round() as u64))
}

fn number(text: &str, max: u64) -> Result<u64, String> {
    let number = text.parse().ok().filter(|number| *number <= max);
    number.ok_or_else(|| format!("'{text}' is not a whole number up to {max}"))
}

fn parse_line(words: &[&str]) -> Result<Line, String> {
    match words {
        ["ask", workspace, document, prompt, answer, more @ ..] => {
            let mut ask = Ask {
                workspace: (*workspace).to_owned(),
                document: number(document, u64::MAX)?,
                prompt: number(prompt, MAX_TOKENS)?.max(1),
                answer: number(answer, 32_768)?.max(1) as u32,
                priority: "normal".to_owned(),
                deadline_ms: 120_000,
            };
            for word in more {
                match word.split_once('=') {
                    Some(("priority", p)) if ["low", "normal", "high"].contains(&p) => {
                        p.clone_into(&mut ask.priority);
                    }
                    Some(("deadline", ms)) => ask.deadline_ms = number(ms, 3_600_000)?.max(1),
                    _ => {
                        return Err(format!(
                            "'{word}': allowed are priority=low|normal|high and deadline=MS"
                        ));
                    }
                }
            }
            Ok(Line::Ask(ask))
        }
        ["call", workspace, key] => {
            Ok(Line::Call { workspace: (*workspace).to_owned(), key: number(key, u64::MAX)? })
        }
        ["fault", rest @ ..] => parse_fault(rest).map(Line::Fault),
        _ => Err("expected ask, call or fault after the time".to_owned()),
    }
}

fn parse_fault(words: &[&str]) -> Result<Fault, String> {
    let count = |text: &str| number(text, MAX_PROCESSES);
    match words {
        ["kill-agent", n] => Ok(Fault::KillAgent(count(n)?)),
        ["revive-agent", n] => Ok(Fault::ReviveAgent(count(n)?)),
        ["kill-entry", n] => Ok(Fault::KillEntry(count(n)?)),
        ["kill-store", n] => Ok(Fault::KillStore(count(n)?)),
        ["fill-store", n] => Ok(Fault::FillStore(count(n)?)),
        ["slow-link", n, times] => Ok(Fault::SlowLink(count(n)?, count(times)?.max(1))),
        ["slow-server", n, times] => Ok(Fault::SlowServer(count(n)?, count(times)?.max(1))),
        ["limit-server", n, "none"] => Ok(Fault::LimitServer(count(n)?, None)),
        ["limit-server", n, limit] => {
            Ok(Fault::LimitServer(count(n)?, Some(number(limit, u64::MAX)?)))
        }
        ["stop-agent", n] => Ok(Fault::StopAgent(count(n)?)),
        ["swap", version] => Ok(Fault::Swap(count(version)?)),
        ["taint", document] => Ok(Fault::Taint(number(document, u64::MAX)?)),
        _ => Err("expected kill-agent N, revive-agent N, kill-entry N, kill-store N, fill-store N, \
                  slow-link N TIMES, slow-server N TIMES, limit-server N LIMIT, stop-agent N, swap N \
                  or taint DOCUMENT"
            .to_owned()),
    }
}
