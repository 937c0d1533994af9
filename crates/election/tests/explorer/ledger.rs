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
    VotedTwice { term: Term, mark: IncarnationId },
    ElectedWithoutQuorum { term: Term, machine: Machine },
    CommittedWithoutQuorum { index: u64, machine: Machine },
    CommittedEntriesDiffer { index: u64, machine: Machine },
    LeaderLacksCommitted { index: u64, machine: Machine },
    DiskLostCommitted { index: u64, mark: IncarnationId },
    SnapshotDiffers { index: u64, machine: Machine },
    TooFewVoters { index: u64, voters: usize },
    LostMarkCountsAgain { index: u64, mark: IncarnationId },
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
    votes: BTreeMap<(Term, IncarnationId), Daemon>,
    /// The data directories in which an entry was ever durable.
    holders: BTreeMap<(u64, Term), BTreeSet<IncarnationId>>,
    /// The latest snapshot that was ever durable in a data directory.
    covered: BTreeMap<IncarnationId, u64>,
    pub committed: BTreeMap<u64, Entry<u32>>,
    /// The latest committed configuration.
    pub configuration: Configuration,
    /// Marks of data directories that no longer exist.
    pub lost_marks: BTreeSet<IncarnationId>,
    /// Lost marks that a committed configuration has given up.
    retired_marks: BTreeSet<IncarnationId>,
}

impl Ledger {
    /// The record of a group that begins with this configuration.
    pub fn of(configuration: Configuration) -> Ledger {
        Ledger { configuration, ..Ledger::default() }
    }

    /// A data directory that was taken for lost is there again.
    pub fn on_return(&mut self, mark: IncarnationId) {
        self.lost_marks.remove(&mark);
        self.retired_marks.remove(&mark);
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
            let earlier = self.votes.insert((state.term, state.mark), vote.clone());
            if earlier.is_some_and(|earlier| earlier != *vote) {
                return Err(Violation::VotedTwice { term: state.term, mark: state.mark });
            }
        }
        let covered = self.covered.entry(state.mark).or_default();
        *covered = state.snapshot.index.max(*covered);
        for (index, entry) in (state.snapshot.index + 1..).zip(&state.log) {
            self.holders.entry((index, entry.term)).or_default().insert(state.mark);
        }
        Ok(())
    }

    /// A data directory never loses a committed entry that it once held.
    pub fn on_state(&self, state: &HardState<u32>) -> Result<(), Violation> {
        for (index, entry) in self.committed.range(state.snapshot.index + 1..) {
            let held = self.ever_held(*index, entry.term, state.mark);
            if held && state.term_at(*index) != Some(entry.term) {
                return Err(Violation::DiskLostCommitted { index: *index, mark: state.mark });
            }
        }
        Ok(())
    }

    fn ever_held(&self, index: u64, term: Term, mark: IncarnationId) -> bool {
        let in_log = self.holders.get(&(index, term)).is_some_and(|marks| marks.contains(&mark));
        in_log || self.covered.get(&mark).is_some_and(|covered| *covered >= index)
    }

    /// Whether a quorum ever held this entry of `state`, whatever its term.
    pub fn counted(&self, index: u64, state: &HardState<u32>) -> bool {
        let configuration = state.configuration_at(state.last_index()).1;
        let term = state.term_at(index);
        term.is_some_and(|term| configuration.has_quorum(|_, mark| self.ever_held(index, term, mark)))
    }

    pub fn on_leader(&mut self, machine: Machine, term: Term, daemon: &Daemon, state: &HardState<u32>) -> Result<(), Violation> {
        if let Some(other) = self.leaders.insert(term, machine) {
            return Err(Violation::TwoLeadersInTerm { term, machines: [other, machine] });
        }
        if let Some(index) = self.first_missing(state) {
            return Err(Violation::LeaderLacksCommitted { index, machine });
        }
        let voted = |_: &Daemon, mark: IncarnationId| self.votes.get(&(term, mark)) == Some(daemon);
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
        if configuration.has_quorum(|_, mark| self.ever_held(index, term, mark)) {
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
        let named: BTreeSet<IncarnationId> = configuration.members().map(|(_, voter)| voter.mark).collect();
        if let Some(mark) = named.intersection(&self.retired_marks).next() {
            return Err(Violation::LostMarkCountsAgain { index, mark: *mark });
        }
        let before: BTreeSet<IncarnationId> = self.configuration.members().map(|(_, voter)| voter.mark).collect();
        let given_up = before.difference(&named).filter(|mark| self.lost_marks.contains(mark));
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
