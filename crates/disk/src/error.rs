//! Errors of the storage.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// A storage error. Unless the disk is merely full, the keeper must stop.
#[derive(Debug)]
pub enum Error {
    /// An I/O operation failed.
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// Synced data is corrupt.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// An entry of the log does not follow the one before it, or the snapshot.
    Misplaced {
        /// The file.
        path: PathBuf,
        /// Index that follows.
        expected: u64,
        /// Index of the entry.
        found: u64,
    },
    /// Another process has locked the directory.
    InUse(PathBuf),
}

impl Error {
    /// Whether the disk is full or over quota. Synced data is not affected.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{QuotaExceeded, StorageFull};
        matches!(self, Self::Io { error, .. } if matches!(error.kind(), StorageFull | QuotaExceeded))
    }

    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |error| Self::Io { path, error }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, error } => write!(f, "{}: {error}", path.display()),
            Self::Corrupt { path, offset } => {
                write!(f, "{}: synced data is corrupt at offset {offset}", path.display())
            }
            Self::Misplaced { path, expected, found } => {
                write!(f, "{}: entry {found} where {expected} follows", path.display())
            }
            Self::InUse(path) => write!(f, "{}: locked by another process", path.display()),
        }
    }
}

impl std::error::Error for Error {}
