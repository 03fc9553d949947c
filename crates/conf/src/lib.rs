//! Settings in INI, checked whole before anything starts.
//!
//! [`Settings::parse`] reads the text and collects every mistake, each with its line, key and what
//! is allowed. Unknown sections and keys are mistakes.

mod mistake;
mod settings;

pub use mistake::SettingsError;
pub use settings::{DEFAULT_LOG_LINES, Forward, Role, ScoreWeights, Seed, ServerKind, Settings};
