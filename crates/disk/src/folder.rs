use crate::prelude::*;
use snafu::{ensure, ResultExt, Snafu};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

#[derive(Debug, Snafu)]
pub enum DiskError {
    #[snafu(display("the data folder {} can't be used: {source}; make it, or name another under 'data'", path.display()))]
    Missing { path: PathBuf, source: std::io::Error },
    #[snafu(display("the data folder {} belongs to '{found}', this is '{ours}'; name this daemon's own folder under 'data'", path.display()))]
    Foreign { path: PathBuf, found: String, ours: String },
    #[snafu(display("{} could not be written and synced: {source}; check the disk and its free space", path.display()))]
    Unwritten { path: PathBuf, source: std::io::Error },
    #[snafu(display("{} could not be read: {source}; check the disk", path.display()))]
    Unread { path: PathBuf, source: std::io::Error },
}

/// One daemon's data folder. Invariant: a file under its own name is whole;
/// what is being written has a name that ends in `.aside`.
pub struct Folder {
    path: PathBuf,
}

const MAGIC: &[u8; 4] = b"DWF1";
const OWNER: &str = "owner";

fn seal(bytes: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(bytes.len() + 8);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&crc32fast::hash(bytes).to_le_bytes());
    out.extend_from_slice(bytes);
    out
}

fn unseal(raw: &[u8]) -> Option<&[u8]> {
    let (head, body) = raw.split_at_checked(8)?;
    let sum = u32::from_le_bytes(head[4..].try_into().ok()?);
    (head.starts_with(MAGIC) && crc32fast::hash(body) == sum).then_some(body)
}

impl Folder {
    /// Opens an existing folder as `owner`; an empty one becomes its own.
    pub fn open(path: &Path, owner: &str) -> Result<Folder, DiskError> {
        let list = fs::read_dir(path).context(MissingSnafu { path })?;
        let empty = list.count() == 0;
        let one = Folder { path: path.to_path_buf() };
        if empty {
            one.save(OWNER, owner.as_bytes())?;
            return Ok(one);
        }
        let found = one.read(OWNER)?.unwrap_or_default();
        let found = String::from_utf8_lossy(&found).into_owned();
        ensure!(found == owner, ForeignSnafu { path, found, ours: owner });
        Ok(one)
    }

    fn read(&self, name: &str) -> Result<Option<Bytes>, DiskError> {
        let path = self.path.join(name);
        let mut raw = Vec::new();
        match File::open(&path) {
            Ok(mut f) => f.read_to_end(&mut raw).context(UnreadSnafu { path })?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e).context(UnreadSnafu { path }),
        };
        Ok(unseal(&raw).map(Bytes::copy_from_slice))
    }

    /// All files by name. A torn or altered one is set aside and comes empty.
    pub fn load(&self) -> Result<Vec<(String, Bytes)>, DiskError> {
        let mut out = Vec::new();
        for e in fs::read_dir(&self.path).context(UnreadSnafu { path: &self.path })? {
            let e = e.context(UnreadSnafu { path: &self.path })?;
            let name = e.file_name().to_string_lossy().into_owned();
            if name == OWNER || name.ends_with(".bad") {
                continue;
            }
            if name.ends_with(".aside") {
                fs::remove_file(e.path()).context(UnwrittenSnafu { path: e.path() })?;
                continue;
            }
            let body = self.read(&name)?;
            if body.is_none() {
                let bad = self.path.join(format!("{name}.bad"));
                fs::rename(e.path(), &bad).context(UnwrittenSnafu { path: bad })?;
            }
            out.push((name, body.unwrap_or_default()));
        }
        out.sort();
        Ok(out)
    }

    /// The file lasts when this returns.
    pub fn save(&self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let path = self.path.join(name);
        let aside = self.path.join(format!("{name}.aside"));
        let write = || -> std::io::Result<()> {
            let mut f = File::create(&aside)?;
            f.write_all(&seal(bytes))?;
            f.sync_data()?;
            fs::rename(&aside, &path)?;
            File::open(&self.path)?.sync_all()
        };
        write().context(UnwrittenSnafu { path: &path })
    }

    /// Removal needs no sync: a file that comes back is known as old.
    pub fn remove(&self, name: &str) -> Result<(), DiskError> {
        let path = self.path.join(name);
        match fs::remove_file(&path) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e).context(UnwrittenSnafu { path }),
            _ => Ok(()),
        }
    }
}
