//! The files of the hard state, which is everything that the replicated log has to keep
//! over a restart: term, vote, snapshot and log entries. Each file holds the whole state
//! and has a version of its own; the newest file counts.
//!
//! One save runs at a time. Of the states that wait behind it only the newest is kept,
//! as it contains everything that the others do. An older file is removed after a newer
//! one was saved, never before.
use crate::prelude::*;

const PREFIX: &str = "hard-";

fn file_name(version: u64) -> String {
    format!("{PREFIX}{version:016x}")
}

fn version_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(PREFIX)?, 16).ok()
}

/// What a data folder holds at startup.
pub enum StoredState {
    /// No file of the hard state.
    Missing,
    /// The newest file is intact.
    Readable(Box<HardState<Order>>),
    /// The newest file can't be read: the votes and the log entries that it confirmed
    /// are lost.
    Unreadable,
}

/// A save that waits for the running one to end.
struct WaitingSave {
    save_id: u64,
    state: HardState<Order>,
}

/// The files that there are, and the save that is running.
#[derive(Default)]
pub struct HardStateFiles {
    newest_version: u64,
    /// Files to be removed after the next save.
    outdated_files: Vec<String>,
    running_save: Option<u64>,
    waiting_save: Option<WaitingSave>,
}

impl HardStateFiles {
    /// Reads the files of a data folder. A file gets its name only after its bytes
    /// were synced, so one that can't be read was altered by the disk. An older file
    /// that can't be read doesn't matter, as the newest holds everything.
    pub fn read(files: &[(String, Bytes)]) -> (HardStateFiles, StoredState) {
        let mut versions: Vec<(u64, &Bytes)> =
            files.iter().filter_map(|(name, bytes)| Some((version_of(name)?, bytes))).collect();
        versions.sort_by_key(|(version, _)| *version);
        let Some((newest_version, bytes)) = versions.last().copied() else {
            return (HardStateFiles::default(), StoredState::Missing);
        };
        let found = match decode::<HardState<Order>>(bytes) {
            Ok(state) => StoredState::Readable(Box::new(state)),
            Err(_) => StoredState::Unreadable,
        };
        // The newest file stays until a newer one is saved, even if it can't be read:
        // otherwise an older one would count at the next start.
        let outdated_files = versions.iter().map(|(version, _)| file_name(*version)).collect();
        (HardStateFiles { newest_version, outdated_files, ..HardStateFiles::default() }, found)
    }

    /// Saves a state, now or after the running save. `save_id` comes back with
    /// `Event::Saved`.
    pub fn save(&mut self, save_id: u64, state: HardState<Order>, out: &mut Vec<Effect>) {
        if self.running_save.is_some() {
            self.waiting_save = Some(WaitingSave { save_id, state });
            return;
        }
        self.begin_save(save_id, &state, out);
    }

    fn begin_save(&mut self, save_id: u64, state: &HardState<Order>, out: &mut Vec<Effect>) {
        self.newest_version += 1;
        self.running_save = Some(save_id);
        let name = file_name(self.newest_version);
        out.push(Effect::Save { number: save_id, name: name.clone(), bytes: Bytes::from(encode(state)) });
        // The shell carries these out after the save, in this order.
        out.extend(self.outdated_files.drain(..).map(Effect::Remove));
        self.outdated_files.push(name);
    }

    /// The running save is synced; the waiting one begins.
    pub fn saved(&mut self, out: &mut Vec<Effect>) {
        self.running_save = None;
        if let Some(next) = self.waiting_save.take() {
            self.begin_save(next.save_id, &next.state, out);
        }
    }
}
