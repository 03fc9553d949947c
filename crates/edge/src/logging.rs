//! Logs as JSON lines.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

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
    log_to(Target::Stderr);
}

/// Writes logs as JSON lines on standard output; `RUST_LOG` sets the level, `info` by default.
pub fn log_to_stdout() {
    log_to(Target::Stdout);
}

fn log_to(target: Target) {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(target);
    builder.format(|buffer, record| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut fields = Fields(Map::new());
        fields.0.insert("ms".to_owned(), (since.as_millis() as u64).into());
        fields.0.insert("level".to_owned(), record.level().as_str().into());
        fields.0.insert("target".to_owned(), record.target().into());
        fields.0.insert("message".to_owned(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut fields);
        writeln!(buffer, "{}", serde_json::Value::Object(fields.0))
    });
    // A second call in one process keeps the first logger.
    let _ = builder.try_init();
}
