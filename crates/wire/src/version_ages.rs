//! Ages of weight versions, as sent by the leader of the keepers.

use base::Name;
use serde::{Deserialize, Serialize};

/// The versions of a model that determine on which weight versions runs may still start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAges {
    /// Model.
    pub model: Name,
    /// Each version, with the time since it was set, milliseconds.
    pub ages: Vec<(u64, u64)>,
}
