//! A directory that loses power: until the directory is synced, each file
//! made, renamed or removed is kept or lost by itself, and bytes that were not
//! synced are torn.
use dw_disk::prelude::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

/// A small generator, so that a case is its seed.
#[derive(Clone)]
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(seed | 1)
    }
    /// Below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
    pub fn flip(&mut self) -> bool {
        self.below(2) == 0
    }
}

type FileId = usize;

#[derive(Clone, Default)]
struct Contents {
    written: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone)]
enum NameChange {
    Made(String, FileId),
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
    /// Writes that fail for want of space before one is taken.
    full_for: u64,
    dice: Dice,
}

impl State {
    /// One step towards the loss of power.
    fn step(&mut self) -> io::Result<()> {
        if self.steps_left == 0 {
            return Err(io::Error::other("no power"));
        }
        self.steps_left -= 1;
        Ok(())
    }

    fn note(&mut self, change: NameChange) {
        self.unsynced.push(change);
    }

    fn keep(&mut self, change: NameChange) {
        match change {
            NameChange::Made(name, file) => _ = self.durable_names.insert(name, file),
            NameChange::Renamed { from, to, file } => {
                if self.durable_names.get(&from) == Some(&file) {
                    self.durable_names.remove(&from);
                }
                self.durable_names.insert(to, file);
            }
            NameChange::Removed(name) => _ = self.durable_names.remove(&name),
        }
    }

    fn tear(&mut self, file: FileId) {
        let contents = &mut self.files[file];
        if contents.written == contents.synced {
            return;
        }
        let kept = self.dice.below(contents.written.len() as u64 + 1) as usize;
        let all_lost = self.dice.flip();
        contents.written.truncate(kept);
        if all_lost {
            contents.written.clone_from(&contents.synced);
        }
        contents.synced.clone_from(&contents.written);
    }
}

/// The directory; clones share one disk.
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
            full_for: 0,
            dice: Dice::new(seed),
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Power is there for so many steps.
    pub fn power_for(&self, steps: u64) {
        self.state().steps_left = steps;
    }

    pub fn has_power(&self) -> bool {
        self.state().steps_left > 0
    }

    /// The disk is full for so many writes.
    pub fn full_for(&self, writes: u64) {
        self.state().full_for = writes;
    }

    /// The process dies and the files stay, or the power is lost.
    pub fn lose_power(&self) {
        let mut state = self.state();
        for change in std::mem::take(&mut state.unsynced) {
            if state.dice.flip() {
                state.keep(change);
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
        let whole = self.read(name)?;
        let piece = whole.as_ref().and_then(|b| b.get(offset as usize..offset as usize + len as usize));
        Ok(piece.map(Bytes::copy_from_slice))
    }

    fn write_synced(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let file = match state.names.get(name) {
            Some(file) => *file,
            None => {
                let file = state.files.len();
                state.files.push(Contents::default());
                state.names.insert(name.to_string(), file);
                state.note(NameChange::Made(name.to_string(), file));
                file
            }
        };
        state.files[file].written = bytes[..bytes.len() / 2].to_vec();
        if state.full_for > 0 {
            state.full_for -= 1;
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
        state.note(NameChange::Renamed { from: from.to_string(), to: to.to_string(), file });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        if state.names.remove(name).is_some() {
            state.note(NameChange::Removed(name.to_string()));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        for change in std::mem::take(&mut state.unsynced) {
            state.keep(change);
        }
        Ok(())
    }
}
