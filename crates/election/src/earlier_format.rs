//! Reads the hard state that the previous version wrote. It stored the
//! configuration as a map from name to disk id, without addresses, and changed
//! the membership by log entries that added or removed one member.
use crate::configuration::Voters;
use crate::prelude::*;

/// A stored configuration, in the current or the earlier format.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum StoredConfiguration {
    Current { voters: Voters, outgoing: Option<Voters> },
    Earlier(BTreeMap<Daemon, IncarnationId>),
}

/// A voter whose address was not stored. It is found through the seed list or
/// through its own messages.
fn without_address(disk_id: IncarnationId) -> Voter {
    Voter { disk_id, ..Voter::default() }
}

impl From<StoredConfiguration> for Configuration {
    fn from(stored: StoredConfiguration) -> Configuration {
        match stored {
            StoredConfiguration::Current { voters, outgoing } => Configuration { voters, outgoing },
            StoredConfiguration::Earlier(marks) => {
                Configuration::simple(marks.into_iter().map(|(daemon, disk_id)| (daemon, without_address(disk_id))).collect())
            }
        }
    }
}

impl<C> HardState<C> {
    /// Replaces each entry that added or removed one member by the
    /// configuration that resulted from it. Call it once on a state read from
    /// disk.
    pub fn upgraded(mut self) -> HardState<C> {
        let mut configuration = self.snapshot.configuration.clone();
        for entry in &mut self.log {
            match &entry.command {
                Command::Admit(daemon, disk_id) => {
                    configuration.voters.insert(daemon.clone(), without_address(*disk_id));
                }
                Command::Expel(daemon) => {
                    configuration.voters.remove(daemon);
                }
                Command::Configure(current) => {
                    configuration = current.clone();
                    continue;
                }
                Command::Noop | Command::Apply(_) => continue,
            }
            entry.command = Command::Configure(configuration.clone());
        }
        self
    }
}
