//! Logs as JSON lines.
//!
//! No line ever holds a decision up: lines go to a queue, and a thread of their own writes what is there
//! in one go. Each kind of line is bounded, and so is the queue, for a reader of the log that stalls; what
//! is left out is counted and told by kind.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use base::Time;
use env_logger::{Builder, Env, Logger, Target};
use limit::LogLimiter;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use serde_json::{Map, json};

use crate::clock::unix_ms;

/// Most bytes that wait to be written: a second or two of lines under load.
const QUEUE: usize = 512 << 10;
/// Room that one more line needs, bytes; longer ones are rare.
const ROOM: usize = 4 << 10;
/// Time that the writer gathers lines for one write; a process that is killed loses as much of its log.
const GATHER: Duration = Duration::from_millis(50);
/// Time between two counts of what was left out, where nothing else is written.
const COUNTS: Duration = Duration::from_secs(1);
/// Longest wait for the last lines at the end of the process.
const FLUSH: Duration = Duration::from_millis(300);

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Writes logs as JSON lines on standard error; `RUST_LOG` sets the level, `info` by default.
pub fn log_to_stderr() {
    log_to(io::stderr());
}

/// Writes logs as JSON lines on standard output; `RUST_LOG` sets the level, `info` by default.
pub fn log_to_stdout() {
    log_to(io::stdout());
}

/// Bounds the lines of one kind in a second.
pub fn limit_log(most: u32) {
    if let Some(queue) = QUEUED.get() {
        queue.lines().set_max(most);
    }
}

/// The queue of this process, for a change of its bound.
static QUEUED: OnceLock<Arc<Queue>> = OnceLock::new();

#[derive(Debug)]
struct Queue {
    lines: Mutex<LogLimiter>,
    bytes: Mutex<Vec<u8>>,
    filled: Condvar,
    started: Instant,
}

impl Queue {
    fn lines(&self) -> MutexGuard<'_, LogLimiter> {
        // A panic elsewhere leaves counts that are still of use.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) -> bool {
        let mut bytes = self.bytes();
        if bytes.len() + line.len() > QUEUE {
            return false;
        }
        if bytes.is_empty() {
            self.filled.notify_all();
        }
        bytes.extend_from_slice(line);
        true
    }

    /// Lines on what was left out, once in a window.
    fn left_out(&self) {
        let now = Time::ZERO + self.started.elapsed();
        let left_out = self.lines().end_window(now);
        for (kind, count) in left_out {
            let line = json!({
                "ms": unix_ms(), "level": "WARN", "message": "log lines suppressed",
                "kind": &*kind, "count": count,
            });
            // Without room for it the count is told by the next one.
            if !self.push(format!("{line}\n").as_bytes()) {
                self.lines().count_suppressed(&kind);
            }
        }
    }

    /// Writes what is there until the process ends.
    fn write_all(&self, mut to: impl Write) {
        loop {
            let bytes = self.bytes();
            if bytes.is_empty() {
                // Not for ever: what is left out must be told although nothing is written.
                let woken = self.filled.wait_timeout(bytes, COUNTS);
                drop(woken.unwrap_or_else(PoisonError::into_inner));
            } else {
                drop(bytes);
            }
            std::thread::sleep(GATHER);
            self.left_out();
            let taken = self.bytes().clone();
            if taken.is_empty() {
                continue;
            }
            // If nobody can read the log any more there is nowhere else to say so.
            let _ = to.write_all(&taken).and_then(|()| to.flush());
            // Only now, so that a flush knows when everything is out.
            self.bytes().drain(..taken.len());
        }
    }
}

/// Where the logger writes its lines.
struct Lane(Arc<Queue>);

impl Write for Lane {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.push(line) { Ok(line.len()) } else { Err(io::ErrorKind::WouldBlock.into()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Counts lines by kind in front of the logger.
struct Bounded {
    logger: Logger,
    queue: Arc<Queue>,
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        // A message with values of its own counts by where it stands.
        let kind = record.args().as_str().unwrap_or_else(|| record.target());
        if self.enabled(record.metadata()) && self.queue.lines().allow(kind) {
            let room = self.queue.bytes().len() + ROOM <= QUEUE;
            if room {
                self.logger.log(record);
            } else {
                self.queue.lines().count_suppressed(kind);
            }
        }
    }

    fn flush(&self) {
        let start = Instant::now();
        while !self.queue.bytes().is_empty() && start.elapsed() < FLUSH {
            std::thread::sleep(GATHER / 5);
        }
    }
}

fn log_to(to: impl Write + Send + 'static) {
    let queue = Arc::new(Queue {
        lines: Mutex::new(LogLimiter::new(conf::DEFAULT_LOG_LINES)),
        bytes: Mutex::default(),
        filled: Condvar::new(),
        started: Instant::now(),
    });
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(Target::Pipe(Box::new(Lane(queue.clone()))));
    builder.format(|buffer, record| {
        let mut fields = Fields(Map::new());
        fields.0.insert("ms".to_owned(), unix_ms().into());
        fields.0.insert("level".to_owned(), record.level().as_str().into());
        fields.0.insert("target".to_owned(), record.target().into());
        fields.0.insert("message".to_owned(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut fields);
        writeln!(buffer, "{}", serde_json::Value::Object(fields.0))
    });
    let logger = builder.build();
    let level = logger.filter();
    let bounded = Bounded { logger, queue: queue.clone() };
    // A second call in one process keeps the first logger.
    if log::set_boxed_logger(Box::new(bounded)).is_ok() {
        log::set_max_level(level);
        let _ = QUEUED.set(queue.clone());
        std::thread::spawn(move || queue.write_all(to));
    }
}
