//! The log of records that are needed for a limited time.

use std::fs;
use std::path::PathBuf;

use disk::{Recent, Store};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("tamarack-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn open(&self) -> (Recent, Vec<Vec<u8>>) {
        let opened = Store::open(&self.0, 1).expect("opens");
        (opened.recent, opened.recent_records)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn records_are_there_after_a_restart() {
    let folder = Folder::new("recent-restart");
    let (mut recent, records) = folder.open();
    assert_eq!(records, [] as [Vec<u8>; 0]);
    recent.append(b"one").expect("appends");
    recent.append(b"two").expect("appends");
    drop(recent);
    let (mut recent, records) = folder.open();
    assert_eq!(records, [b"one".to_vec(), b"two".to_vec()]);
    recent.append(b"three").expect("appends");
    drop(recent);
    let mut records = folder.open().1;
    records.sort_unstable();
    assert_eq!(records, [b"one".to_vec(), b"three".to_vec(), b"two".to_vec()]);
}

// Guards against a log that grows: only the current generation and the one before are kept.
#[test]
fn the_older_generation_is_dropped() {
    let folder = Folder::new("recent-generations");
    let (mut recent, _) = folder.open();
    for record in [b"a", b"b", b"c"] {
        recent.append(record).expect("appends");
        recent.start_generation().expect("starts");
    }
    drop(recent);
    assert_eq!(folder.open().1, [b"c".to_vec()]);
}

// Guards against records after a torn write that can't be read: the torn part is cut off before more is written.
#[test]
fn a_torn_record_costs_only_itself() {
    let folder = Folder::new("recent-torn");
    let (mut recent, _) = folder.open();
    recent.append(b"whole").expect("appends");
    recent.append(b"torn by a loss of power").expect("appends");
    drop(recent);
    let path = folder.0.join("streams-0");
    let bytes = fs::read(&path).expect("reads");
    fs::write(&path, &bytes[..bytes.len() - 4]).expect("writes");
    let (mut recent, records) = folder.open();
    assert_eq!(records, [b"whole".to_vec()]);
    recent.append(b"next").expect("appends");
    drop(recent);
    let mut records = folder.open().1;
    records.sort_unstable();
    assert_eq!(records, [b"next".to_vec(), b"whole".to_vec()]);
}
