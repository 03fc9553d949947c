//! Names of version records for weight versions that are numbered by an external writer.

use base::Name;

/// The name of the version record for this model and number.
pub fn name(model: &str, number: u64) -> Name {
    Name::from(format!("{model}@{number}"))
}

/// The number in the name of a version record; 0 if the name has none.
pub fn number(name: &str) -> u64 {
    let number = name.rsplit_once('@').map(|(_, number)| number);
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
