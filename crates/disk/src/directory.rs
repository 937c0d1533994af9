//! The file operations that a data folder is built on, and their
//! implementation on a real file system. Tests use a model instead that can
//! lose power.
use crate::prelude::*;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// One flat directory of files.
pub trait Directory: Send + Sync {
    /// Its path, for messages.
    fn path(&self) -> &Path;
    /// The names of all files in it.
    fn names(&self) -> io::Result<Vec<String>>;
    /// A file's bytes; `None` when there is no such file.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// `len` bytes of a file from `offset` on; `None` when there is no such
    /// file or it is too short.
    fn read_at(&self, name: &str, offset: u64, len: u32) -> io::Result<Option<Bytes>>;
    /// Creates the file or replaces its bytes, and syncs the bytes: a header and what
    /// follows it. The name of a new file is durable only after `sync`.
    fn write_synced(&self, name: &str, header: &[u8], contents: &[u8]) -> io::Result<()>;
    /// Renames a file, replacing the one of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; one that is not there counts as removed.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes every creation, rename and removal so far durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the operating system.
pub struct OsDirectory {
    path: PathBuf,
}

impl OsDirectory {
    /// Refers to a directory, which has to exist by the time it is used.
    pub fn new(path: &Path) -> OsDirectory {
        OsDirectory { path: path.to_path_buf() }
    }
}

impl Directory for OsDirectory {
    fn path(&self) -> &Path {
        &self.path
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn read_at(&self, name: &str, offset: u64, len: u32) -> io::Result<Option<Bytes>> {
        let file = match File::open(self.path.join(name)) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = vec![0; len as usize];
        match file.read_exact_at(&mut bytes, offset) {
            Ok(()) => Ok(Some(Bytes::from(bytes))),
            Err(e) if e.kind() == ErrorKind::UnexpectedEof => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn write_synced(&self, name: &str, header: &[u8], contents: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.path.join(name))?;
        file.write_all(header)?;
        file.write_all(contents)?;
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
