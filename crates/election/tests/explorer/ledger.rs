//! What has happened in a world, as seen from outside, and the invariants
//! that it is held to.
use super::world::Machine;
use dw_election::prelude::*;

/// The fewest voters that bear one loss.
const FEWEST_VOTERS: usize = 3;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    TwoLeadersInTerm { term: Term, machines: [Machine; 2] },
    TwoReplicasMayAct { machines: Vec<Machine> },
    VotedTwice { term: Term, disk_id: Mark },
    ElectedWithoutQuorum { term: Term, machine: Machine },
    CommittedWithoutQuorum { index: u64, machine: Machine },
    CommittedEntriesDiffer { index: u64, machine: Machine },
    LeaderLacksCommitted { index: u64, machine: Machine },
    DiskLostCommitted { index: u64, disk_id: Mark },
    SnapshotDiffers { index: u64, machine: Machine },
    TooFewVoters { index: u64, voters: usize },
    LostMarkCountsAgain { index: u64, disk_id: Mark },
    NoLeaderAfterHealing,
    NoLeaderAfterOneMoreLoss { lost: Machine },
    AcknowledgedCommandLost { index: u64 },
}

impl Violation {
    /// Whether something wrong was done; else something due did not happen.
    pub fn is_of_safety(&self) -> bool {
        !matches!(self, Violation::NoLeaderAfterHealing | Violation::NoLeaderAfterOneMoreLoss { .. })
    }
}

/// The record of one history.
#[derive(Clone, Default)]
pub struct Ledger {
    leaders: BTreeMap<Term, Machine>,
    /// Durable votes by the data directory that cast them.
    votes: BTreeMap<(Term, Mark), Daemon>,
    /// The data directories in which an entry was ever durable.
    holders: BTreeMap<(u64, Term), BTreeSet<Mark>>,
    /// The latest snapshot that was ever durable in a data directory.
    covered: BTreeMap<Mark, u64>,
    pub committed: BTreeMap<u64, Entry<u32>>,
    /// The latest committed configuration.
    pub configuration: Configuration,
    /// Marks of data directories that no longer exist.
    pub lost_marks: BTreeSet<Mark>,
    /// Lost marks that a committed configuration has given up.
    retired_marks: BTreeSet<Mark>,
}

impl Ledger {
    /// The record of a group that begins with this configuration.
    pub fn of(configuration: Configuration) -> Ledger {
        Ledger { configuration, ..Ledger::default() }
    }

    /// A data directory that was taken for lost is there again.
    pub fn on_return(&mut self, disk_id: Mark) {
        self.lost_marks.remove(&disk_id);
        self.retired_marks.remove(&disk_id);
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

    /// Whether `state` has everything that was committed.
    pub fn first_missing(&self, state: &HardState<u32>) -> Option<u64> {
        let held = |index: u64, entry: &Entry<u32>| index <= state.snapshot.index || state.entry(index) == Some(entry);
        self.committed.iter().find(|(index, entry)| !held(**index, entry)).map(|(index, _)| *index)
    }

    pub fn on_durable(&mut self, state: &HardState<u32>) -> Result<(), Violation> {
        if let Some(vote) = &state.vote {
            let earlier = self.votes.insert((state.term, state.disk_id), vote.clone());
            if earlier.is_some_and(|earlier| earlier != *vote) {
                return Err(Violation::VotedTwice { term: state.term, disk_id: state.disk_id });
            }
        }
        let covered = self.covered.entry(state.disk_id).or_default();
        *covered = state.snapshot.index.max(*covered);
        for (index, entry) in (state.snapshot.index + 1..).zip(&state.log) {
            self.holders.entry((index, entry.term)).or_default().insert(state.disk_id);
        }
        Ok(())
    }

    /// A data directory never loses a committed entry that it once held.
    pub fn on_state(&self, state: &HardState<u32>) -> Result<(), Violation> {
        for (index, entry) in self.committed.range(state.snapshot.index + 1..) {
            let held = self.ever_held(*index, entry.term, state.disk_id);
            if held && state.term_at(*index) != Some(entry.term) {
                return Err(Violation::DiskLostCommitted { index: *index, disk_id: state.disk_id });
            }
        }
        Ok(())
    }

    fn ever_held(&self, index: u64, term: Term, disk_id: Mark) -> bool {
        let in_log = self.holders.get(&(index, term)).is_some_and(|marks| marks.contains(&disk_id));
        in_log || self.covered.get(&disk_id).is_some_and(|covered| *covered >= index)
    }

    /// Whether a quorum ever held this entry of `state`, whatever its term.
    pub fn counted(&self, index: u64, state: &HardState<u32>) -> bool {
        let configuration = state.configuration_at(state.last_index()).1;
        let term = state.term_at(index);
        term.is_some_and(|term| configuration.has_quorum(|_, disk_id| self.ever_held(index, term, disk_id)))
    }

    pub fn on_leader(&mut self, machine: Machine, term: Term, daemon: &Daemon, state: &HardState<u32>) -> Result<(), Violation> {
        if let Some(other) = self.leaders.insert(term, machine) {
            return Err(Violation::TwoLeadersInTerm { term, machines: [other, machine] });
        }
        if let Some(index) = self.first_missing(state) {
            return Err(Violation::LeaderLacksCommitted { index, machine });
        }
        let voted = |_: &Daemon, disk_id: Mark| self.votes.get(&(term, disk_id)) == Some(daemon);
        if !state.configuration_at(state.last_index()).1.has_quorum(voted) {
            return Err(Violation::ElectedWithoutQuorum { term, machine });
        }
        Ok(())
    }

    /// A leader committed up to `index` while `configuration` was in force.
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

    /// A replica learned that everything up to `index` is committed.
    pub fn on_commit(&mut self, machine: Machine, index: u64, state: &HardState<u32>) -> Result<(), Violation> {
        for index in state.snapshot.index + 1..=index {
            let Some(entry) = state.entry(index) else { break };
            match self.committed.get(&index) {
                Some(committed) if committed == entry => {}
                Some(_) => return Err(Violation::CommittedEntriesDiffer { index, machine }),
                None => self.record(index, entry)?,
            }
        }
        Ok(())
    }

    fn record(&mut self, index: u64, entry: &Entry<u32>) -> Result<(), Violation> {
        self.committed.insert(index, entry.clone());
        let Command::Configure(configuration) = &entry.command else { return Ok(()) };
        let sets = std::iter::once(&configuration.voters).chain(&configuration.outgoing);
        let voters = sets.map(BTreeMap::len).min().unwrap_or(0);
        if voters < FEWEST_VOTERS {
            return Err(Violation::TooFewVoters { index, voters });
        }
        let named: BTreeSet<Mark> = configuration.all_voters().map(|(_, voter)| voter.disk_id).collect();
        if let Some(disk_id) = named.intersection(&self.retired_marks).next() {
            return Err(Violation::LostMarkCountsAgain { index, disk_id: *disk_id });
        }
        let before: BTreeSet<Mark> = self.configuration.all_voters().map(|(_, voter)| voter.disk_id).collect();
        let given_up = before.difference(&named).filter(|disk_id| self.lost_marks.contains(disk_id));
        self.retired_marks.extend(given_up);
        self.configuration = configuration.clone();
        Ok(())
    }

    pub fn on_snapshot(&self, machine: Machine, snapshot: &Snapshot) -> Result<(), Violation> {
        let applied: Vec<(u64, u32)> = ciborium::from_reader(snapshot.data.as_ref()).unwrap_or_default();
        if applied != self.commands(snapshot.index) {
            return Err(Violation::SnapshotDiffers { index: snapshot.index, machine });
        }
        Ok(())
    }
}
