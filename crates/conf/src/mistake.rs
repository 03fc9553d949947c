//! One mistake in a settings file.

use std::fmt;

/// A mistake, with the place and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line in the file, counted from 1; 0 for the file as a whole.
    pub line: u32,
    /// Section and key, such as `entry.callers`.
    pub key: String,
    /// What was found and what is allowed.
    pub text: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.text)
    }
}
