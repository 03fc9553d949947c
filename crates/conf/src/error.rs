//! Errors in settings files.

use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line in the file, starting at 1; 0 if the error does not belong to a line.
    pub line: u32,
    /// Section and key, such as `entry.callers`.
    pub key: String,
    /// Description of the error, with the allowed values.
    pub text: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.text)
    }
}
