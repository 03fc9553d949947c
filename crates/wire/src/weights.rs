//! How long ago weight versions were named, as the leader among the keepers tells it.

use base::Name;
use serde::{Deserialize, Serialize};

/// The versions of a model that still decide what runs may begin on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAges {
    /// Model.
    pub model: Name,
    /// Each version and the time since it was named, milliseconds.
    pub ages: Vec<(u64, u64)>,
}
