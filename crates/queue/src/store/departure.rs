//! A store that was told to stop.
//!
//! It gives up its partitions and goes once others keep them. Its copies may
//! still be needed: placement says whether its seats in write sets are being
//! moved, and until they have it stays as a replica, for a bounded time.
use crate::prelude::*;

/// A caller's last answers are on their way for this long.
const ANSWERS_UNDER_WAY: Span = Span::millis(300);
/// Nobody has said who keeps what it gave up, or whether to wait.
const UNANSWERED: Span = Span::secs(2);
/// It goes after this, whatever it waits for: less than the platform's grace.
const GONE_WITHIN: Span = Span::secs(5);

/// What placement said of this store's seats.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Seats {
    Unknown,
    Moving,
    /// None are left here, or nobody takes them.
    Settled,
}

/// Invariant: set from the order to stop until the end of the process.
pub(super) struct Departure {
    since: Time,
    seats: Seats,
}

impl Departure {
    pub fn begin(now: Time) -> Departure {
        Departure { since: now, seats: Seats::Unknown }
    }
}

impl Store {
    /// Placement's answer to a pull that said this store stops.
    pub(super) fn on_departure_answer(&mut self, term: Term, wait: bool) {
        if let Some(departure) = self.departure.as_mut().filter(|_| term == self.link.term()) {
            departure.seats = if wait { Seats::Moving } else { Seats::Settled };
        }
    }

    /// Sheds all partitions of a store that stops, and ends it when nothing
    /// is left to wait for.
    pub(super) fn depart(&mut self, now: Time) {
        let Some(Departure { since, seats }) = self.departure else { return };
        self.shed_all(now);
        let waited = now.since(since);
        let idle = self.parts.values().all(|part| part.leader_state.is_none());
        let answered = waited >= ANSWERS_UNDER_WAY && !self.link.is_pull_due(now);
        let kept = self.kept_elsewhere() || waited > UNANSWERED;
        let free = match seats {
            Seats::Unknown => waited > UNANSWERED,
            Seats::Moving => false,
            Seats::Settled => true,
        };
        if (idle && answered && kept && free) || waited > GONE_WITHIN {
            self.out.push(Effect::Exit);
        }
    }

    /// Whether other stores are known to keep all that this one gave up; it
    /// is told on until then.
    fn kept_elsewhere(&self) -> bool {
        self.gave.keys().all(|duty| {
            let Duty::Lead(place) = duty else { return true };
            self.link.partition_locations.get(place).is_some_and(|placing| placing.leader != self.startup.me.id)
        })
    }
}
