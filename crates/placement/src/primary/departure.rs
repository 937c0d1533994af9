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
const SUCCESSOR_WITHIN: Span = Span::secs(30);

impl Placement {
    /// Whether a store's seats move because it was told to stop.
    pub(super) fn departing(&self, store: &Daemon) -> bool {
        self.replacements.departing.contains(store)
    }

    /// Whether a store last said that it was told to stop. One that is back
    /// from a restart says so no more.
    fn stopping(&self, store: &Daemon) -> bool {
        let report = self.seen.get(store).and_then(|seen| seen.report.as_ref());
        report.is_some_and(|report| report.stopping)
    }

    fn successor_is_there(&self, now: Time) -> bool {
        let recent = |store: &Daemon| self.seen.get(store).is_some_and(|seen| now.since(seen.live_since) < SUCCESSOR_WITHIN);
        let mut stores = self.hard.members_of_kind(DaemonKind::Store).map(|member| &member.id);
        stores.any(|store| recent(store) && self.live(store, now) && self.seats_of(store) == 0)
    }

    /// Notes which stores stop. One that was given a successor keeps it when
    /// that one has taken its first seat, and after it has gone silent.
    pub(super) fn mark_departing(&mut self, now: Time) {
        let stopping: BTreeSet<Daemon> = self
            .hard
            .members_of_kind(DaemonKind::Store)
            .map(|member| member.id.clone())
            .filter(|store| self.stopping(store))
            .collect();
        self.replacements.departing.retain(|store| stopping.contains(store));
        if stopping.len() > self.replacements.departing.len() && self.successor_is_there(now) {
            let seated = stopping.into_iter().filter(|store| self.seats_of(store) > 0).collect::<Vec<_>>();
            self.replacements.departing.extend(seated);
        }
    }

    /// Tells a store that was told to stop whether to wait. A primary that has
    /// not heard everybody yet can't know; the store bounds its wait.
    pub(super) fn answer_departure(&mut self, store: &Daemon, now: Time) {
        if self.office == PrimaryPhase::Serving {
            self.mark_departing(now);
        }
        let seated = |set: &[(Daemon, IncarnationId)]| set.iter().any(|seat| seat.0 == *store);
        let mut places = self.hard.layout.iter().filter(|(_, set)| seated(set)).map(|(place, _)| place);
        let wait = places.any(|place| self.office != PrimaryPhase::Serving || self.wanted_swap(place, now).is_some());
        self.say(store, PeerMessage::Departure { term: self.election.term(), wait });
    }
}
