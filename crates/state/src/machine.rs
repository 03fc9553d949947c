//! The state machine.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use base::{Code, Name, Revision, RunId};
use bincode::config::standard;
use record::{Change, Kind, Record, schema};
use serde::{Deserialize, Serialize};

use crate::evacuation::reject_generic_change;
use crate::{Claim, ClaimStatus, Command, Delete, Order, Outcome, Put, Reply, StoredConfig};

/// Maximum number of changes retained for watchers that lag behind and for the audit log.
const MAX_CHANGES: usize = 10_000;
/// Maximum number of replies retained for writers that send a request again.
const MAX_REPLIES: usize = 10_000;
/// How long a claim is retained, milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 3_600 * 1_000;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredClaim {
    claim: Claim,
    outcome: Option<Outcome>,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub(crate) revision: Revision,
    /// Position of the last command of any kind.
    position: Revision,
    pub(crate) records: BTreeMap<(Kind, Name), Record>,
    changes: VecDeque<Change>,
    /// The position after which `changes` is complete.
    complete_after: Revision,
    replies: HashMap<Name, Reply>,
    reply_order: VecDeque<Name>,
    claims: HashMap<(Name, Name), StoredClaim>,
    claim_order: BTreeSet<(u64, Name, Name)>,
    orders: BTreeMap<Name, (Revision, Order)>,
    time_ms: u64,
    /// Encoded after the rest of a snapshot, so that a snapshot without it can be read.
    #[serde(skip)]
    pub(crate) stored_config: Option<StoredConfig>,
}

impl State {
    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    /// Returns an error if the bytes are not an encoded state.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let decode = |error: bincode::error::DecodeError| error.to_string();
        let (mut state, decoded_bytes): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, standard()).map_err(decode)?;
        if decoded_bytes < bytes.len() {
            let stored_config =
                bincode::serde::decode_from_slice(&bytes[decoded_bytes..], standard());
            state.stored_config = stored_config.map_err(decode)?.0;
        }
        Ok(state)
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding into memory fails only for types that bincode does not support; none are used here.
        bincode::serde::encode_to_vec((self, &self.stored_config), standard())
            .unwrap_or_default()
            .into()
    }

    /// Makes this the state at a position in a new epoch, after a restore from a backup.
    ///
    /// Requests with open claims may have run since the backup was made, so these claims are completed
    /// with [`Code::Unknown`].
    pub fn reset_after_restore(&mut self, position: Revision) {
        self.revision = position;
        self.position = position;
        self.complete_after = position;
        self.changes.clear();
        for stored in self.claims.values_mut() {
            stored.outcome.get_or_insert(Outcome::Ended(Code::Unknown));
        }
    }

    /// Position of the latest change of a record.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The record of this kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.records.get(&(kind, Name::new(name)))
    }

    /// The changes after a revision; `None` if some of them are no longer retained.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision < self.complete_after {
            return None;
        }
        let start = self.changes.partition_point(|change| change.revision <= revision);
        Some(self.changes.range(start..).cloned().collect())
    }

    /// The retained changes with their authors, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    /// The latest order to each backend server, with its fencing token.
    pub fn orders(&self) -> &BTreeMap<Name, (Revision, Order)> {
        &self.orders
    }

    /// The current full configuration, if one was written.
    pub fn stored_config(&self) -> Option<&StoredConfig> {
        self.stored_config.as_ref()
    }

    /// Number of claims retained.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Status of a claimed request, without claiming it.
    pub fn claim_status(&self, workspace: &Name, key: &Name) -> Option<ClaimStatus> {
        let stored = self.claims.get(&(workspace.clone(), key.clone()))?;
        Some(match &stored.outcome {
            Some(outcome) => ClaimStatus::Completed(outcome.clone()),
            None => ClaimStatus::InProgress(stored.claim.clone()),
        })
    }

    /// Applies the command at this position in the log.
    pub fn apply(&mut self, position: Revision, command: Command) -> Reply {
        self.position = position;
        match command {
            Command::Put(put) => {
                let request = put.request.clone();
                self.apply_once(&request, |state| state.put(position, put))
            }
            Command::Delete(delete) => {
                let request = delete.request.clone();
                self.apply_once(&request, |state| state.delete(position, &delete))
            }
            Command::Claim { claim, replaces } => Reply::Claim(self.claim(claim, replaces)),
            Command::Complete { workspace, key, run, outcome } => {
                self.complete(&(workspace, key), run, outcome);
                Reply::Completed
            }
            Command::Issue(order) => {
                self.orders.insert(order.server.clone(), (position, order));
                Reply::Issued(position)
            }
            Command::PutConfig(put) => self.put_config(position, put),
            Command::Promote(promote) => self.promote(position, &promote),
            Command::Evacuate(evacuate) => self.evacuate(position, evacuate),
        }
    }

    /// Applies a request, or returns the first reply if the request was accepted before.
    fn apply_once(&mut self, request: &Name, run: impl FnOnce(&mut Self) -> Reply) -> Reply {
        if let Some(reply) = self.replies.get(request) {
            return reply.clone();
        }
        let reply = run(self);
        if !matches!(reply, Reply::Accepted { .. }) {
            return reply;
        }
        self.replies.insert(request.clone(), reply.clone());
        self.reply_order.push_back(request.clone());
        if self.reply_order.len() > MAX_REPLIES
            && let Some(oldest) = self.reply_order.pop_front()
        {
            self.replies.remove(&oldest);
        }
        reply
    }

    fn put(&mut self, position: Revision, put: Put) -> Reply {
        if put.kind == Kind::Evacuation {
            return reject_generic_change();
        }
        let Ok(body) = serde_json::from_str(&put.body) else {
            return reject(Code::BadRecord, "the body is no JSON object", None);
        };
        let current = self.records.get(&(put.kind, put.name.clone()));
        let (schema, body) = match current {
            Some(old) => schema::merge(put.kind, put.schema, body, old.schema, &old.fields()),
            None => (put.schema, body),
        };
        let errors = schema::errors(put.kind, schema, &body);
        if !errors.is_empty() || put.name.is_empty() {
            let text =
                if put.name.is_empty() { "name: missing".to_owned() } else { errors.join("; ") };
            return reject(Code::BadRecord, &text, None);
        }
        let missing = schema::references(put.kind, &body)
            .into_iter()
            .find(|(kind, name)| !self.records.contains_key(&(*kind, Name::new(name))));
        if let Some((kind, name)) = missing {
            return reject(Code::BadRecord, &format!("there is no {kind} '{name}'"), None);
        }
        let text = serde_json::Value::Object(body).to_string();
        let version = current.map_or(0, |record| record.version);
        if let Some(record) = current
            && version == put.expected_version + 1
            && *record.body == *text
        {
            return Reply::Accepted { revision: record.revision, version };
        }
        if version != put.expected_version {
            let text = format!("version {version} stands, {} was expected", put.expected_version);
            return reject(Code::Conflict, &text, current.cloned());
        }
        let min_schema = put.min_schema.max(current.map_or(0, |record| record.min_schema));
        let record = Record {
            kind: put.kind,
            name: put.name,
            version: version + 1,
            schema,
            min_schema,
            body: text.into(),
            created: current.map_or(position, |record| record.created),
            revision: position,
            by: put.by,
            at_ms: put.at_ms,
        };
        let reply = Reply::Accepted { revision: position, version: record.version };
        self.records.insert((record.kind, record.name.clone()), record.clone());
        self.record_change(Change {
            kind: record.kind,
            name: record.name.clone(),
            revision: position,
            by: record.by.clone(),
            at_ms: record.at_ms,
            record: Some(record),
        });
        reply
    }

    fn delete(&mut self, position: Revision, delete: &Delete) -> Reply {
        if delete.kind == Kind::Evacuation {
            return reject_generic_change();
        }
        let key = (delete.kind, delete.name.clone());
        let Some(current) = self.records.get(&key) else {
            return reject(Code::NoSuchRecord, "there is no such record", None);
        };
        if current.version != delete.expected_version {
            let text = format!(
                "version {} stands, {} was expected",
                current.version, delete.expected_version
            );
            return reject(Code::Conflict, &text, Some(current.clone()));
        }
        let referrer = self.records.values().find(|record| {
            schema::references(record.kind, &record.fields())
                .iter()
                .any(|(kind, name)| *kind == delete.kind && **name == *delete.name)
        });
        if let Some(referrer) = referrer {
            let text = format!("{} '{}' refers to it", referrer.kind, referrer.name);
            return reject(Code::Referenced, &text, None);
        }
        let version = current.version;
        self.records.remove(&key);
        self.record_change(Change {
            kind: delete.kind,
            name: delete.name.clone(),
            revision: position,
            record: None,
            by: delete.by.clone(),
            at_ms: delete.at_ms,
        });
        Reply::Accepted { revision: position, version }
    }

    pub(crate) fn record_change(&mut self, change: Change) {
        self.revision = change.revision;
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_after = oldest.revision;
        }
    }

    fn claim(&mut self, claim: Claim, replaces: Option<RunId>) -> ClaimStatus {
        self.expire_claims(claim.at_ms);
        let key = (claim.workspace.clone(), claim.key.clone());
        if let Some(stored) = self.claims.get(&key) {
            if stored.claim.digest != claim.digest {
                return ClaimStatus::Mismatch;
            }
            if let Some(outcome) = &stored.outcome {
                return ClaimStatus::Completed(outcome.clone());
            }
            let same_run = stored.claim.run == claim.run;
            if !same_run && replaces != Some(stored.claim.run) {
                return ClaimStatus::InProgress(stored.claim.clone());
            }
            self.claim_order.remove(&(stored.claim.at_ms, key.0.clone(), key.1.clone()));
        }
        self.claim_order.insert((claim.at_ms, key.0.clone(), key.1.clone()));
        self.claims.insert(key, StoredClaim { claim, outcome: None });
        ClaimStatus::Granted
    }

    fn complete(&mut self, key: &(Name, Name), run: RunId, outcome: Option<Outcome>) {
        let Some(stored) = self.claims.get_mut(key) else {
            return;
        };
        if stored.claim.run != run || stored.outcome.is_some() {
            return;
        }
        if outcome.is_some() {
            stored.outcome = outcome;
            return;
        }
        self.claim_order.remove(&(stored.claim.at_ms, key.0.clone(), key.1.clone()));
        self.claims.remove(key);
    }

    fn expire_claims(&mut self, at_ms: u64) {
        self.time_ms = self.time_ms.max(at_ms);
        let expire_before_ms = self.time_ms.saturating_sub(CLAIM_RETENTION_MS);
        while let Some((claimed_at_ms, workspace, key)) = self.claim_order.first().cloned() {
            if claimed_at_ms >= expire_before_ms {
                return;
            }
            self.claim_order.pop_first();
            self.claims.remove(&(workspace, key));
        }
    }
}

pub(crate) fn reject(code: Code, text: &str, winner: Option<Record>) -> Reply {
    Reply::Rejected { code, text: text.to_owned(), winner }
}
