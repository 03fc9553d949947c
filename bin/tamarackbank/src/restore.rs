//! The `restore` command: restores a keeper from a copy of a keeper's data folder, under a new epoch.

use std::path::Path;

use base::Revision;
use conf::{Role, Settings};
use disk::Store;
use eyre::{bail, eyre};
use quorum::{Body, Config, HardState, Member, Snapshot, Write};
use state::{Command, State};

/// Writes the data folder of the keeper that these settings describe, from a copy of any keeper's data
/// folder. It becomes the only voter; the other keepers then join it with empty disks.
pub fn run(settings: &Settings, from: &Path) -> eyre::Result<()> {
    if !settings.has_role(Role::Keeper) {
        bail!("the settings do not have the role keeper");
    }
    let folder = edge::keeper_folder(settings);
    if folder.exists() {
        bail!("{} already exists; move it away first", folder.display());
    }
    let old = Store::open(from, 0)?;
    let Some(base) = old.saved.snapshot else {
        bail!("{} does not contain a keeper's snapshot", from.display());
    };
    let mut state = State::decode(&base.data).map_err(|error| eyre!(error))?;
    let (mut index, mut term) = (base.index, base.term);
    for entry in &old.saved.entries {
        let revision = Revision { epoch: base.epoch, index: entry.index };
        if let Body::Data(data) = &entry.body {
            let command = Command::decode(data).map_err(|error| eyre!(error))?;
            state.apply(revision, command);
        }
        (index, term) = (entry.index, entry.term);
    }
    // Higher than any earlier epoch: that of the copy, and that of an earlier restore of the same copy.
    let epoch = (base.epoch + 1).max(edge::unix_ms() / 1_000);
    state.reset_after_restore(Revision { epoch, index });
    let identity = edge::incarnation().0;
    let mut store = Store::open(&folder, identity)?.store;
    let me = Member { name: settings.name.clone(), disk_id: identity };
    let snapshot = Snapshot {
        index,
        term,
        epoch,
        config: Config { voters: vec![me], learners: Vec::new() },
        data: state.encode(),
    };
    let hard_state = HardState { term: old.saved.hard_state.term.max(term) + 1, vote: None };
    store.write(&[Write {
        hard_state: Some(hard_state),
        entries: Vec::new(),
        snapshot: Some(snapshot),
    }])?;
    println!("restored {} records under epoch {epoch}", state.records().count());
    Ok(())
}
