//! Full configurations and weight versions, whose versions are assigned by an external writer.
//!
//! Writers may race and send again, and their versions may skip numbers. The highest version wins; a
//! lower or equal one is acknowledged without effect. Only records that differ are recorded as
//! changes, so that watching processes receive only the differences.

use std::collections::BTreeSet;
use std::sync::Arc;

use base::{Code, Name, Revision};
use record::{Change, Kind, Record, full_config, schema, weights};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::machine::reject;
use crate::{Promote, PutConfig, Reply, State};

/// The current full configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Version, assigned by the writer.
    pub version: u64,
    /// The document as it was sent.
    pub source: Arc<[u8]>,
}

/// The author, position and time of a change.
pub(crate) struct Writer<'a> {
    pub position: Revision,
    pub by: &'a Name,
    pub at_ms: u64,
}

impl State {
    pub(crate) fn put_config(&mut self, position: Revision, put: PutConfig) -> Reply {
        let errors = full_config::errors(&put.parts);
        if !errors.is_empty() {
            return reject(Code::BadRecord, &errors.join("; "), None);
        }
        let current = self.stored_config.as_ref().map_or(0, |stored| stored.version);
        if self.stored_config.is_some() && put.version <= current {
            return Reply::Accepted { revision: self.revision, version: current };
        }
        let writer = Writer { position, by: &put.by, at_ms: put.at_ms };
        let present: BTreeSet<(Kind, Name)> =
            put.parts.iter().map(|part| (part.kind, part.name.clone())).collect();
        let dropped: Vec<(Kind, Name)> = self
            .records
            .keys()
            .filter(|key| full_config::KINDS.contains(&key.0) && !present.contains(*key))
            .cloned()
            .collect();
        for (kind, name) in dropped {
            self.records.remove(&(kind, name.clone()));
            self.record_change(writer.change(kind, name, None));
        }
        for part in put.parts {
            self.set(&writer, part.kind, part.name, part.body);
        }
        self.stored_config = Some(StoredConfig { version: put.version, source: put.source });
        Reply::Accepted { revision: self.revision, version: put.version }
    }

    pub(crate) fn promote(&mut self, position: Revision, promote: &Promote) -> Reply {
        let model = &promote.model;
        let current = self.target_version(model);
        if promote.version <= current {
            return Reply::Accepted { revision: self.revision, version: current };
        }
        let writer = Writer { position, by: &promote.by, at_ms: promote.at_ms };
        if self.get(Kind::Model, model).is_none() {
            self.set(&writer, Kind::Model, model.clone(), json!({}).to_string());
        }
        let name = weights::name(model, promote.version);
        let body = json!({ "model": &**model });
        self.set(&writer, Kind::Version, name.clone(), body.to_string());
        // The number of replicas that load concurrently is derived from the number of replicas, so
        // the record sets no limit.
        let body = json!({ "model": &**model, "version": &*name });
        self.set(&writer, Kind::Rollout, model.clone(), body.to_string());
        Reply::Accepted { revision: self.revision, version: promote.version }
    }

    /// The target weight version of a model; 0 if none is set.
    fn target_version(&self, model: &Name) -> u64 {
        let record = self.get(Kind::Rollout, model);
        let fields = record.map(Record::fields).unwrap_or_default();
        weights::number(fields.get("version").and_then(Value::as_str).unwrap_or_default())
    }

    /// Writes a record unless its body is unchanged.
    pub(crate) fn set(&mut self, writer: &Writer<'_>, kind: Kind, name: Name, body: String) {
        let key = (kind, name);
        let current = self.records.get(&key);
        if current.is_some_and(|record| *record.body == *body) {
            return;
        }
        let record = Record {
            kind,
            name: key.1.clone(),
            version: current.map_or(0, |record| record.version) + 1,
            schema: schema::newest(kind),
            min_schema: 1,
            body: body.into(),
            created: current.map_or(writer.position, |record| record.created),
            revision: writer.position,
            by: writer.by.clone(),
            at_ms: writer.at_ms,
        };
        self.record_change(writer.change(kind, key.1.clone(), Some(record.clone())));
        self.records.insert(key, record);
    }
}

impl Writer<'_> {
    fn change(&self, kind: Kind, name: Name, record: Option<Record>) -> Change {
        Change {
            kind,
            name,
            revision: self.position,
            record,
            by: self.by.clone(),
            at_ms: self.at_ms,
        }
    }
}
