//! Decides which replicas should be the voters, from the leader's view.
//!
//! Membership changes use joint consensus rather than Raft's single-server
//! changes. With single-server changes, replacing a voter takes the group
//! through an even size, in which the loss of one more voter leaves no
//! majority; or a wiped voter is removed first, and the remaining group of two
//! tolerates no loss. With joint consensus a voter is replaced in one step
//! that needs no more replicas than the previous configuration did, and
//! several voters can change at once, so that a group grows from three to five
//! without passing through four.
use crate::configuration::Voters;
use crate::prelude::*;

/// The intended size of the group and when a voter is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Number of voters: `2f + 1` to tolerate `f` simultaneous failures.
    pub target_voters: usize,
    /// A voter that has been silent for this long is replaced.
    pub replace_after: Span,
    /// The same if every replacement puts too many voters into one zone.
    pub replace_across_zones_after: Span,
}

impl Default for MembershipPolicy {
    fn default() -> MembershipPolicy {
        MembershipPolicy::tolerating(1)
    }
}

impl MembershipPolicy {
    /// The policy for a group that has to tolerate `failures` simultaneous failures.
    pub fn tolerating(failures: usize) -> MembershipPolicy {
        MembershipPolicy {
            target_voters: 2 * failures.max(1) + 1,
            replace_after: Span::secs(2),
            replace_across_zones_after: Span::secs(10),
        }
    }
}

/// What the policy knows about a replica.
#[derive(Clone, Debug)]
pub(crate) struct PeerStatus {
    pub voter: Voter,
    pub silent_for: Span,
    /// It is connected, can be reached and holds everything that is committed.
    pub eligible: bool,
    /// It must not be a voter: it is about to stop, or its host is excluded.
    pub excluded: bool,
}

/// The voters that should replace `current`; `None` if no change is due.
pub(crate) fn next_voters(current: &Voters, peers: &BTreeMap<Daemon, PeerStatus>, policy: &MembershipPolicy) -> Option<Voters> {
    let mut plan = VoterPlan { voters: current.clone(), peers, policy };
    plan.readmit_wiped_voters();
    plan.replace_lost_voters();
    plan.add_voters();
    plan.balance_zones();
    (plan.voters != *current).then_some(plan.voters)
}

/// The next set of voters while it is being worked out.
struct VoterPlan<'a> {
    voters: Voters,
    peers: &'a BTreeMap<Daemon, PeerStatus>,
    policy: &'a MembershipPolicy,
}

/// The largest number of voters in one zone with which the group survives the loss of that zone.
fn max_voters_per_zone(voters: usize) -> usize {
    (voters.saturating_sub(1) / 2).max(1)
}

impl VoterPlan<'_> {
    fn voters_in_zone(&self, zone: &Zone) -> usize {
        self.voters.values().filter(|voter| voter.zone == *zone).count()
    }

    /// Whether a zone has more voters than `max_voters_per_zone` allows.
    fn has_overfull_zone(&self) -> bool {
        let limit = max_voters_per_zone(self.voters.len());
        self.voters.values().any(|voter| self.voters_in_zone(&voter.zone) > limit)
    }

    /// The eligible non-voter whose zone has the fewest voters.
    fn best_candidate(&self) -> Option<(Daemon, Voter)> {
        let candidates = self.peers.iter().filter(|(daemon, peer)| {
            let outside = !self.voters.contains_key(*daemon);
            outside && peer.eligible && !peer.excluded
        });
        let best = candidates.min_by_key(|(daemon, peer)| (self.voters_in_zone(&peer.voter.zone), *daemon));
        best.map(|(daemon, peer)| (daemon.clone(), peer.voter.clone()))
    }

    /// Admits voters again that restarted with an empty data directory and
    /// have caught up.
    fn readmit_wiped_voters(&mut self) {
        for (daemon, voter) in &mut self.voters {
            let Some(peer) = self.peers.get(daemon) else { continue };
            if peer.eligible && peer.voter.disk_id != voter.disk_id {
                *voter = peer.voter.clone();
            }
        }
    }

    /// Replaces voters that are excluded or have been silent for too long.
    fn replace_lost_voters(&mut self) {
        let lost: Vec<Daemon> = self.voters.keys().filter(|daemon| self.is_lost(daemon)).cloned().collect();
        for daemon in lost {
            self.replace(&daemon);
        }
    }

    fn is_lost(&self, daemon: &Daemon) -> bool {
        let Some(peer) = self.peers.get(daemon) else { return false };
        peer.excluded || peer.silent_for >= self.policy.replace_after
    }

    /// Replaces a voter by the best candidate, if there is one. A silent voter is
    /// kept for a while if its replacement would put too many voters into one zone.
    fn replace(&mut self, daemon: &Daemon) {
        let previous = self.voters.clone();
        self.voters.remove(daemon);
        let Some((name, voter)) = self.best_candidate() else {
            self.voters = previous;
            return;
        };
        self.voters.insert(name, voter);
        let peer = self.peers.get(daemon);
        let may_wait = peer.is_some_and(|p| !p.excluded && p.silent_for < self.policy.replace_across_zones_after);
        if may_wait && self.has_overfull_zone() {
            self.voters = previous;
        }
    }

    /// Adds voters up to the target size, from one odd size to the next: an
    /// even group tolerates no more failures than the next smaller odd one.
    fn add_voters(&mut self) {
        while self.voters.len() < self.policy.target_voters {
            let previous = self.voters.clone();
            let additions = if previous.len().is_multiple_of(2) { 1 } else { 2 };
            for _ in 0..additions {
                let Some((name, voter)) = self.best_candidate() else {
                    self.voters = previous;
                    return;
                };
                self.voters.insert(name, voter);
            }
        }
    }

    /// Replaces a voter of a zone with too many voters, if an eligible replica
    /// stands in a zone with fewer.
    fn balance_zones(&mut self) {
        if !self.has_overfull_zone() {
            return;
        }
        let Some((name, voter)) = self.best_candidate() else { return };
        let candidate_zone_voters = self.voters_in_zone(&voter.zone);
        let fullest_zone_voter = self.voters.iter().max_by_key(|(daemon, voter)| (self.voters_in_zone(&voter.zone), *daemon));
        let Some((leaving, zone_voters)) =
            fullest_zone_voter.map(|(daemon, voter)| (daemon.clone(), self.voters_in_zone(&voter.zone)))
        else {
            return;
        };
        if zone_voters > candidate_zone_voters + 1 {
            self.voters.remove(&leaving);
            self.voters.insert(name, voter);
        }
    }
}
