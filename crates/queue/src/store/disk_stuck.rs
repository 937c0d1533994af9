//! A store whose disk accepts no writes.
//!
//! It refuses new messages at once, as it could not store them. What it holds stays
//! readable, and it remains a replica, but acknowledges nothing. As leader it would block
//! its partitions, since every change has to be synced here. So it releases them to the
//! other stores of their write sets and accepts none until the disk works again.
use crate::prelude::*;

/// A store releases its partitions after its disk has been stuck for this long. Waiting
/// out a shorter pause costs less than opening them elsewhere.
const RELEASE_PARTITIONS_AFTER: Span = Span::millis(500);

impl Store {
    /// Whether the disk accepts no writes now.
    pub(super) fn is_disk_stuck(&self) -> bool {
        self.disk_stuck_since.is_some()
    }

    /// Whether the disk has been stuck for so long that partitions have to be released.
    pub(super) fn must_release_partitions(&self, now: Time) -> bool {
        self.disk_stuck_since.is_some_and(|since| now.since(since) >= RELEASE_PARTITIONS_AFTER)
    }

    /// Whether the other stores of a write set are a majority and can open a new epoch
    /// without this one.
    pub(super) fn has_majority_without_this_store(&self, write_set: &[(Daemon, IncarnationId)]) -> bool {
        let others =
            write_set.iter().filter(|(store, _)| *store != self.startup.me.id && self.link.members.contains_key(store)).count();
        others > write_set.len() / 2
    }

    /// Marks for release the partitions that the rest of their write set can lead.
    pub(super) fn release_if_disk_stuck(&mut self, now: Time) {
        if !self.must_release_partitions(now) {
            return;
        }
        let releasable: Vec<PartitionId> = self
            .partitions
            .iter()
            .filter(|(_, part)| {
                part.leader_state.as_ref().is_some_and(|lead| self.has_majority_without_this_store(&lead.write_set))
            })
            .map(|(partition, _)| partition.clone())
            .collect();
        for partition in releasable {
            if let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.leader_state.as_mut()) {
                lead.releasing_since.get_or_insert(now);
            }
        }
    }

    /// Whether placement should grant nothing here: the disk is stuck, and all partitions
    /// are released. Reported earlier, placement would take a claim that is still live
    /// for a released one.
    pub(super) fn unfit_as_leader(&self, now: Time) -> bool {
        let has_lease = self.link.leases.active(now).iter().any(|(duty, _)| matches!(duty, Duty::Lead(_)));
        self.must_release_partitions(now) && !has_lease && self.partitions.values().all(|part| part.leader_state.is_none())
    }
}
