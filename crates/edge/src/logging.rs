//! Logs as JSON lines.
//!
//! Logging never blocks a decision: lines are queued, and a separate thread writes the queued lines in one batch. The
//! number of lines of each kind is limited, and so is the queue, in case the reader of the log stalls. Suppressed lines
//! are counted, and the counts are logged by kind.

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

/// Maximum number of queued bytes: a second or two of lines under load.
const MAX_QUEUED: usize = 512 << 10;
/// Free space that must be left for one more line, in bytes; longer lines are rare.
const LINE_RESERVE: usize = 4 << 10;
/// Time for which the writer gathers lines for one batch; a process that is killed loses that much of its log.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the counts of suppressed lines are logged while nothing else is.
const SUPPRESSED_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the last lines at the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Sets the maximum number of lines of one kind per second.
pub fn limit_log(max_lines: u32) {
    if let Some(queue) = LOG_QUEUE.get() {
        queue.lines().set_max(max_lines);
    }
}

/// The queue of this process, whose limit can be changed.
static LOG_QUEUE: OnceLock<Arc<Queue>> = OnceLock::new();

#[derive(Debug)]
struct Queue {
    lines: Mutex<LogLimiter>,
    bytes: Mutex<Vec<u8>>,
    filled: Condvar,
    started: Instant,
}

impl Queue {
    fn lines(&self) -> MutexGuard<'_, LogLimiter> {
        // After a panic in another thread the counts are still usable.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) -> bool {
        let mut bytes = self.bytes();
        if bytes.len() + line.len() > MAX_QUEUED {
            return false;
        }
        if bytes.is_empty() {
            self.filled.notify_all();
        }
        bytes.extend_from_slice(line);
        true
    }

    /// Logs the counts of suppressed lines, once per window.
    fn log_suppressed(&self) {
        let now = Time::ZERO + self.started.elapsed();
        let suppressed = self.lines().end_window(now);
        for (kind, count) in suppressed {
            let line = json!({
                "ms": unix_ms(), "level": "WARN", "message": "log lines suppressed",
                "kind": &*kind, "count": count,
            });
            // If the queue is full, this line itself is counted as suppressed.
            if !self.push(format!("{line}\n").as_bytes()) {
                self.lines().count_suppressed(&kind);
            }
        }
    }

    /// Writes queued lines until the process exits.
    fn write_all(&self, mut to: impl Write) {
        loop {
            let bytes = self.bytes();
            if bytes.is_empty() {
                // Times out, since suppressed lines must be reported even if nothing is written.
                let woken = self.filled.wait_timeout(bytes, SUPPRESSED_INTERVAL);
                drop(woken.unwrap_or_else(PoisonError::into_inner));
            } else {
                drop(bytes);
            }
            std::thread::sleep(BATCH_DELAY);
            self.log_suppressed();
            let batch = self.bytes().clone();
            if batch.is_empty() {
                continue;
            }
            // If the log can't be written, there is no other place to report it.
            let _ = to.write_all(&batch).and_then(|()| to.flush());
            // Removed only after the write, so that a flush can wait for an empty queue.
            self.bytes().drain(..batch.len());
        }
    }
}

/// Appends the logger's lines to the queue.
struct QueueWriter(Arc<Queue>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.push(line) { Ok(line.len()) } else { Err(io::ErrorKind::WouldBlock.into()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Limits lines by kind before they reach the logger.
struct LimitedLogger {
    logger: Logger,
    queue: Arc<Queue>,
}

impl Log for LimitedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        // A message with formatted values is counted by its target.
        let kind = record.args().as_str().unwrap_or_else(|| record.target());
        if self.enabled(record.metadata()) && self.queue.lines().allow(kind) {
            let has_space = self.queue.bytes().len() + LINE_RESERVE <= MAX_QUEUED;
            if has_space {
                self.logger.log(record);
            } else {
                self.queue.lines().count_suppressed(kind);
            }
        }
    }

    fn flush(&self) {
        let start = Instant::now();
        while !self.queue.bytes().is_empty() && start.elapsed() < FLUSH_TIMEOUT {
            std::thread::sleep(BATCH_DELAY / 5);
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
    builder.target(Target::Pipe(Box::new(QueueWriter(queue.clone()))));
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
    let limited = LimitedLogger { logger, queue: queue.clone() };
    // A second call in one process keeps the first logger.
    if log::set_boxed_logger(Box::new(limited)).is_ok() {
        log::set_max_level(level);
        let _ = LOG_QUEUE.set(queue.clone());
        std::thread::spawn(move || queue.write_all(to));
    }
}
