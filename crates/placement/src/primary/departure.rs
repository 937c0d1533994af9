//! Stores that are told to stop when their successor is already running.
//!
//! The platform stops a machine for good in the same way as it restarts one, so a store
//! can't know which of the two happens. If a store without any seat started shortly before,
//! it is taken for the successor: the seats of the stopping store move to it at once, and
//! the stopping store stays as a replica until they have moved. Otherwise messages stored
//! only on it and one other store would have a single copy from its exit until its absence
//! was noticed. Without a successor a stop is a restart: nothing moves, and the store exits
//! at once.
use crate::prelude::*;

/// A store without a seat counts as a successor if it started within this time.
const SUCCESSOR_PERIOD: Span = Span::secs(30);

impl Placement {
    /// Whether a store's seats move because it was told to stop.
    pub(super) fn is_departing(&self, store: &Daemon) -> bool {
        self.replacements.departing.contains(store)
    }

    /// Whether the last report of a store said that it was told to stop. After a restart
    /// its reports no longer say so.
    fn is_stopping(&self, store: &Daemon) -> bool {
        let report = self.daemons.get(store).and_then(|seen| seen.report.as_ref());
        report.is_some_and(|report| report.stopping)
    }

    /// Whether a live store without a seat started recently.
    fn has_successor(&self, now: Time) -> bool {
        let started_recently =
            |store: &Daemon| self.daemons.get(store).is_some_and(|seen| now.since(seen.live_since) < SUCCESSOR_PERIOD);
        let mut stores = self.committed.members_of_kind(DaemonKind::Store).map(|member| &member.id);
        stores.any(|store| started_recently(store) && self.is_live(store, now) && self.seat_count(store) == 0)
    }

    /// Updates the set of stores that are stopping and have a successor. A store stays in
    /// the set after the successor has taken its first seat, and after the store has become
    /// silent.
    pub(super) fn update_departing(&mut self, now: Time) {
        let stopping: BTreeSet<Daemon> = self
            .committed
            .members_of_kind(DaemonKind::Store)
            .map(|member| member.id.clone())
            .filter(|store| self.is_stopping(store))
            .collect();
        self.replacements.departing.retain(|store| stopping.contains(store));
        if stopping.len() > self.replacements.departing.len() && self.has_successor(now) {
            let seated = stopping.into_iter().filter(|store| self.seat_count(store) > 0).collect::<Vec<_>>();
            self.replacements.departing.extend(seated);
        }
    }

    /// Tells a stopping store whether to wait. A primary that is not serving yet can't
    /// know, so it says to wait; the store limits its wait itself.
    pub(super) fn answer_departure(&mut self, store: &Daemon, now: Time) {
        if self.phase == PrimaryPhase::Serving {
            self.update_departing(now);
        }
        let has_seat = |set: &[(Daemon, IncarnationId)]| set.iter().any(|seat| seat.0 == *store);
        let mut partitions = self.committed.layout.iter().filter(|(_, set)| has_seat(set)).map(|(partition, _)| partition);
        let wait =
            partitions.any(|partition| self.phase != PrimaryPhase::Serving || self.wanted_replacement(partition, now).is_some());
        self.send(store, PeerMessage::Departure { term: self.election.term(), must_wait: wait });
    }
}
