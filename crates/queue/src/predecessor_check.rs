//! What a waiting message has to know of other partitions before its first attempt: whether
//! messages of its ordering key still wait there under an earlier order scope.
use crate::prelude::*;

/// An unanswered query, or one whose answer was that messages wait, is repeated after the
/// first delay, doubled with each repetition up to the maximum.
const FIRST_QUERY_DELAY: Span = Span::millis(50);
const MAX_QUERY_DELAY: Span = Span::millis(400);

/// The order scopes of which it is not known yet that no message of the key waits. Every
/// answer is about a time after the message was accepted, so one that says so is final:
/// what is accepted later under an earlier scope was not accepted before this message was
/// sent.
#[derive(Clone, Debug)]
pub struct PredecessorCheck {
    open_scopes: BTreeSet<OrderScope>,
    queries: u32,
    next_query_at: Time,
}

impl PredecessorCheck {
    /// The check of a message that waits for these scopes.
    pub fn new(open_scopes: BTreeSet<OrderScope>, now: Time) -> PredecessorCheck {
        PredecessorCheck { open_scopes, queries: 0, next_query_at: now }
    }

    /// Whether the message may be attempted.
    pub fn is_complete(&self) -> bool {
        self.open_scopes.is_empty()
    }

    /// Whether it is time to ask about the open scopes.
    pub fn is_query_due(&self, now: Time) -> bool {
        now >= self.next_query_at
    }

    pub fn next_query_at(&self) -> Time {
        self.next_query_at
    }

    pub fn open_scopes(&self) -> impl Iterator<Item = &OrderScope> {
        self.open_scopes.iter()
    }

    /// Records that the open scopes were asked about.
    pub fn record_query(&mut self, now: Time) {
        let delay = Span(FIRST_QUERY_DELAY.0 << self.queries.min(8)).min(MAX_QUERY_DELAY);
        self.next_query_at = now + delay;
        self.queries += 1;
    }

    /// Records that no message of the key waits in a scope; returns whether that completes
    /// the check.
    pub fn clear_scope(&mut self, scope: &OrderScope) -> bool {
        self.open_scopes.remove(scope) && self.is_complete()
    }
}
