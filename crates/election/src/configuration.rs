//! Who the voters are, and what a quorum of them is.
use crate::prelude::*;

/// One voter, as the replicated configuration names it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The mark of the data directory that counts. Answers that come from
    /// any other directory under the same name do not count.
    #[serde(rename = "mark")]
    pub disk_id: Mark,
    /// Where other replicas reach it. Kept here so that a group that restarts
    /// as a whole finds itself again, whatever its seed lists say.
    pub address: String,
    pub zone: Zone,
}

impl Voter {
    /// The host part of the address; all daemons of a machine share it.
    pub fn host(&self) -> &str {
        host_of(&self.address)
    }
}

/// The voters by name.
pub type Voters = BTreeMap<Daemon, Voter>;

/// The voters of the group. While `outgoing` is set a change is under way
/// (joint consensus) and every decision needs a majority of both sets.
///
/// Invariant: the configuration in force at a replica is the latest one in
/// its log, committed or not; a new one is proposed only once the latest is
/// committed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "crate::earlier_format::StoredConfiguration")]
pub struct Configuration {
    pub voters: Voters,
    pub outgoing: Option<Voters>,
}

impl Configuration {
    /// A configuration that is not in transition.
    pub fn simple(voters: Voters) -> Configuration {
        Configuration { voters, outgoing: None }
    }

    /// Whether a change of the voters is under way.
    pub fn is_joint(&self) -> bool {
        self.outgoing.is_some()
    }

    fn sets(&self) -> impl Iterator<Item = &Voters> {
        std::iter::once(&self.voters).chain(&self.outgoing)
    }

    /// Every voter of either set. A name may occur twice, with two marks.
    pub fn all_voters(&self) -> impl Iterator<Item = (&Daemon, &Voter)> {
        self.sets().flatten()
    }

    /// The names of all voters of either set.
    pub fn voter_names(&self) -> BTreeSet<Daemon> {
        self.all_voters().map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Whether this replica, with this data directory, is a voter.
    pub fn is_voter(&self, daemon: &Daemon, disk_id: Mark) -> bool {
        self.sets().any(|set| set.get(daemon).is_some_and(|voter| voter.disk_id == disk_id))
    }

    /// Whether those who agree form a quorum of each set.
    pub fn has_quorum(&self, agrees: impl Fn(&Daemon, Mark) -> bool) -> bool {
        let majority = |set: &Voters| {
            let count = set.iter().filter(|(daemon, voter)| agrees(daemon, voter.disk_id)).count();
            count > set.len() / 2
        };
        !self.voters.is_empty() && self.sets().all(majority)
    }

    /// The highest value that a quorum of each set has reached; `None` where
    /// a quorum has no value at all.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&Daemon, Mark) -> Option<T>) -> Option<T> {
        let reached = |set: &Voters| {
            let mut values: Vec<T> = set.iter().filter_map(|(daemon, voter)| value(daemon, voter.disk_id)).collect();
            values.sort_by(|a, b| b.cmp(a));
            values.get(set.len() / 2).copied()
        };
        let each: Option<Vec<T>> = self.sets().map(reached).collect();
        each?.into_iter().min()
    }
}
