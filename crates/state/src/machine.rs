//! The state machine.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use base::{Code, Name, Revision, RunId};
use bincode::config::standard;
use record::{Change, Kind, Record, schema};
use serde::{Deserialize, Serialize};

use crate::{Adopted, Claim, ClaimStatus, Command, Delete, Order, Outcome, Put, Reply};

/// Changes kept for those who are behind and for the audit.
const CHANGES_KEPT: usize = 10_000;
/// Replies kept for writers who send again.
const REPLIES_KEPT: usize = 10_000;
/// How long a claim is kept, milliseconds.
const CLAIM_KEPT_MS: u64 = 24 * 3_600 * 1_000;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Kept {
    claim: Claim,
    outcome: Option<Outcome>,
}

/// Everything that is agreed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    pub(crate) revision: Revision,
    /// The place of the last command of any kind.
    place: Revision,
    pub(crate) records: BTreeMap<(Kind, Name), Record>,
    changes: VecDeque<Change>,
    /// The place after which `changes` is complete.
    complete_after: Revision,
    replies: HashMap<Name, Reply>,
    reply_order: VecDeque<Name>,
    claims: HashMap<(Name, Name), Kept>,
    claim_order: BTreeSet<(u64, Name, Name)>,
    orders: BTreeMap<Name, (Revision, Order)>,
    time_ms: u64,
    /// Stands behind the rest in a snapshot, so that one without it can be read.
    #[serde(skip)]
    pub(crate) adopted: Option<Adopted>,
}

impl State {
    /// The state in a snapshot.
    ///
    /// # Errors
    /// The bytes are not a state.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let decode = |error: bincode::error::DecodeError| error.to_string();
        let (mut state, read): (Self, usize) =
            bincode::serde::decode_from_slice(bytes, standard()).map_err(decode)?;
        if read < bytes.len() {
            let rest = bincode::serde::decode_from_slice(&bytes[read..], standard());
            state.adopted = rest.map_err(decode)?.0;
        }
        Ok(state)
    }

    /// The bytes for a snapshot.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding into memory fails only for types bincode cannot hold, and this has none.
        bincode::serde::encode_to_vec((self, &self.adopted), standard()).unwrap_or_default().into()
    }

    /// Makes this the state at a place in a new epoch, after a restore from a copy.
    ///
    /// Claims that were held may have run since the copy was made, so they end as unknown.
    pub fn reset_after_restore(&mut self, place: Revision) {
        self.revision = place;
        self.place = place;
        self.complete_after = place;
        self.changes.clear();
        for kept in self.claims.values_mut() {
            kept.outcome.get_or_insert(Outcome::Ended(Code::Unknown));
        }
    }

    /// The latest change of records.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// One record.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.records.get(&(kind, Name::new(name)))
    }

    /// The changes after a revision; none when they are no longer all there.
    pub fn changes_after(&self, revision: Revision) -> Option<Vec<Change>> {
        if revision < self.complete_after {
            return None;
        }
        let start = self.changes.partition_point(|change| change.revision <= revision);
        Some(self.changes.range(start..).cloned().collect())
    }

    /// The changes kept, oldest first: who did what, in the log's order.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.changes.iter()
    }

    /// The last order to each backend server, with its fencing token.
    pub fn orders(&self) -> &BTreeMap<Name, (Revision, Order)> {
        &self.orders
    }

    /// The whole configuration that was written last, if one was.
    pub fn adopted(&self) -> Option<&Adopted> {
        self.adopted.as_ref()
    }

    /// Claims kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Where a claimed request stands, for one who does not claim it.
    pub fn claim_status(&self, workspace: &Name, key: &Name) -> Option<ClaimStatus> {
        let kept = self.claims.get(&(workspace.clone(), key.clone()))?;
        Some(match &kept.outcome {
            Some(outcome) => ClaimStatus::Completed(outcome.clone()),
            None => ClaimStatus::InProgress(kept.claim.clone()),
        })
    }

    /// Applies the command at this place in the log.
    pub fn apply(&mut self, place: Revision, command: Command) -> Reply {
        self.place = place;
        match command {
            Command::Put(put) => {
                let request = put.request.clone();
                self.once(&request, |state| state.put(place, put))
            }
            Command::Delete(delete) => {
                let request = delete.request.clone();
                self.once(&request, |state| state.delete(place, &delete))
            }
            Command::Claim { claim, replaces } => Reply::Claim(self.claim(claim, replaces)),
            Command::Complete { workspace, key, run, outcome } => {
                self.complete(&(workspace, key), run, outcome);
                Reply::Completed
            }
            Command::Issue(order) => {
                self.orders.insert(order.server.clone(), (place, order));
                Reply::Issued(place)
            }
            Command::Adopt(adopt) => self.adopt(place, adopt),
            Command::Promote(promote) => self.promote(place, &promote),
        }
    }

    /// Gives a request that came before the same reply again.
    fn once(&mut self, request: &Name, run: impl FnOnce(&mut Self) -> Reply) -> Reply {
        if let Some(reply) = self.replies.get(request) {
            return reply.clone();
        }
        let reply = run(self);
        if !matches!(reply, Reply::Accepted { .. }) {
            return reply;
        }
        self.replies.insert(request.clone(), reply.clone());
        self.reply_order.push_back(request.clone());
        if self.reply_order.len() > REPLIES_KEPT
            && let Some(oldest) = self.reply_order.pop_front()
        {
            self.replies.remove(&oldest);
        }
        reply
    }

    fn put(&mut self, place: Revision, put: Put) -> Reply {
        let Ok(body) = serde_json::from_str(&put.body) else {
            return refuse(Code::BadRecord, "the body is no JSON object", None);
        };
        let current = self.records.get(&(put.kind, put.name.clone()));
        let (schema, body) = match current {
            Some(old) => schema::carry(put.kind, put.schema, body, old.schema, &old.fields()),
            None => (put.schema, body),
        };
        let mistakes = schema::errors(put.kind, schema, &body);
        if !mistakes.is_empty() || put.name.is_empty() {
            let text =
                if put.name.is_empty() { "name: missing".to_owned() } else { mistakes.join("; ") };
            return refuse(Code::BadRecord, &text, None);
        }
        let missing = schema::references(put.kind, &body)
            .into_iter()
            .find(|(kind, name)| !self.records.contains_key(&(*kind, Name::new(name))));
        if let Some((kind, name)) = missing {
            return refuse(Code::BadRecord, &format!("there is no {kind} '{name}'"), None);
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
            return refuse(Code::Conflict, &text, current.cloned());
        }
        let min_schema = put.min_schema.max(current.map_or(0, |record| record.min_schema));
        let record = Record {
            kind: put.kind,
            name: put.name,
            version: version + 1,
            schema,
            min_schema,
            body: text.into(),
            created: current.map_or(place, |record| record.created),
            revision: place,
            by: put.by,
            at_ms: put.at_ms,
        };
        let reply = Reply::Accepted { revision: place, version: record.version };
        self.records.insert((record.kind, record.name.clone()), record.clone());
        self.note(Change {
            kind: record.kind,
            name: record.name.clone(),
            revision: place,
            by: record.by.clone(),
            at_ms: record.at_ms,
            record: Some(record),
        });
        reply
    }

    fn delete(&mut self, place: Revision, delete: &Delete) -> Reply {
        let key = (delete.kind, delete.name.clone());
        let Some(current) = self.records.get(&key) else {
            return refuse(Code::NoSuchRecord, "there is no such record", None);
        };
        if current.version != delete.expected_version {
            let text = format!(
                "version {} stands, {} was expected",
                current.version, delete.expected_version
            );
            return refuse(Code::Conflict, &text, Some(current.clone()));
        }
        let user = self.records.values().find(|record| {
            schema::references(record.kind, &record.fields())
                .iter()
                .any(|(kind, name)| *kind == delete.kind && **name == *delete.name)
        });
        if let Some(user) = user {
            let text = format!("{} '{}' refers to it", user.kind, user.name);
            return refuse(Code::Referenced, &text, None);
        }
        let version = current.version;
        self.records.remove(&key);
        self.note(Change {
            kind: delete.kind,
            name: delete.name.clone(),
            revision: place,
            record: None,
            by: delete.by.clone(),
            at_ms: delete.at_ms,
        });
        Reply::Accepted { revision: place, version }
    }

    pub(crate) fn note(&mut self, change: Change) {
        self.revision = change.revision;
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_after = oldest.revision;
        }
    }

    fn claim(&mut self, claim: Claim, replaces: Option<RunId>) -> ClaimStatus {
        self.forget_claims(claim.at_ms);
        let key = (claim.workspace.clone(), claim.key.clone());
        if let Some(kept) = self.claims.get(&key) {
            if kept.claim.digest != claim.digest {
                return ClaimStatus::Mismatch;
            }
            if let Some(outcome) = &kept.outcome {
                return ClaimStatus::Completed(outcome.clone());
            }
            let same = kept.claim.run == claim.run;
            if !same && replaces != Some(kept.claim.run) {
                return ClaimStatus::InProgress(kept.claim.clone());
            }
            self.claim_order.remove(&(kept.claim.at_ms, key.0.clone(), key.1.clone()));
        }
        self.claim_order.insert((claim.at_ms, key.0.clone(), key.1.clone()));
        self.claims.insert(key, Kept { claim, outcome: None });
        ClaimStatus::Granted
    }

    fn complete(&mut self, key: &(Name, Name), run: RunId, outcome: Option<Outcome>) {
        let Some(kept) = self.claims.get_mut(key) else {
            return;
        };
        if kept.claim.run != run || kept.outcome.is_some() {
            return;
        }
        if outcome.is_some() {
            kept.outcome = outcome;
            return;
        }
        self.claim_order.remove(&(kept.claim.at_ms, key.0.clone(), key.1.clone()));
        self.claims.remove(key);
    }

    fn forget_claims(&mut self, at_ms: u64) {
        self.time_ms = self.time_ms.max(at_ms);
        let before = self.time_ms.saturating_sub(CLAIM_KEPT_MS);
        while let Some((at, workspace, key)) = self.claim_order.first().cloned() {
            if at >= before {
                return;
            }
            self.claim_order.pop_first();
            self.claims.remove(&(workspace, key));
        }
    }
}

pub(crate) fn refuse(code: Code, text: &str, winner: Option<Record>) -> Reply {
    Reply::Rejected { code, text: text.to_owned(), winner }
}
