//! The voters of the group and the quorums they form.
use crate::prelude::*;

/// One voter in the replicated configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The data directory that holds this voter's state. Responses from any
    /// other directory under the same name do not count.
    #[serde(rename = "mark")]
    pub disk_id: IncarnationId,
    /// Where other replicas reach it. Stored in the configuration so that a
    /// group that restarts as a whole can reconnect even if its seed lists are
    /// out of date.
    pub address: String,
    pub zone: Zone,
}

impl Voter {
    /// The host part of the address, which all daemons of a machine share.
    pub fn host(&self) -> &str {
        host_of(&self.address)
    }
}

/// Voters by name.
pub type Voters = BTreeMap<Daemon, Voter>;

/// The voters of the group. While `outgoing` is set, the configuration is
/// joint: a change is in progress, and every decision needs a majority of the
/// old and of the new voters.
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
    /// A configuration that is not joint.
    pub fn simple(voters: Voters) -> Configuration {
        Configuration { voters, outgoing: None }
    }

    /// Whether a change of the voters is in progress.
    pub fn is_joint(&self) -> bool {
        self.outgoing.is_some()
    }

    fn voter_sets(&self) -> impl Iterator<Item = &Voters> {
        std::iter::once(&self.voters).chain(&self.outgoing)
    }

    /// Every voter of either set. A name may occur twice, with two disk ids.
    pub fn all_voters(&self) -> impl Iterator<Item = (&Daemon, &Voter)> {
        self.voter_sets().flatten()
    }

    /// The names of all voters of either set.
    pub fn voter_names(&self) -> BTreeSet<Daemon> {
        self.all_voters().map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Whether this replica with this data directory is a voter.
    pub fn is_voter(&self, daemon: &Daemon, disk_id: IncarnationId) -> bool {
        self.voter_sets().any(|set| set.get(daemon).is_some_and(|voter| voter.disk_id == disk_id))
    }

    /// Whether the voters for which `agrees` holds form a majority of each set.
    pub fn has_quorum(&self, agrees: impl Fn(&Daemon, IncarnationId) -> bool) -> bool {
        let majority = |set: &Voters| {
            let count = set.iter().filter(|(daemon, voter)| agrees(daemon, voter.disk_id)).count();
            count > set.len() / 2
        };
        !self.voters.is_empty() && self.voter_sets().all(majority)
    }

    /// The highest value that a majority of each set has reached; `None` if
    /// fewer than a majority have a value.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(&Daemon, IncarnationId) -> Option<T>) -> Option<T> {
        let reached = |set: &Voters| {
            let mut values: Vec<T> = set.iter().filter_map(|(daemon, voter)| value(daemon, voter.disk_id)).collect();
            values.sort_by(|a, b| b.cmp(a));
            values.get(set.len() / 2).copied()
        };
        let per_set: Option<Vec<T>> = self.voter_sets().map(reached).collect();
        per_set?.into_iter().min()
    }
}
