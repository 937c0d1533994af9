//! The files of the hard state: each holds all of it, under a version of its
//! own, and the newest counts.
//!
//! One save is under way at a time; of those that wait behind it only the
//! newest is kept, as it holds all that the others do. An older file is
//! removed after a newer one was saved, never before.
use crate::prelude::*;

const PREFIX: &str = "hard-";

fn file_name(version: u64) -> String {
    format!("{PREFIX}{version:016x}")
}

fn version_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(PREFIX)?, 16).ok()
}

/// What a folder holds at the start.
pub enum StoredState {
    /// No file of the hard state.
    Missing,
    /// The newest file is whole.
    Readable(Box<HardState<Order>>),
    /// The newest file can't be read: what was promised in it is lost.
    Unreadable,
}

/// A save that waits for the one under way.
struct Waiting {
    save: u64,
    state: HardState<Order>,
}

/// Which versions there are, and which save is under way.
#[derive(Default)]
pub struct HardStateFiles {
    newest: u64,
    /// Older files, to be removed behind the next save.
    outdated: Vec<String>,
    under_way: Option<u64>,
    waiting: Option<Waiting>,
}

impl HardStateFiles {
    /// Reads a folder back. A file is renamed to its name only after its
    /// bytes were synced, so one that can't be read was altered by the disk;
    /// an older one that can't be read tells nothing, as the newest holds all.
    pub fn read(files: &[(String, Bytes)]) -> (HardStateFiles, StoredState) {
        let mut all: Vec<(u64, &Bytes)> = files.iter().filter_map(|(name, bytes)| Some((version_of(name)?, bytes))).collect();
        all.sort_by_key(|f| f.0);
        let Some((newest, bytes)) = all.last().copied() else { return (HardStateFiles::default(), StoredState::Missing) };
        let found = match decode::<HardState<Order>>(bytes) {
            Ok(state) => StoredState::Readable(Box::new(state)),
            Err(_) => StoredState::Unreadable,
        };
        // The newest stays until a newer one is saved, also if it can't be
        // read: else an older one would count at the next start.
        let outdated = all.iter().map(|f| file_name(f.0)).collect();
        (HardStateFiles { newest, outdated, ..HardStateFiles::default() }, found)
    }

    /// Asks for a save, now or behind the one under way.
    pub fn save(&mut self, save: u64, state: HardState<Order>, out: &mut Vec<Effect>) {
        if self.under_way.is_some() {
            self.waiting = Some(Waiting { save, state });
            return;
        }
        self.begin(save, &state, out);
    }

    fn begin(&mut self, save: u64, state: &HardState<Order>, out: &mut Vec<Effect>) {
        self.newest += 1;
        self.under_way = Some(save);
        let name = file_name(self.newest);
        out.push(Effect::Save { n: save, name: name.clone(), bytes: Bytes::from(encode(state)) });
        // These are done after the save, in order.
        out.extend(self.outdated.drain(..).map(Effect::Remove));
        self.outdated.push(name);
    }

    /// A save is synced; the next may begin.
    pub fn saved(&mut self, out: &mut Vec<Effect>) {
        self.under_way = None;
        if let Some(next) = self.waiting.take() {
            self.begin(next.save, &next.state, out);
        }
    }
}
