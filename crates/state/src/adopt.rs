//! Whole configurations and weight versions, each ordered by a version from outside.
//!
//! Writers may race and resend, and their versions rise unevenly: the highest wins, and a lower or
//! equal one is acknowledged without an effect. Only records that differ become changes, so that
//! processes that watch are sent differences.

use std::collections::BTreeSet;
use std::sync::Arc;

use base::{Code, Name, Revision};
use record::{Change, Kind, Record, full_config, schema, weights};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::machine::refuse;
use crate::{Adopt, Promote, Reply, State};

/// The whole configuration that was written last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopted {
    /// Version given by its writer.
    pub version: u64,
    /// The document as it was sent.
    pub source: Arc<[u8]>,
}

/// Who makes a change, and where it stands.
struct Writer<'a> {
    place: Revision,
    by: &'a Name,
    at_ms: u64,
}

impl State {
    pub(crate) fn adopt(&mut self, place: Revision, adopt: Adopt) -> Reply {
        let mistakes = full_config::errors(&adopt.parts);
        if !mistakes.is_empty() {
            return refuse(Code::BadRecord, &mistakes.join("; "), None);
        }
        let held = self.adopted.as_ref().map_or(0, |adopted| adopted.version);
        if self.adopted.is_some() && adopt.version <= held {
            return Reply::Accepted { revision: self.revision, version: held };
        }
        let writer = Writer { place, by: &adopt.by, at_ms: adopt.at_ms };
        let named: BTreeSet<(Kind, Name)> =
            adopt.parts.iter().map(|part| (part.kind, part.name.clone())).collect();
        let dropped: Vec<(Kind, Name)> = self
            .records
            .keys()
            .filter(|key| full_config::KINDS.contains(&key.0) && !named.contains(*key))
            .cloned()
            .collect();
        for (kind, name) in dropped {
            self.records.remove(&(kind, name.clone()));
            self.note(writer.change(kind, name, None));
        }
        for part in adopt.parts {
            self.set(&writer, part.kind, part.name, part.body);
        }
        self.adopted = Some(Adopted { version: adopt.version, source: adopt.source });
        Reply::Accepted { revision: self.revision, version: adopt.version }
    }

    pub(crate) fn promote(&mut self, place: Revision, promote: &Promote) -> Reply {
        let model = &promote.model;
        let held = self.promoted(model);
        if promote.version <= held {
            return Reply::Accepted { revision: self.revision, version: held };
        }
        let writer = Writer { place, by: &promote.by, at_ms: promote.at_ms };
        if self.get(Kind::Model, model).is_none() {
            self.set(&writer, Kind::Model, model.clone(), json!({}).to_string());
        }
        let name = weights::name(model, promote.version);
        let body = json!({ "model": &**model });
        self.set(&writer, Kind::Version, name.clone(), body.to_string());
        // How many replicas load at once follows from their number, so the record sets no bound.
        let body = json!({ "model": &**model, "version": &*name });
        self.set(&writer, Kind::Rollout, model.clone(), body.to_string());
        Reply::Accepted { revision: self.revision, version: promote.version }
    }

    /// The weight version that a model's replicas shall hold; 0 when none was named.
    fn promoted(&self, model: &Name) -> u64 {
        let record = self.get(Kind::Rollout, model);
        let fields = record.map(Record::fields).unwrap_or_default();
        weights::number(fields.get("version").and_then(Value::as_str).unwrap_or_default())
    }

    /// Puts a record, unless it stands so already.
    fn set(&mut self, writer: &Writer<'_>, kind: Kind, name: Name, body: String) {
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
            created: current.map_or(writer.place, |record| record.created),
            revision: writer.place,
            by: writer.by.clone(),
            at_ms: writer.at_ms,
        };
        self.note(writer.change(kind, key.1.clone(), Some(record.clone())));
        self.records.insert(key, record);
    }
}

impl Writer<'_> {
    fn change(&self, kind: Kind, name: Name, record: Option<Record>) -> Change {
        Change { kind, name, revision: self.place, record, by: self.by.clone(), at_ms: self.at_ms }
    }
}
