//! Records the history of a world from outside the replicas and checks the
//! safety invariants.
use super::world::Machine;
use dw_election::prelude::*;

/// The smallest number of voters that tolerates one failure.
const MIN_VOTERS: usize = 3;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    TwoLeadersInTerm { term: Term, machines: [Machine; 2] },
    TwoActiveLeaders { machines: Vec<Machine> },
    VotedTwice { term: Term, disk_id: IncarnationId },
    ElectedWithoutQuorum { term: Term, machine: Machine },
    CommittedWithoutQuorum { index: u64, machine: Machine },
    CommittedEntriesDiffer { index: u64, machine: Machine },
    LeaderLacksCommitted { index: u64, machine: Machine },
    DiskLostCommitted { index: u64, disk_id: IncarnationId },
    SnapshotDiffers { index: u64, machine: Machine },
    TooFewVoters { index: u64, voters: usize },
    LostDiskIdReadmitted { index: u64, disk_id: IncarnationId },
    NoLeaderAfterRecovery,
    NoLeaderAfterOneMoreLoss { lost: Machine },
    AcknowledgedCommandLost { index: u64 },
}

impl Violation {
    /// Whether safety is violated; otherwise it is liveness.
    pub fn is_safety_violation(&self) -> bool {
        !matches!(self, Violation::NoLeaderAfterRecovery | Violation::NoLeaderAfterOneMoreLoss { .. })
    }
}

/// The record of one history, against which each new event is checked.
#[derive(Clone, Default)]
pub struct InvariantChecker {
    leaders: BTreeMap<Term, Machine>,
    /// Durable votes, by term and the data directory that cast them.
    votes: BTreeMap<(Term, IncarnationId), Daemon>,
    /// The data directories in which an entry was durable at any time.
    holders: BTreeMap<(u64, Term), BTreeSet<IncarnationId>>,
    /// The index of the latest snapshot that was durable in a data directory.
    snapshot_indexes: BTreeMap<IncarnationId, u64>,
    pub committed: BTreeMap<u64, Entry<u32>>,
    /// The latest committed configuration.
    pub configuration: Configuration,
    /// Ids of data directories that no longer exist.
    pub lost_disk_ids: BTreeSet<IncarnationId>,
    /// Ids of lost data directories that a committed configuration no longer contains.
    replaced_disk_ids: BTreeSet<IncarnationId>,
}

impl InvariantChecker {
    /// The checker of a group that starts with this configuration.
    pub fn starting_with(configuration: Configuration) -> InvariantChecker {
        InvariantChecker { configuration, ..InvariantChecker::default() }
    }

    /// A data directory that was recorded as lost exists again.
    pub fn on_disk_returned(&mut self, disk_id: IncarnationId) {
        self.lost_disk_ids.remove(&disk_id);
        self.replaced_disk_ids.remove(&disk_id);
    }

    pub fn last_committed(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// The committed commands up to `index`.
    pub fn commands(&self, index: u64) -> Vec<(u64, u32)> {
        let entries = self.committed.range(..=index);
        let commands = entries.filter_map(|(index, entry)| match entry.command {
            Command::Apply(command) => Some((*index, command)),
            _ => None,
        });
        commands.collect()
    }

    /// The index of the first committed entry that `state` lacks.
    pub fn first_missing_committed(&self, state: &HardState<u32>) -> Option<u64> {
        let is_held = |index: u64, entry: &Entry<u32>| index <= state.snapshot.index || state.entry(index) == Some(entry);
        self.committed.iter().find(|(index, entry)| !is_held(**index, entry)).map(|(index, _)| *index)
    }

    /// A state became durable: records its vote and entries, and checks that its
    /// data directory casts one vote in a term.
    pub fn on_durable(&mut self, state: &HardState<u32>) -> Result<(), Violation> {
        if let Some(vote) = &state.vote {
            let earlier = self.votes.insert((state.term, state.disk_id), vote.clone());
            if earlier.is_some_and(|earlier| earlier != *vote) {
                return Err(Violation::VotedTwice { term: state.term, disk_id: state.disk_id });
            }
        }
        let latest_snapshot = self.snapshot_indexes.entry(state.disk_id).or_default();
        *latest_snapshot = state.snapshot.index.max(*latest_snapshot);
        for (index, entry) in (state.snapshot.index + 1..).zip(&state.log) {
            self.holders.entry((index, entry.term)).or_default().insert(state.disk_id);
        }
        Ok(())
    }

    /// A state is to be written: checks that it keeps every committed entry that
    /// its data directory held before.
    pub fn on_write_issued(&self, state: &HardState<u32>) -> Result<(), Violation> {
        for (index, entry) in self.committed.range(state.snapshot.index + 1..) {
            let is_held = self.ever_held(*index, entry.term, state.disk_id);
            if is_held && state.term_at(*index) != Some(entry.term) {
                return Err(Violation::DiskLostCommitted { index: *index, disk_id: state.disk_id });
            }
        }
        Ok(())
    }

    fn ever_held(&self, index: u64, term: Term, disk_id: IncarnationId) -> bool {
        let in_log = self.holders.get(&(index, term)).is_some_and(|disk_ids| disk_ids.contains(&disk_id));
        in_log || self.snapshot_indexes.get(&disk_id).is_some_and(|latest| *latest >= index)
    }

    /// Whether a quorum has held this entry of `state` at any time, in whatever term.
    pub fn was_held_by_quorum(&self, index: u64, state: &HardState<u32>) -> bool {
        let configuration = state.configuration_at(state.last_index()).1;
        let term = state.term_at(index);
        term.is_some_and(|term| configuration.has_quorum(|_, disk_id| self.ever_held(index, term, disk_id)))
    }

    /// A replica became leader: checks that it is the only one in the term, holds
    /// all committed entries and was elected by a quorum.
    pub fn on_leader(&mut self, machine: Machine, term: Term, daemon: &Daemon, state: &HardState<u32>) -> Result<(), Violation> {
        if let Some(other) = self.leaders.insert(term, machine) {
            return Err(Violation::TwoLeadersInTerm { term, machines: [other, machine] });
        }
        if let Some(index) = self.first_missing_committed(state) {
            return Err(Violation::LeaderLacksCommitted { index, machine });
        }
        let voted = |_: &Daemon, disk_id: IncarnationId| self.votes.get(&(term, disk_id)) == Some(daemon);
        if !state.configuration_at(state.last_index()).1.has_quorum(voted) {
            return Err(Violation::ElectedWithoutQuorum { term, machine });
        }
        Ok(())
    }

    /// A leader committed entries up to `index` while `configuration` was in force:
    /// checks that a quorum held them.
    pub fn on_leader_commit(
        &self,
        machine: Machine,
        index: u64,
        state: &HardState<u32>,
        configuration: &Configuration,
    ) -> Result<(), Violation> {
        let Some(term) = state.term_at(index) else { return Ok(()) };
        if configuration.has_quorum(|_, disk_id| self.ever_held(index, term, disk_id)) {
            return Ok(());
        }
        Err(Violation::CommittedWithoutQuorum { index, machine })
    }

    /// A replica knows that all entries up to `index` are committed: checks that
    /// they equal those that others committed.
    pub fn on_commit(&mut self, machine: Machine, index: u64, state: &HardState<u32>) -> Result<(), Violation> {
        for index in state.snapshot.index + 1..=index {
            let Some(entry) = state.entry(index) else { break };
            match self.committed.get(&index) {
                Some(committed) if committed == entry => {}
                Some(_) => return Err(Violation::CommittedEntriesDiffer { index, machine }),
                None => self.record_committed(index, entry)?,
            }
        }
        Ok(())
    }

    fn record_committed(&mut self, index: u64, entry: &Entry<u32>) -> Result<(), Violation> {
        self.committed.insert(index, entry.clone());
        let Command::Configure(configuration) = &entry.command else { return Ok(()) };
        let sets = std::iter::once(&configuration.voters).chain(&configuration.outgoing);
        let voters = sets.map(BTreeMap::len).min().unwrap_or(0);
        if voters < MIN_VOTERS {
            return Err(Violation::TooFewVoters { index, voters });
        }
        let new_ids: BTreeSet<IncarnationId> = configuration.all_voters().map(|(_, voter)| voter.disk_id).collect();
        if let Some(disk_id) = new_ids.intersection(&self.replaced_disk_ids).next() {
            return Err(Violation::LostDiskIdReadmitted { index, disk_id: *disk_id });
        }
        let old_ids: BTreeSet<IncarnationId> = self.configuration.all_voters().map(|(_, voter)| voter.disk_id).collect();
        let removed_lost_ids = old_ids.difference(&new_ids).filter(|disk_id| self.lost_disk_ids.contains(disk_id));
        self.replaced_disk_ids.extend(removed_lost_ids);
        self.configuration = configuration.clone();
        Ok(())
    }

    /// A replica installed a snapshot: checks that it contains the committed commands.
    pub fn on_snapshot(&self, machine: Machine, snapshot: &Snapshot) -> Result<(), Violation> {
        let applied: Vec<(u64, u32)> = ciborium::from_reader(snapshot.data.as_ref()).unwrap_or_default();
        if applied != self.commands(snapshot.index) {
            return Err(Violation::SnapshotDiffers { index: snapshot.index, machine });
        }
        Ok(())
    }
}
