//! Deliberate faults. Each alters messages, actions or durable state around an
//! unchanged replica, so that a test can show that the invariants notice it.
use dw_election::prelude::*;

/// Which rule of the algorithm is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breakage {
    /// A restarted replica does not remember whom it voted for.
    ForgetsVote,
    /// Messages are released before the write that they depend on is durable.
    AnswersBeforeDurable,
    /// Installing a snapshot drops the whole log, acknowledged entries too.
    ClearsLogOnSnapshot,
    /// Answers of any data directory under a voter's name count.
    CountsAnyMark,
    /// Entries of earlier terms are committed by counting replicas.
    CommitsEarlierTerms,
    /// The voters change at once, without a joint configuration.
    ChangesWithoutJoint,
    /// No fault, for comparison: the leader restarts as it begins a change,
    /// as it does in the two that alter its log.
    RestartsAtChange,
    /// A voter is first expelled and its replacement admitted later.
    ExpelsThenAdmits,
    /// Votes are granted although a leader was heard a moment ago.
    VotesThoughLeaderHeard,
    /// A replica that lost its disk starts again under its old mark.
    KeepsMarkWhenWiped,
    /// A machine that was removed returns with an older state of its disk.
    ReturnsWithOlderDisk,
    /// What a replica can't hear is answered for it all the same.
    AnswersForTheDeaf,
}

/// The state after a broken configuration change, if `state` ends with one.
pub fn broken_change(breakage: Option<Breakage>, state: &HardState<u32>) -> Option<HardState<u32>> {
    let Command::Configure(Configuration { voters, outgoing: Some(outgoing) }) = &state.log.last()?.command else { return None };
    let voters = match breakage? {
        Breakage::RestartsAtChange => return Some(state.clone()),
        Breakage::ChangesWithoutJoint => voters.clone(),
        Breakage::ExpelsThenAdmits => {
            let stays = |(daemon, voter): &(&Daemon, &Voter)| voters.get(*daemon) == Some(*voter);
            let kept = outgoing.iter().filter(stays);
            let kept: BTreeMap<Daemon, Voter> = kept.map(|(daemon, voter)| (daemon.clone(), voter.clone())).collect();
            if kept.len() == outgoing.len() {
                voters.clone()
            } else {
                kept
            }
        }
        _ => return None,
    };
    let mut broken = state.clone();
    broken.log.last_mut()?.command = Command::Configure(Configuration::simple(voters));
    Some(broken)
}

/// The state of a follower whose log held nothing but the entries of `request`
/// after it installed the snapshot that came with them.
pub fn cleared_log(state: &HardState<u32>, request: &AppendRequest<u32>) -> HardState<u32> {
    HardState { log: request.entries.clone(), ..state.clone() }
}
