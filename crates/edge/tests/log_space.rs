//! The space of a keeper's log: the files of one keeper through many changes of a large configuration, without a network.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use base::prelude::*;
use disk::Store;
use node::{Effect, Effects, Keeper};
use quorum::{Bootstrap, Member, Replica, Saved, Timing};
use record::{Kind, full_config};
use state::{Command, PutConfig, Reply};
use wire::{Answer, Frame, Request};

/// Size of a keeper's disk, bytes.
const DISK_BYTES: u64 = 64 << 20;
/// Ten times the changes that filled such a disk.
const CHANGES: u64 = 1_500;
/// Routes of the configuration.
const ROUTES: usize = 1_066;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    path
}

/// Bytes of the files of a kind.
fn bytes_of(folder: &Path, prefix: &str) -> u64 {
    let files = fs::read_dir(folder).expect("a folder").flatten();
    let of_kind = files.filter(|file| file.file_name().to_string_lossy().starts_with(prefix));
    of_kind.map(|file| file.metadata().expect("a file").len()).sum()
}

/// A change that leaves all routes but one as they are, as operators make it.
fn change(version: u64) -> Command {
    let part =
        |kind, name: String, body: String| full_config::Part { kind, name: Name::from(name), body };
    let route = |number: usize| {
        let changed = if number as u64 == version % ROUTES as u64 { version } else { 0 };
        let body = format!(
            "{{\"host\":\"shop.example\",\"prefix\":\"/order-{number}/{changed}/\",\"backends\":[{{\"service\":\"s\",\"weight\":1}}],\
             \"timeout_ms\":4000,\"target_ms\":600,\"rank\":1,\"attempts\":2,\"repeat\":\"always\"}}"
        );
        part(Kind::Route, format!("route-{number}"), body)
    };
    let mut parts: Vec<_> = (0..ROUTES).map(route).collect();
    parts.push(part(Kind::Service, "s".to_owned(), "{}".to_owned()));
    let source: String = parts.iter().map(|part| part.body.as_str()).collect();
    let source = Arc::from(source.into_bytes());
    Command::PutConfig(PutConfig { by: Name::new("op"), at_ms: 0, version, source, parts })
}

/// A keeper and its files.
struct Disk {
    store: Store,
    keeper: Keeper,
    now: Time,
    answers: Vec<Answer>,
}

impl Disk {
    fn open(folder: &Path) -> Self {
        let opened = Store::open(folder, 1).expect("opens");
        let name = Name::new("k");
        let member = Member { name: name.clone(), disk_id: opened.identity };
        let bootstrap = Bootstrap::of(vec![name.clone()], 1);
        let saved: Saved = opened.saved;
        let replica = Replica::new(member, bootstrap, Timing::default(), 1, saved);
        let keeper = Keeper::new(name, replica).expect("a state of this build");
        let mut disk =
            Self { store: opened.store, keeper, now: Time::from_millis(1), answers: Vec::new() };
        for _ in 0..500 {
            disk.now = disk.now + Duration::from_millis(10);
            let mut out = Effects::new();
            disk.keeper.tick(disk.now, &mut out);
            disk.perform(out);
        }
        disk
    }

    fn perform(&mut self, mut out: Effects) {
        while !out.is_empty() {
            for effect in std::mem::take(&mut out) {
                match effect {
                    Effect::Persist { seq, write } => {
                        self.store.write(&[write]).expect("writes");
                        self.keeper.persisted(self.now, seq, &mut out);
                    }
                    Effect::Send { frame: Frame::Answer { answer, .. }, .. } => {
                        self.answers.push(answer);
                    }
                    Effect::Fail { text } => panic!("{text}"),
                    _ => {}
                }
            }
        }
    }

    fn put(&mut self, version: u64) {
        self.now = self.now + Duration::from_millis(10);
        let request = Request::Command(change(version));
        let mut out = Effects::new();
        self.keeper.handle_request(self.now, &Name::new("op"), version, request, &mut out);
        self.perform(out);
        let answer = self.answers.pop().expect("an answer");
        assert!(matches!(answer, Answer::Reply(Reply::Accepted { .. })), "{answer:?}");
    }
}

// Guards against a core that stops for good because its logs have filled the disks: compaction counted entries, however large.
#[test]
fn many_changes_of_a_large_configuration_leave_room_for_a_snapshot() {
    let folder = folder("log-space");
    let mut disk = Disk::open(&folder);
    let mut largest = 0;
    for version in 1..=CHANGES {
        disk.put(version);
        // Two snapshots are on the disk while one replaces the other.
        let (used, snapshot) = (bytes_of(&folder, ""), bytes_of(&folder, "snapshot-"));
        largest = largest.max(used + snapshot);
        assert!(
            used + snapshot <= DISK_BYTES,
            "{used} and {snapshot} bytes after {version} changes"
        );
    }
    println!("largest log and two snapshots: {largest} bytes");
    drop(disk);
    let disk = Disk::open(&folder);
    assert_eq!(disk.keeper.state().stored_config().map(|stored| stored.version), Some(CHANGES));
}
