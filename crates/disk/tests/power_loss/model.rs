//! Model of a directory that can lose power. Each creation, rename or removal
//! since the last sync of the directory is then kept or lost independently, and
//! files with unsynced bytes are torn.
use dw_disk::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

/// A minimal random generator (xorshift), so that a seed determines the case.
#[derive(Clone)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed | 1)
    }
    /// A random number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
    pub fn coin_flip(&mut self) -> bool {
        self.below(2) == 0
    }
}

type FileId = usize;

#[derive(Clone, Default)]
struct Contents {
    written: Vec<u8>,
    /// What surely survives a loss of power.
    synced: Vec<u8>,
}

#[derive(Clone)]
enum NameChange {
    Created(String, FileId),
    Renamed { from: String, to: String, file: FileId },
    Removed(String),
}

struct State {
    files: Vec<Contents>,
    names: BTreeMap<String, FileId>,
    durable_names: BTreeMap<String, FileId>,
    unsynced: Vec<NameChange>,
    /// Steps until the power is lost.
    steps_left: u64,
    /// How many writes fail for lack of space before one succeeds.
    failing_writes: u64,
    random: Random,
}

impl State {
    /// Counts one step towards the loss of power; fails once it is lost.
    fn step(&mut self) -> io::Result<()> {
        if self.steps_left == 0 {
            return Err(io::Error::other("no power"));
        }
        self.steps_left -= 1;
        Ok(())
    }

    fn record_unsynced(&mut self, change: NameChange) {
        self.unsynced.push(change);
    }

    /// Makes a change of names durable.
    fn make_durable(&mut self, change: NameChange) {
        match change {
            NameChange::Created(name, file) => _ = self.durable_names.insert(name, file),
            NameChange::Renamed { from, to, file } => {
                if self.durable_names.get(&from) == Some(&file) {
                    self.durable_names.remove(&from);
                }
                self.durable_names.insert(to, file);
            }
            NameChange::Removed(name) => _ = self.durable_names.remove(&name),
        }
    }

    /// Keeps all, some or none of the bytes of a file that were not synced.
    fn tear(&mut self, file: FileId) {
        let contents = &mut self.files[file];
        if contents.written == contents.synced {
            return;
        }
        let kept_bytes = self.random.below(contents.written.len() as u64 + 1) as usize;
        let all_lost = self.random.coin_flip();
        contents.written.truncate(kept_bytes);
        if all_lost {
            contents.written.clone_from(&contents.synced);
        }
        contents.synced.clone_from(&contents.written);
    }
}

/// The model directory; clones share one disk.
#[derive(Clone)]
pub struct ModelDirectory(Arc<Mutex<State>>);

impl ModelDirectory {
    pub fn new(seed: u64) -> ModelDirectory {
        ModelDirectory(Arc::new(Mutex::new(State {
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced: Vec::new(),
            steps_left: 0,
            failing_writes: 0,
            random: Random::new(seed),
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Lets the power last for the next `steps` steps.
    pub fn supply_power_for(&self, steps: u64) {
        self.state().steps_left = steps;
    }

    pub fn has_power(&self) -> bool {
        self.state().steps_left > 0
    }

    /// Makes the next `writes` writes fail for lack of space.
    pub fn fail_writes(&self, writes: u64) {
        self.state().failing_writes = writes;
    }

    /// Loses the power: each unsynced change of names is kept or lost, and files
    /// are torn. When everything is kept, this is as if only the process ended.
    pub fn lose_power(&self) {
        let mut state = self.state();
        for change in std::mem::take(&mut state.unsynced) {
            if state.random.coin_flip() {
                state.make_durable(change);
            }
        }
        for file in 0..state.files.len() {
            state.tear(file);
        }
        state.names = state.durable_names.clone();
    }
}

impl Directory for ModelDirectory {
    fn path(&self) -> &Path {
        Path::new("/model")
    }

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.state();
        Ok(state.names.get(name).map(|file| state.files[*file].written.clone()))
    }

    fn read_at(&self, name: &str, offset: u64, len: u32) -> io::Result<Option<Bytes>> {
        let contents = self.read(name)?;
        let range = contents.as_ref().and_then(|b| b.get(offset as usize..offset as usize + len as usize));
        Ok(range.map(Bytes::copy_from_slice))
    }

    fn write_synced(&self, name: &str, header: &[u8], contents: &[u8]) -> io::Result<()> {
        let bytes = [header, contents].concat();
        let mut state = self.state();
        state.step()?;
        let file = match state.names.get(name) {
            Some(file) => *file,
            None => {
                let file = state.files.len();
                state.files.push(Contents::default());
                state.names.insert(name.to_string(), file);
                state.record_unsynced(NameChange::Created(name.to_string(), file));
                file
            }
        };
        state.files[file].written = bytes[..bytes.len() / 2].to_vec();
        if state.failing_writes > 0 {
            state.failing_writes -= 1;
            return Err(io::Error::other("no space left"));
        }
        state.step()?;
        state.files[file].written = bytes.to_vec();
        state.step()?;
        state.files[file].synced = bytes.to_vec();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let Some(file) = state.names.remove(from) else { return Err(io::ErrorKind::NotFound.into()) };
        state.names.insert(to.to_string(), file);
        state.record_unsynced(NameChange::Renamed { from: from.to_string(), to: to.to_string(), file });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        if state.names.remove(name).is_some() {
            state.record_unsynced(NameChange::Removed(name.to_string()));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        for change in std::mem::take(&mut state.unsynced) {
            state.make_durable(change);
        }
        Ok(())
    }
}
