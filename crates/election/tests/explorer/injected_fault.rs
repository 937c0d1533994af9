//! Injected faults. Each alters messages, actions or durable state around an
//! unchanged replica, so that a test can show that the invariants detect it.
use dw_election::prelude::*;

/// The rule of the algorithm that is violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A restarted replica does not remember its vote.
    ForgetsVote,
    /// Messages are sent before the write that they depend on is durable.
    SendsBeforeDurable,
    /// Installing a snapshot drops the whole log, including acknowledged entries.
    ClearsLogOnSnapshot,
    /// Responses of any data directory under a voter's name count.
    CountsAnyDiskId,
    /// Entries of earlier terms are committed by counting replicas.
    CommitsEntriesOfEarlierTerms,
    /// The voters change in one step, without a joint configuration.
    ChangesWithoutJointConsensus,
    /// No fault, but a control: the leader restarts when it begins a change, as
    /// it does with the two faults that alter its log.
    RestartsLeaderAtChange,
    /// A voter is removed first and its replacement added later.
    RemovesBeforeAdding,
    /// Votes are granted despite recent contact with a leader.
    VotesDespiteRecentLeader,
    /// A replica that lost its disk restarts with its old disk id.
    KeepsDiskIdWhenWiped,
    /// A removed machine returns with an earlier state of its disk.
    ReturnsWithOutdatedDisk,
    /// Heartbeats that a replica does not receive are acknowledged in its name.
    AcknowledgesUndelivered,
}

/// The state after a faulty configuration change, if the log of `state` ends with a change.
pub fn faulty_change(fault: Option<InjectedFault>, state: &HardState<u32>) -> Option<HardState<u32>> {
    let Command::Configure(Configuration { voters, outgoing: Some(outgoing) }) = &state.log.last()?.command else { return None };
    let voters = match fault? {
        InjectedFault::RestartsLeaderAtChange => return Some(state.clone()),
        InjectedFault::ChangesWithoutJointConsensus => voters.clone(),
        InjectedFault::RemovesBeforeAdding => {
            let is_kept = |(daemon, voter): &(&Daemon, &Voter)| voters.get(*daemon) == Some(*voter);
            let kept = outgoing.iter().filter(is_kept);
            let kept: BTreeMap<Daemon, Voter> = kept.map(|(daemon, voter)| (daemon.clone(), voter.clone())).collect();
            if kept.len() == outgoing.len() {
                voters.clone()
            } else {
                kept
            }
        }
        _ => return None,
    };
    let mut faulty = state.clone();
    faulty.log.last_mut()?.command = Command::Configure(Configuration::simple(voters));
    Some(faulty)
}

/// The state of a follower whose log held nothing but the entries of `request`
/// after it installed the snapshot that came with them.
pub fn state_with_cleared_log(state: &HardState<u32>, request: &AppendRequest<u32>) -> HardState<u32> {
    HardState { log: request.entries.clone(), ..state.clone() }
}
