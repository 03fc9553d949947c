//! Weight versions that are numbered from outside, as names of version records.

use base::Name;

/// The name of a model's version with this number.
pub fn name(model: &str, number: u64) -> Name {
    Name::from(format!("{model}@{number}"))
}

/// The number in such a name; 0 for any other.
pub fn number(name: &str) -> u64 {
    let number = name.rsplit_once('@').map(|(_, number)| number);
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
