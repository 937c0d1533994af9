//! The hard state of a replica: what it keeps on disk.
use crate::prelude::*;
use bytes::Bytes;

/// What one log entry does. The aliases are the names that the earlier format used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command<C> {
    /// The first entry of a leader's term. Committing it commits the entries of earlier terms.
    #[serde(alias = "Open")]
    Noop,
    /// Puts this configuration in force as soon as it is in the log.
    Configure(Configuration),
    /// A command for the host's state machine.
    #[serde(alias = "Do")]
    Apply(C),
    /// Only read, never written: see [`crate::earlier_format`].
    Admit(Daemon, IncarnationId),
    /// Only read, never written: see [`crate::earlier_format`].
    Expel(Daemon),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry<C> {
    pub term: Term,
    #[serde(alias = "item")]
    pub command: Command<C>,
}

/// The result of all entries up to and including `index`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: u64,
    pub term: Term,
    /// The configuration in force at `index`.
    #[serde(alias = "members")]
    pub configuration: Configuration,
    /// The host's state machine, in its own encoding.
    pub data: Bytes,
}

/// The whole durable state. Each write replaces all of it.
///
/// Invariants: the vote belongs to `term`; `log[0]` is the entry with index
/// `snapshot.index + 1`; `initialized` is false only in a data directory that
/// has never held a state of the group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HardState<C> {
    #[serde(rename = "mark")]
    pub disk_id: IncarnationId,
    #[serde(rename = "founded")]
    pub initialized: bool,
    pub term: Term,
    pub vote: Option<Daemon>,
    #[serde(alias = "base")]
    pub snapshot: Snapshot,
    pub log: Vec<Entry<C>>,
}

impl<C> HardState<C> {
    /// The state of an empty data directory.
    pub fn empty(disk_id: IncarnationId) -> HardState<C> {
        HardState { disk_id, initialized: false, term: Term(0), vote: None, snapshot: Snapshot::default(), log: Vec::new() }
    }
    /// The index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.log.len() as u64
    }
    /// The term of the last entry.
    pub fn last_term(&self) -> Term {
        self.log.last().map_or(self.snapshot.term, |entry| entry.term)
    }
    /// The term of an entry, if the log or the snapshot still has it.
    pub fn term_at(&self, index: u64) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }
    /// An entry that the snapshot does not cover.
    pub fn entry(&self, index: u64) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.log.get(offset as usize)
    }
    /// The latest configuration up to `index`, with the index of its entry.
    pub fn configuration_at(&self, index: u64) -> (u64, &Configuration) {
        let entry_count = index.saturating_sub(self.snapshot.index) as usize;
        let entries = self.log.iter().take(entry_count).enumerate().rev();
        let latest = entries.into_iter().find_map(|(offset, entry)| match &entry.command {
            Command::Configure(configuration) => Some((self.snapshot.index + 1 + offset as u64, configuration)),
            _ => None,
        });
        latest.unwrap_or((self.snapshot.index, &self.snapshot.configuration))
    }
    /// Removes every entry from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        self.log.truncate(index.saturating_sub(self.snapshot.index + 1) as usize);
    }
    /// Installs a snapshot that is newer than the current one. If the log
    /// agrees with it, the entries after it are kept: they may have been
    /// acknowledged, and the leader may have counted them to commit.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) {
        let log_agrees = self.initialized && self.term_at(snapshot.index) == Some(snapshot.term);
        match log_agrees {
            true => drop(self.log.drain(..(snapshot.index - self.snapshot.index) as usize)),
            false => self.log.clear(),
        }
        self.snapshot = snapshot;
        self.initialized = true;
    }
}
