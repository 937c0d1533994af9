//! A store that was told to stop.
//!
//! It gives up its partitions and goes once others keep them. Its copies may
//! still be needed: placement says whether its seats in write sets are being
//! moved, and until they have it stays as a replica, for a bounded time.
use crate::prelude::*;

/// A caller's last answers are on their way for this long.
const ANSWER_DELIVERY_TIME: Span = Span::millis(300);
/// Nobody has said who keeps what it gave up, or whether to wait.
const PLACEMENT_ANSWER_TIMEOUT: Span = Span::secs(2);
/// It goes after this, whatever it waits for: less than the platform's grace.
const MAX_DEPARTURE_TIME: Span = Span::secs(5);

/// What placement said of this store's seats.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SeatMoves {
    Unknown,
    Moving,
    /// None are left here, or nobody takes them.
    NoneLeft,
}

/// Invariant: set from the order to stop until the end of the process.
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
    /// Placement's answer to a pull that said this store stops.
    pub(super) fn on_departure_answer(&mut self, term: Term, wait: bool) {
        if let Some(departure) = self.departure.as_mut().filter(|_| term == self.link.term()) {
            departure.seats = if wait { SeatMoves::Moving } else { SeatMoves::NoneLeft };
        }
    }

    /// Sheds all partitions of a store that stops, and ends it when nothing
    /// is left to wait for.
    pub(super) fn advance_departure(&mut self, now: Time) {
        let Some(Departure { since, seats }) = self.departure else { return };
        self.mark_all_for_release(now);
        let waited = now.since(since);
        let idle = self.partitions.values().all(|part| part.own.is_none());
        let answered = waited >= ANSWER_DELIVERY_TIME && !self.link.is_pull_due(now);
        let kept = self.has_other_leaders() || waited > PLACEMENT_ANSWER_TIMEOUT;
        let free = match seats {
            SeatMoves::Unknown => waited > PLACEMENT_ANSWER_TIMEOUT,
            SeatMoves::Moving => false,
            SeatMoves::NoneLeft => true,
        };
        if (idle && answered && kept && free) || waited > MAX_DEPARTURE_TIME {
            self.effects.push(Effect::Exit);
        }
    }

    /// Whether other stores are known to keep all that this one gave up; it
    /// is told on until then.
    fn has_other_leaders(&self) -> bool {
        self.released_grants.keys().all(|duty| {
            let Duty::Lead(partition) = duty else { return true };
            self.link.partition_locations.get(partition).is_some_and(|location| location.leader != self.startup.me.id)
        })
    }
}
