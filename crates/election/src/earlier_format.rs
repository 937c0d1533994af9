//! Reads the hard state that the version before this one wrote: members as a
//! map of marks without addresses, and changes of one member as entries.
use crate::configuration::Voters;
use crate::prelude::*;

/// A configuration in either form.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum StoredConfiguration {
    Current { voters: Voters, outgoing: Option<Voters> },
    Earlier(BTreeMap<Daemon, Mark>),
}

/// A voter whose address is not recorded; its seed list or its own messages
/// tell where it is.
fn without_address(disk_id: Mark) -> Voter {
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
    /// Replaces entries that changed one member by the configuration that
    /// they led to. Call it once, on a state that was read from disk.
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
