//! Which replicas should be the voters: a pure decision of the leader.
//!
//! Ways weighed. *One change after the other* (Raft's single-server change):
//! to replace a voter the group passes through an even size, in which the loss
//! of one more voter leaves no majority, or a wiped voter is expelled and the
//! group of two left tolerates nothing. *Joint consensus* (chosen): a voter is
//! replaced in one step that needs no more replicas than the configuration
//! before it did, and several can change at once, so a group grows from three
//! to five without passing through four.
use crate::configuration::Voters;
use crate::prelude::*;

/// What the group is to look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Voters wanted: `2f + 1` for `f` losses at once.
    pub target_voters: usize,
    /// A voter that has been silent for this long is replaced.
    pub replace_after: Span,
    /// The same, where no replacement keeps the zones apart.
    pub replace_across_zones_after: Span,
}

impl Default for MembershipPolicy {
    fn default() -> MembershipPolicy {
        MembershipPolicy::tolerating(1)
    }
}

impl MembershipPolicy {
    /// The policy for a group that has to bear `failures` losses at once.
    pub fn tolerating(failures: usize) -> MembershipPolicy {
        MembershipPolicy {
            target_voters: 2 * failures.max(1) + 1,
            replace_after: Span::secs(2),
            replace_across_zones_after: Span::secs(10),
        }
    }
}

/// A replica as the policy sees it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub voter: Voter,
    pub silent_for: Span,
    /// It holds everything committed and answered a moment ago.
    pub eligible: bool,
    /// It is about to stop or its machine is to be taken away.
    pub unwanted: bool,
}

/// The voters that should follow `current`, if others than these.
pub(crate) fn next_voters(current: &Voters, peers: &BTreeMap<Daemon, Peer>, policy: &MembershipPolicy) -> Option<Voters> {
    let mut plan = Plan { voters: current.clone(), peers, policy };
    plan.renew_wiped();
    plan.replace_lost();
    plan.grow();
    plan.spread_over_zones();
    (plan.voters != *current).then_some(plan.voters)
}

struct Plan<'a> {
    voters: Voters,
    peers: &'a BTreeMap<Daemon, Peer>,
    policy: &'a MembershipPolicy,
}

/// The most voters that may stand in one zone, so that a zone can be lost.
fn zone_limit(voters: usize) -> usize {
    (voters.saturating_sub(1) / 2).max(1)
}

impl Plan<'_> {
    fn in_zone(&self, zone: &Zone) -> usize {
        self.voters.values().filter(|voter| voter.zone == *zone).count()
    }

    fn crowded(&self) -> bool {
        let limit = zone_limit(self.voters.len());
        self.voters.values().any(|voter| self.in_zone(&voter.zone) > limit)
    }

    /// The eligible replica outside the voters whose zone holds the fewest.
    fn best_candidate(&self) -> Option<(Daemon, Voter)> {
        let candidates = self.peers.iter().filter(|(daemon, peer)| {
            let outside = !self.voters.contains_key(*daemon);
            outside && peer.eligible && !peer.unwanted
        });
        let best = candidates.min_by_key(|(daemon, peer)| (self.in_zone(&peer.voter.zone), *daemon));
        best.map(|(daemon, peer)| (daemon.clone(), peer.voter.clone()))
    }

    /// A voter that came back with an empty data directory and was caught up
    /// takes its own place again.
    fn renew_wiped(&mut self) {
        for (daemon, voter) in &mut self.voters {
            let Some(peer) = self.peers.get(daemon) else { continue };
            if peer.eligible && peer.voter.disk_id != voter.disk_id {
                *voter = peer.voter.clone();
            }
        }
    }

    fn replace_lost(&mut self) {
        let lost: Vec<Daemon> = self.voters.keys().filter(|daemon| self.is_lost(daemon)).cloned().collect();
        for daemon in lost {
            self.replace(&daemon);
        }
    }

    fn is_lost(&self, daemon: &Daemon) -> bool {
        let Some(peer) = self.peers.get(daemon) else { return false };
        peer.unwanted || peer.silent_for >= self.policy.replace_after
    }

    fn replace(&mut self, daemon: &Daemon) {
        let before = self.voters.clone();
        self.voters.remove(daemon);
        let Some((name, voter)) = self.best_candidate() else {
            self.voters = before;
            return;
        };
        self.voters.insert(name, voter);
        let peer = self.peers.get(daemon);
        let patient = peer.is_some_and(|p| !p.unwanted && p.silent_for < self.policy.replace_across_zones_after);
        if patient && self.crowded() {
            self.voters = before;
        }
    }

    /// Adds voters up to the size wanted, by steps from odd to odd size: an
    /// even group bears no more losses than the odd one below it.
    fn grow(&mut self) {
        while self.voters.len() < self.policy.target_voters {
            let before = self.voters.clone();
            let wanted = if before.len().is_multiple_of(2) { 1 } else { 2 };
            for _ in 0..wanted {
                let Some((name, voter)) = self.best_candidate() else {
                    self.voters = before;
                    return;
                };
                self.voters.insert(name, voter);
            }
        }
    }

    /// Moves a vote out of a crowded zone, where a replica elsewhere can take it.
    fn spread_over_zones(&mut self) {
        if !self.crowded() {
            return;
        }
        let Some((name, voter)) = self.best_candidate() else { return };
        let emptier = self.in_zone(&voter.zone);
        let fullest = self.voters.iter().max_by_key(|(daemon, held)| (self.in_zone(&held.zone), *daemon));
        let Some(leaving) = fullest.map(|(daemon, held)| (daemon.clone(), self.in_zone(&held.zone))) else { return };
        if leaving.1 > emptier + 1 {
            self.voters.remove(&leaving.0);
            self.voters.insert(name, voter);
        }
    }
}
