//! A store that was ordered to stop.
//!
//! It releases its partitions and exits once other stores lead them. Its copies may still
//! be needed: placement says whether its seats in write sets are being moved, and until
//! they have been it stays as a replica, for a bounded time.
use crate::prelude::*;

/// Time allowed for the last answers to callers to arrive.
const ANSWER_DELIVERY_TIME: Span = Span::millis(300);
/// How long it waits to learn who leads the released partitions, and whether placement is
/// moving its seats.
const PLACEMENT_ANSWER_TIMEOUT: Span = Span::secs(2);
/// It exits after this time in any case. This is less than the platform's grace period.
const MAX_DEPARTURE_TIME: Span = Span::secs(5);

/// What placement reported about this store's seats in write sets.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SeatMoves {
    Unknown,
    Moving,
    /// No seats are left here, or no other store can take them.
    NoneLeft,
}

/// Progress of a store that stops.
///
/// Invariant: it exists from the order to stop until the process ends.
pub(super) struct Departure {
    since: Time,
    seats: SeatMoves,
}

impl Departure {
    pub fn begin(now: Time) -> Departure {
        Departure { since: now, seats: SeatMoves::Unknown }
    }
}

impl Store {
    /// Handles placement's answer to a pull that reported this store as stopping.
    pub(super) fn on_departure_answer(&mut self, term: Term, wait: bool) {
        if let Some(departure) = self.departure.as_mut().filter(|_| term == self.link.term()) {
            departure.seats = if wait { SeatMoves::Moving } else { SeatMoves::NoneLeft };
        }
    }

    /// Releases all partitions of a store that stops, and exits when nothing is left to
    /// wait for.
    pub(super) fn advance_departure(&mut self, now: Time) {
        let Some(Departure { since, seats }) = self.departure else { return };
        self.mark_all_for_release(now);
        let waited = now.since(since);
        let leads_nothing = self.partitions.values().all(|part| part.leader_state.is_none());
        let has_answered = waited >= ANSWER_DELIVERY_TIME && !self.link.is_pull_due(now);
        let is_taken_over = self.has_other_leaders() || waited > PLACEMENT_ANSWER_TIMEOUT;
        let may_leave_seats = match seats {
            SeatMoves::Unknown => waited > PLACEMENT_ANSWER_TIMEOUT,
            SeatMoves::Moving => false,
            SeatMoves::NoneLeft => true,
        };
        if (leads_nothing && has_answered && is_taken_over && may_leave_seats) || waited > MAX_DEPARTURE_TIME {
            self.effects.push(Effect::Exit);
        }
    }

    /// Whether other stores are known to lead every partition that this one released.
    /// Until then the releases are reported.
    fn has_other_leaders(&self) -> bool {
        self.released_grants.keys().all(|duty| {
            let Duty::Lead(partition) = duty else { return true };
            self.link.partition_locations.get(partition).is_some_and(|location| location.leader != self.startup.me.id)
        })
    }
}
