//! A store whose disk takes no writes.
//!
//! It refuses new messages at once, as nothing of them is written anywhere.
//! What it has stays readable, and it goes on as a replica that acknowledges
//! nothing. As leader it would block its partitions, since every change has to
//! be synced here: it gives them up to the rest of their write set and takes
//! none back until the disk works again.
use crate::prelude::*;

/// A disk stuck for this long costs the store its partitions: a shorter pause
/// costs less than opening them elsewhere.
const GIVE_UP_AFTER: Span = Span::millis(500);

impl Store {
    /// Whether new messages can't be written now.
    pub(super) fn refuses_writes(&self) -> bool {
        self.disk_stuck.is_some()
    }

    /// Whether the disk has been stuck for so long that partitions are given
    /// up.
    pub(super) fn gives_up_partitions(&self, now: Time) -> bool {
        self.disk_stuck.is_some_and(|since| now.since(since) >= GIVE_UP_AFTER)
    }

    /// Whether a write set can open a new epoch without this store.
    pub(super) fn spares_this_store(&self, set: &[(Daemon, IncarnationId)]) -> bool {
        let others = set.iter().filter(|(d, _)| *d != self.startup.me.id && self.link.members.contains_key(d)).count();
        others > set.len() / 2
    }

    /// Sheds the partitions that the rest of their write set can keep.
    pub(super) fn shed_if_stuck(&mut self, now: Time) {
        if !self.gives_up_partitions(now) {
            return;
        }
        let spared: Vec<PartitionId> = self
            .parts
            .iter()
            .filter(|(_, part)| part.leader_state.as_ref().is_some_and(|own| self.spares_this_store(&own.write_set)))
            .map(|(place, _)| place.clone())
            .collect();
        for place in spared {
            if let Some(own) = self.parts.get_mut(&place).and_then(|part| part.leader_state.as_mut()) {
                own.releasing_since.get_or_insert(now);
            }
        }
    }

    /// Whether placement should grant nothing here: the disk is stuck, and all
    /// partitions are given up. Earlier than that it would take a claim that
    /// is still live for one given up.
    pub(super) fn unfit_as_leader(&self, now: Time) -> bool {
        let leads = self.link.leases.active(now).iter().any(|(duty, _)| matches!(duty, Duty::Lead(_)));
        self.gives_up_partitions(now) && !leads && self.parts.values().all(|part| part.leader_state.is_none())
    }
}
