//! The text form of a trace.
//!
//! ```text
//! # comment
//! set replicas 18
//! 0.500 ask WORKSPACE DOCUMENT PROMPT_TOKENS ANSWER_TOKENS [priority=high] [deadline=5000]
//! 0.600 call WORKSPACE KEY
//! 3.000 fault kill-agent 2
//! ```
//! Times are seconds since the start and never go back.

use std::fmt::{self, Write as _};

use base::Time;

/// Sizes and speeds of what the trace runs on.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Entries.
    pub entries: u64,
    /// Model replicas.
    pub replicas: u64,
    /// Plain services.
    pub plains: u64,
    /// Availability zones.
    pub zones: u64,
    /// Time of one engine step, microseconds.
    pub step_us: u64,
    /// Runs in one batch.
    pub slots: u64,
    /// Prompt tokens computed in one step.
    pub prefill: u64,
    /// Blocks in one engine's memory.
    pub blocks: u64,
    /// Store VMs.
    pub stores: u64,
    /// Blocks that one store holds.
    pub store_blocks: u64,
    /// Bytes of one block.
    pub block_bytes: u64,
    /// Bytes per second between one agent and one store.
    pub link_rate: u64,
    /// Every how many cache events one is lost.
    pub lose_every: u64,
    /// Time to load a weight version, microseconds.
    pub load_us: u64,
    /// Loads that the weight store carries at once.
    pub parallel: u64,
    /// Most requests that one workspace may have under way.
    pub concurrency: u64,
    /// Weights in thousandths: time to first token.
    pub weigh_first: u64,
    /// Weights in thousandths: recomputed prompt work.
    pub weigh_recompute: u64,
    /// Weights in thousandths: link use.
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
    /// Every setting by its name.
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

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Workspace.
    pub workspace: String,
    /// Document that the prompt is the beginning of.
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

/// Something that goes wrong, or a planned change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A model replica and its agent die.
    KillAgent(u64),
    /// They come back, empty.
    ReviveAgent(u64),
    /// An entry dies.
    KillEntry(u64),
    /// A store VM dies.
    KillStore(u64),
    /// A store VM says that it is full.
    FillStore(u64),
    /// Links to a store move this many times fewer bytes.
    SlowLink(u64, u64),
    /// A server takes this many times longer for each step.
    SlowServer(u64, u64),
    /// A server names this many runs in a thousand seconds as its limit; none lifts it.
    LimitServer(u64, Option<u64>),
    /// A replica is asked to stop.
    StopAgent(u64),
    /// The weight version of this number shall be rolled out.
    Swap(u64),
}

/// One line after the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A prompt.
    Ask(Ask),
    /// A plain call that may be done only once.
    Call {
        /// Workspace.
        workspace: String,
        /// The caller's key; the same one again is a resend.
        key: u64,
    },
    /// A fault.
    Fault(Fault),
}

/// A trace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// What it runs on.
    pub deployment: Deployment,
    /// What happens, in the order of time.
    pub lines: Vec<(Time, Line)>,
}

/// A line that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

impl std::error::Error for ParseError {}

const MOST_SECONDS: f64 = 1e6;
const MOST_TOKENS: u64 = 1_000_000;
const MOST_PROCESSES: u64 = 1_000;

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    /// The first line that cannot be read.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        let mut trace = Self::default();
        let mut last = Time::ZERO;
        for (place, line) in text.lines().enumerate() {
            let mistake = |text: String| ParseError { line: place + 1, text };
            let words: Vec<&str> = line.split_whitespace().collect();
            match words.as_slice() {
                [] => {}
                [first, ..] if first.starts_with('#') => {}
                ["set", name, value] => trace.set(name, value).map_err(mistake)?,
                [time, rest @ ..] => {
                    let at = seconds(time).map_err(mistake)?;
                    if at < last {
                        return Err(mistake("the time goes back".to_owned()));
                    }
                    last = at;
                    trace.lines.push((at, read(rest).map_err(mistake)?));
                }
            }
        }
        Ok(trace)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        let number: u64 = value.parse().map_err(|_| format!("'{value}' is no whole number"))?;
        let mut fields = self.deployment.fields();
        let Some((_, field)) = fields.iter_mut().find(|(known, _)| *known == name) else {
            let names: Vec<&str> = fields.iter().map(|(name, _)| *name).collect();
            return Err(format!("'{name}' is no setting; allowed: {}", names.join(", ")));
        };
        let processes = ["entries", "replicas", "plains", "stores", "zones"].contains(&name);
        if processes && number > MOST_PROCESSES {
            return Err(format!("{name}: at most {MOST_PROCESSES}"));
        }
        if ["entries", "zones", "step_us", "link_rate", "slots", "prefill"].contains(&name)
            && number == 0
        {
            return Err(format!("{name}: at least 1"));
        }
        **field = number;
        Ok(())
    }

    /// The trace as text.
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
        }
    }
}

fn seconds(text: &str) -> Result<Time, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("'{text}' is no time in seconds"))?;
    if !(0.0..=MOST_SECONDS).contains(&seconds) {
        return Err(format!("'{text}' is not within 0 to {MOST_SECONDS} seconds"));
    }
    Ok(Time((seconds * 1e6).round() as u64))
}

fn number(text: &str, most: u64) -> Result<u64, String> {
    let number = text.parse().ok().filter(|number| *number <= most);
    number.ok_or_else(|| format!("'{text}' is no whole number up to {most}"))
}

fn read(words: &[&str]) -> Result<Line, String> {
    match words {
        ["ask", workspace, document, prompt, answer, more @ ..] => {
            let mut ask = Ask {
                workspace: (*workspace).to_owned(),
                document: number(document, u64::MAX)?,
                prompt: number(prompt, MOST_TOKENS)?.max(1),
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
                    _ => return Err(format!("'{word}': priority=low|normal|high, deadline=MS")),
                }
            }
            Ok(Line::Ask(ask))
        }
        ["call", workspace, key] => {
            Ok(Line::Call { workspace: (*workspace).to_owned(), key: number(key, u64::MAX)? })
        }
        ["fault", rest @ ..] => fault(rest).map(Line::Fault),
        _ => Err("ask, call or fault is needed after the time".to_owned()),
    }
}

fn fault(words: &[&str]) -> Result<Fault, String> {
    let many = |text: &str| number(text, MOST_PROCESSES);
    match words {
        ["kill-agent", n] => Ok(Fault::KillAgent(many(n)?)),
        ["revive-agent", n] => Ok(Fault::ReviveAgent(many(n)?)),
        ["kill-entry", n] => Ok(Fault::KillEntry(many(n)?)),
        ["kill-store", n] => Ok(Fault::KillStore(many(n)?)),
        ["fill-store", n] => Ok(Fault::FillStore(many(n)?)),
        ["slow-link", n, times] => Ok(Fault::SlowLink(many(n)?, many(times)?.max(1))),
        ["slow-server", n, times] => Ok(Fault::SlowServer(many(n)?, many(times)?.max(1))),
        ["limit-server", n, "none"] => Ok(Fault::LimitServer(many(n)?, None)),
        ["limit-server", n, limit] => {
            Ok(Fault::LimitServer(many(n)?, Some(number(limit, u64::MAX)?)))
        }
        ["stop-agent", n] => Ok(Fault::StopAgent(many(n)?)),
        ["swap", version] => Ok(Fault::Swap(many(version)?)),
        _ => Err("kill-agent N, revive-agent N, kill-entry N, kill-store N, fill-store N, \
                  slow-link N TIMES, slow-server N TIMES, limit-server N LIMIT, stop-agent N or swap N"
            .to_owned()),
    }
}
