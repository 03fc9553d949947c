//! Settings in INI format, validated completely before the process starts.
//!
//! [`Settings::parse`] parses the text and collects all errors, each with its line, key and the allowed
//! values. Unknown sections and keys are errors.

mod error;
mod settings;

pub use error::SettingsError;
pub use settings::{DEFAULT_LOG_LINES, Forward, Role, ScoreWeights, Seed, ServerKind, Settings};
