//! Recovery after a crash, corruption or a full disk.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use disk::{Error, Store};
use proptest::prelude::*;
use quorum::{Body, Config, Entry, HardState, Snapshot, Write};
use test_case::test_case;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    path
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, body: Body::Data(Arc::from(vec![index as u8; 40])) }
}

fn entries(write: impl IntoIterator<Item = Entry>) -> Write {
    Write { entries: write.into_iter().collect(), ..Write::default() }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot { index, term: 1, epoch: 1, config: Config::default(), data: Arc::from([7; 10]) }
}

#[test]
fn written_data_is_recovered() {
    let folder = folder("comes-back");
    let mut store = Store::open(&folder, 9).expect("opens").store;
    let hard_state = HardState { term: 3, vote: None };
    store.write(&[entries((1..=5).map(|i| entry(i, 1)))]).expect("writes");
    let later =
        Write { hard_state: Some(hard_state.clone()), ..entries([entry(4, 2), entry(5, 2)]) };
    store.write(&[later, entries([entry(6, 3)])]).expect("writes");
    assert_eq!(store.syncs(), 2, "one sync for several writes");
    drop(store);
    let opened = Store::open(&folder, 10).expect("opens");
    let terms: Vec<u64> = opened.saved.entries.iter().map(|entry| entry.term).collect();
    assert_eq!((opened.identity, opened.torn_bytes), (9, 0));
    assert_eq!((opened.saved.hard_state, terms), (hard_state, vec![1, 1, 1, 2, 2, 3]));
}

#[test]
fn a_snapshot_replaces_earlier_entries() {
    let folder = folder("snapshot");
    let mut store = Store::open(&folder, 9).expect("opens").store;
    store.write(&[entries((1..=9).map(|i| entry(i, 1)))]).expect("writes");
    let base = Write { snapshot: Some(snapshot(7)), ..entries([entry(8, 1), entry(9, 1)]) };
    store.write(&[base, entries([entry(10, 2)])]).expect("writes");
    drop(store);
    let saved = Store::open(&folder, 9).expect("opens").saved;
    assert_eq!(saved.snapshot, Some(snapshot(7)));
    assert_eq!(saved.entries.iter().map(|e| e.index).collect::<Vec<_>>(), [8, 9, 10]);
}

#[test]
fn two_processes_never_share_a_folder() {
    let folder = folder("shared");
    let _first = Store::open(&folder, 1).expect("opens");
    assert!(matches!(Store::open(&folder, 2), Err(Error::InUse(_))));
}

#[test]
fn a_full_disk_is_an_error_and_loses_nothing_written() {
    let folder = folder("full");
    let mut store = Store::open(&folder, 1).expect("opens").store;
    store.write(&[entries([entry(1, 1)])]).expect("writes");
    // The next log segment is on a device that is always full.
    std::os::unix::fs::symlink("/dev/full", folder.join("log-1")).expect("a link");
    let base = Write { snapshot: Some(snapshot(1)), ..Write::default() };
    let result = store.write(&[base, entries([entry(2, 1)])]);
    assert!(matches!(result, Err(Error::Io { .. })), "{result:?}");
}

#[test]
fn changed_bytes_are_not_taken_for_a_torn_write() {
    let folder = folder("changed");
    let mut store = Store::open(&folder, 1).expect("opens").store;
    store.write(&[entries((1..=5).map(|i| entry(i, 1)))]).expect("writes");
    drop(store);
    let path = folder.join("log-0");
    let mut bytes = fs::read(&path).expect("reads");
    bytes[70] ^= 1;
    fs::write(&path, bytes).expect("writes");
    assert!(matches!(Store::open(&folder, 1), Err(Error::Corrupt { .. })));
}

/// Term and vote, index of the snapshot, and index and term of each entry, as read from a folder.
fn recovered(folder: &Path) -> (HardState, Option<u64>, Vec<(u64, u64)>) {
    let saved = Store::open(folder, 9).expect("opens").saved;
    let entries = saved.entries.iter().map(|entry| (entry.index, entry.term)).collect();
    (saved.hard_state, saved.snapshot.map(|snapshot| snapshot.index), entries)
}

// Guards against a log that is shifted without an error: writes of which a part is on the disk, with a snapshot that replaces
// them, are retried from the first one, and the process ends before the last one.
#[test_case(0; "before the first snapshot")]
#[test_case(1; "before the second snapshot")]
#[test_case(2; "before the third snapshot")]
fn a_retry_repeats_nothing_that_is_on_the_disk(snapshots: u64) {
    let term = |term| Some(HardState { term, vote: None });
    let writes = [
        Write { hard_state: term(2), ..entries((5..=8).map(|i| entry(i, 1))) },
        Write { snapshot: Some(snapshot(7)), ..entries([entry(8, 1)]) },
        Write { hard_state: term(3), ..entries([entry(9, 2), entry(10, 2)]) },
        Write { hard_state: term(4), snapshot: Some(snapshot(9)), ..entries([entry(10, 2)]) },
        entries([entry(11, 3)]),
        Write { snapshot: Some(snapshot(10)), ..entries([entry(11, 3)]) },
        entries([entry(12, 4)]),
    ];
    let begin = |name: &str| {
        let folder = folder(&format!("{name}-{snapshots}"));
        let mut store = Store::open(&folder, 9).expect("opens").store;
        store.write(&[entries((1..=4).map(|i| entry(i, 1)))]).expect("writes");
        (folder, store)
    };
    let (whole, mut store) = begin("whole");
    store.write(&writes).expect("writes");
    drop(store);
    let written = |count: usize| {
        let (folder, mut store) = begin("part");
        store.write(&writes[..count]).expect("writes");
        drop(store);
        recovered(&folder)
    };
    for ends in [false, true] {
        let (folder, mut store) = begin("retried");
        // No log can be created there.
        let obstacle = folder.join(format!("log-{}", snapshots + 1));
        fs::create_dir(&obstacle).expect("a folder");
        let mut done = 0;
        for _ in 0..3 {
            store.write_from(&mut done, &writes).expect_err("it is in the way");
        }
        fs::remove_dir(&obstacle).expect("removes");
        if ends {
            drop(store);
            assert_eq!(recovered(&folder), written(snapshots as usize * 2 + 1));
        } else {
            store.write_from(&mut done, &writes).expect("writes");
            drop(store);
            assert_eq!((done, recovered(&folder)), (writes.len(), recovered(&whole)));
        }
    }
}

// Guards against a log that is used although entries are missing in it, or are not those after the snapshot.
#[test_case(None, &[2, 3], Some((1, 2)); "without the first one")]
#[test_case(None, &[1, 2, 4], Some((3, 4)); "with a gap")]
#[test_case(Some(7), &[5, 6, 7, 8], Some((8, 5)); "from before the snapshot")]
#[test_case(Some(7), &[9], Some((8, 9)); "a gap after the snapshot")]
#[test_case(Some(7), &[8, 9, 9, 10, 8, 9], None; "written again")]
fn misplaced_entries_are_refused(
    base: Option<u64>,
    indexes: &[u64],
    misplaced: Option<(u64, u64)>,
) {
    let folder = folder(&format!("misplaced-{base:?}-{}", indexes.len()));
    let mut store = Store::open(&folder, 9).expect("opens").store;
    if let Some(index) = base {
        let base = Write { snapshot: Some(snapshot(index)), ..Write::default() };
        store.write(&[base]).expect("writes");
    }
    store.write(&[entries(indexes.iter().map(|index| entry(*index, 1)))]).expect("writes");
    drop(store);
    let found = match Store::open(&folder, 9) {
        Err(Error::Misplaced { expected, found, .. }) => Some((expected, found)),
        opened => {
            opened.expect("opens");
            None
        }
    };
    assert_eq!(found, misplaced);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// A torn write loses only data that was not synced: all complete records before it are recovered.
    #[test]
    fn a_torn_tail_is_truncated(cut in 0_usize..500, junk in prop::collection::vec(any::<u8>(), 0..30)) {
        let folder = folder("torn");
        let mut store = Store::open(&folder, 1).expect("opens").store;
        let mut ends = vec![0];
        for index in 1..=8 {
            store.write(&[entries([entry(index, 1)])]).expect("writes");
            ends.push(fs::metadata(folder.join("log-0")).expect("exists").len() as usize);
        }
        drop(store);
        let path = folder.join("log-0");
        let mut bytes = fs::read(&path).expect("reads");
        bytes.truncate(cut);
        let complete = ends.iter().filter(|end| **end > 0 && **end <= bytes.len()).count();
        bytes.extend(junk);
        fs::write(&path, bytes).expect("writes");
        let opened = Store::open(&folder, 1).expect("opens");
        prop_assert_eq!(opened.saved.entries.len(), complete);
        drop(opened);
        let again = Store::open(&folder, 1).expect("opens");
        prop_assert_eq!((again.saved.entries.len(), again.torn_bytes), (complete, 0));
    }
}

#[test]
fn addresses_of_others_come_back_and_a_damaged_file_of_them_costs_nothing_else() {
    let folder = folder("contacts");
    let mut store = Store::open(&folder, 9).expect("opens").store;
    store.write(&[entries([entry(1, 1)])]).expect("writes");
    store.write_contacts(b"k1 and k2").expect("writes");
    store.write_contacts(b"k1 and k3").expect("writes");
    drop(store);
    let opened = Store::open(&folder, 9).expect("opens");
    assert_eq!(opened.contacts.as_deref(), Some(&b"k1 and k3"[..]));
    drop(opened);
    let path = folder.join("contacts");
    let bytes = fs::read(&path).expect("reads");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("writes");
    let opened = Store::open(&folder, 9).expect("opens");
    assert_eq!((opened.contacts, opened.saved.entries.len()), (None, 1));
}
