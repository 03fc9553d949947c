//! The record of a run: a line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Starts an empty record.
    pub fn start(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
    }
}
