//! A log of records that are needed for a limited time only, in two generations of which the older one is dropped as a whole.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::store::open_log;
use crate::{Error, segment};

/// Names of the files of the two generations.
const FILES: [&str; 2] = ["streams-0", "streams-1"];
/// Size at which a generation is full, bytes.
const MAX_GENERATION: u64 = 2 << 20;

/// The log.
#[derive(Debug)]
pub struct Recent {
    paths: [PathBuf; 2],
    files: [File; 2],
    /// Sizes of the valid parts, bytes.
    lengths: [u64; 2],
    /// The generation that is written.
    current: usize,
}

impl Recent {
    /// Opens the log in a directory, which the caller syncs, and returns the records that it holds. A damaged part is dropped:
    /// it costs what was recorded there.
    ///
    /// # Errors
    /// The files can't be read or created.
    pub(crate) fn open(directory: &Path) -> Result<(Self, Vec<Vec<u8>>), Error> {
        let paths = FILES.map(|name| directory.join(name));
        let mut records = Vec::new();
        let mut lengths = [0; 2];
        for (path, length) in paths.iter().zip(&mut lengths) {
            if path.exists() {
                let read = segment::read::<Vec<u8>>(&fs::read(path).map_err(Error::io(path))?);
                *length = read.end as u64;
                records.extend(read.records);
            }
        }
        let [first, second] = &paths;
        let files = [open_log(first)?, open_log(second)?];
        for ((file, path), length) in files.iter().zip(&paths).zip(lengths) {
            file.set_len(length).and_then(|()| file.sync_all()).map_err(Error::io(path))?;
        }
        let current = usize::from(lengths[1] < lengths[0]);
        Ok((Self { paths, files, lengths, current }, records))
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    /// The disk is full or fails; the records before are preserved.
    pub fn append(&mut self, record: &[u8]) -> Result<(), Error> {
        if self.lengths[self.current] > MAX_GENERATION {
            self.start_generation()?;
        }
        let mut bytes = Vec::new();
        segment::append(&mut bytes, &record);
        let (path, file) = (&self.paths[self.current], &mut self.files[self.current]);
        let length = self.lengths[self.current];
        if let Err(error) = file.write_all(&bytes).and_then(|()| file.sync_data()) {
            // The next record must directly follow the valid part.
            file.set_len(length).map_err(Error::io(path))?;
            return Err(Error::io(path)(error));
        }
        self.lengths[self.current] += bytes.len() as u64;
        Ok(())
    }

    /// Drops the older generation and starts a new one.
    ///
    /// # Errors
    /// The disk fails.
    pub fn start_generation(&mut self) -> Result<(), Error> {
        self.current = 1 - self.current;
        let (path, file) = (&self.paths[self.current], &self.files[self.current]);
        file.set_len(0).map_err(Error::io(path))?;
        self.lengths[self.current] = 0;
        Ok(())
    }
}
