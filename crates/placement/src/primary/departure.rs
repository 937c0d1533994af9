//! Stores that are told to stop while their successor is there already.
//!
//! The platform stops a machine for good as it stops one that it restarts, so a
//! store can't know which it is. Where a store without any seat came up shortly
//! before, it is taken for the successor: the seats of the one that stops move
//! to it at once, and the one that stops stays, as a replica, until they have.
//! Else messages that stand on it and on one other store would stand on that
//! one alone from its end until its silence was noticed. Where no successor is
//! there a stop is a restart: nothing moves, and the store goes at once.
use crate::prelude::*;

/// A store without a seat that came up within this time is a successor.
const SUCCESSOR_PERIOD: Span = Span::secs(30);

impl Placement {
    /// Whether a store's seats move because it was told to stop.
    pub(super) fn is_departing(&self, store: &Daemon) -> bool {
        self.replacements.departing.contains(store)
    }

    /// Whether a store last said that it was told to stop. One that is back
    /// from a restart says so no more.
    fn is_stopping(&self, store: &Daemon) -> bool {
        let report = self.daemons.get(store).and_then(|seen| seen.report.as_ref());
        report.is_some_and(|report| report.stopping)
    }

    fn has_successor(&self, now: Time) -> bool {
        let started_recently =
            |store: &Daemon| self.daemons.get(store).is_some_and(|seen| now.since(seen.since) < SUCCESSOR_PERIOD);
        let mut stores = self.hard.of(DaemonKind::Store).map(|member| &member.id);
        stores.any(|store| started_recently(store) && self.is_live(store, now) && self.seat_count(store) == 0)
    }

    /// Notes which stores stop. One that was given a successor keeps it when
    /// that one has taken its first seat, and after it has gone silent.
    pub(super) fn update_departing(&mut self, now: Time) {
        let stopping: BTreeSet<Daemon> =
            self.hard.of(DaemonKind::Store).map(|member| member.id.clone()).filter(|store| self.is_stopping(store)).collect();
        self.replacements.departing.retain(|store| stopping.contains(store));
        if stopping.len() > self.replacements.departing.len() && self.has_successor(now) {
            let seated = stopping.into_iter().filter(|store| self.seat_count(store) > 0).collect::<Vec<_>>();
            self.replacements.departing.extend(seated);
        }
    }

    /// Tells a store that was told to stop whether to wait. A primary that has
    /// not heard everybody yet can't know; the store bounds its wait.
    pub(super) fn answer_departure(&mut self, store: &Daemon, now: Time) {
        if self.office == Office::Serving {
            self.update_departing(now);
        }
        let has_seat = |set: &[(Daemon, IncarnationId)]| set.iter().any(|seat| seat.0 == *store);
        let mut partitions = self.hard.layout.iter().filter(|(_, set)| has_seat(set)).map(|(partition, _)| partition);
        let wait =
            partitions.any(|partition| self.office != Office::Serving || self.wanted_replacement(partition, now).is_some());
        self.send(store, PeerMessage::Departure { term: self.election.term(), wait });
    }
}
