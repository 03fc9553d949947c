//! What can go wrong with the files.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// A failure of the files; unless the disk is only full, the keeper must stop.
#[derive(Debug)]
pub enum Error {
    /// The system refused.
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Its answer.
        error: io::Error,
    },
    /// Bytes that were synced have changed.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where in it, bytes.
        offset: usize,
    },
    /// Another process holds the folder.
    InUse(PathBuf),
}

impl Error {
    /// Whether the disk takes no more bytes; nothing that was synced is harmed.
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
                write!(f, "{}: synced bytes have changed at {offset}", path.display())
            }
            Self::InUse(path) => write!(f, "{}: another process holds it", path.display()),
        }
    }
}

impl std::error::Error for Error {}
