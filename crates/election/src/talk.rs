//! What replicas say to each other, and what a core asks of its shell.
use crate::prelude::*;

/// Invariant: every `mark` is the sender's own; a word whose mark is not the
/// committed one for its sender never counts towards a majority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Talk<C> {
    /// "I have an empty folder and was told to found a fleet."
    Founding {
        mark: Mark,
    },
    Ask {
        pre: bool,
        term: Term,
        last: u64,
        last_term: Term,
    },
    Vote {
        pre: bool,
        term: Term,
        yes: bool,
        mark: Mark,
    },
    Append {
        term: Term,
        prev: u64,
        prev_term: Term,
        base: Option<Base>,
        entries: Vec<Entry<C>>,
        commit: u64,
        sent: Time,
    },
    Appended {
        term: Term,
        ok: bool,
        have: u64,
        mark: Mark,
        sent: Time,
    },
}

/// Effects, in the order they must happen. `Say` that follows a `Save`
/// has already been held back until that save was synced.
#[derive(Clone, Debug, PartialEq)]
pub enum Act<C> {
    Say(Daemon, Talk<C>),
    /// Sync this, then call `saved` with the number.
    Save(u64, Stored<C>),
    Apply(u64, Term, C),
    /// Replace the applied state by this capture.
    Install(Base),
    Won(Term),
    Lost,
}
