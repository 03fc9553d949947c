//! Evacuated availability zones: records that operators change without a version of their own.
//!
//! An operator's call names a zone and whether it is evacuated. The process that receives it adds the version of
//! the record that it knows, so that a call that another change has overtaken can't restore an older order.

use base::{Code, Name, Revision};
use record::{Kind, Record};
use serde_json::json;

use crate::machine::reject;
use crate::put_config::Writer;
use crate::{Evacuate, Reply, State};

/// Maximum number of zones with a record, evacuated or not; bounds what mistyped names leave behind.
const MAX_ZONES: usize = 256;

impl State {
    pub(crate) fn evacuate(&mut self, position: Revision, evacuate: Evacuate) -> Reply {
        let Evacuate { by, at_ms, zone, active, expected_version } = evacuate;
        if zone.is_empty() {
            return reject(Code::BadRecord, "zone: missing", None);
        }
        let current = self.get(Kind::Evacuation, &zone);
        let version = current.map_or(0, |record| record.version);
        if current.is_some_and(is_active) == active {
            let revision = current.map_or(self.revision, |record| record.revision);
            return Reply::Accepted { revision, version };
        }
        if version != expected_version {
            let text = format!("the evacuation of zone '{zone}' has changed meanwhile; try again");
            return reject(Code::NotReady, &text, current.cloned());
        }
        if current.is_none() && self.evacuation_count() >= MAX_ZONES {
            let text = format!("{MAX_ZONES} zones have been evacuated already");
            return reject(Code::BadRecord, &text, None);
        }
        let writer = Writer { position, by: &by, at_ms };
        let body = json!({ "active": active }).to_string();
        self.set(&writer, Kind::Evacuation, zone, body);
        Reply::Accepted { revision: position, version: version + 1 }
    }

    fn evacuation_count(&self) -> usize {
        let from = (Kind::Evacuation, Name::default());
        self.records.range(from..).take_while(|((kind, _), _)| *kind == Kind::Evacuation).count()
    }
}

/// The rejection of a generic change of an evacuation: deleting a record would let overtaken calls apply again.
pub(crate) fn reject_generic_change() -> Reply {
    reject(Code::BadRecord, "an evacuation is changed with /v1/evacuations/ZONE", None)
}

fn is_active(record: &Record) -> bool {
    record.fields().get("active").is_some_and(|active| *active == json!(true))
}
