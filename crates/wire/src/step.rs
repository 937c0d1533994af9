//! The shape of every daemon's core: events in, effects out, time given.
use crate::prelude::*;

/// One HTTP request under way in the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AskId(pub u64);

/// One outward call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// What callers and operators ask.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    Hand {
        tenant: String,
        waitlist: String,
        id: MessageId,
        key: String,
        desk: String,
        ttl: Option<Span>,
        /// The caller's word that this id was never sent before.
        first: bool,
        body: Bytes,
    },
    Look {
        tenant: String,
        waitlist: String,
        id: MessageId,
        key: String,
        body: bool,
    },
    Status,
    CharterShow,
    Apply(Charge),
    Zone {
        zone: Zone,
        empty: bool,
    },
    Drain {
        worker: WorkerId,
        on: bool,
    },
    Retire {
        store: Daemon,
    },
    /// What would move under this charter or order, without moving it.
    Plan {
        charter: Option<String>,
        empty: Option<Zone>,
        retire: Option<Daemon>,
    },
}

/// A charter handed in: whole, or as a patch of the base.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    pub op: String,
    pub base: String,
    pub json: String,
    pub patch: bool,
}

/// What they are told.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub code: u16,
    pub json: String,
    /// Raw bytes in place of JSON.
    pub body: Option<Bytes>,
    /// When to come back.
    pub after: Option<Span>,
}

impl Verdict {
    pub fn json(code: u16, json: String) -> Verdict {
        Verdict { code, json, body: None, after: None }
    }
}

/// One outward HTTP request. Its socket is closed at the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub post: bool,
    pub addr: String,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
    pub limit: Span,
}

/// Whether bytes may have reached the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    No,
    Maybe,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Got { code: u16, load: Option<u32>, draining: bool, body: Bytes },
    Lost(Sent),
}

/// Events live for one step; boxing would only cost.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A clock event; nothing else happened.
    Clock,
    Hear {
        from: Daemon,
        msg: Msg,
    },
    /// Everything up to and with save `n` is synced.
    Saved(u64),
    Ask(AskId, Ask),
    Back(CallId, Reply),
    /// SIGTERM: finish what is under way, take nothing new.
    Leave,
}

/// Effects live for one step and are moved once; boxing would only cost.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Say(Daemon, Msg),
    /// Write aside, sync, rename, sync the folder; saves end in order.
    Save {
        n: u64,
        name: String,
        bytes: Bytes,
    },
    Remove(String),
    Tell(AskId, Verdict),
    Call(CallId, Call),
    Note(Note, String),
    /// Where a daemon listens.
    Learn(Daemon, String),
    /// Which zone it stands in, for counting what crosses zones.
    Zone(Daemon, Zone),
    /// All is drained; the process may end.
    Gone,
}

/// A daemon without its shell. Invariant: `step` reads no clock, does no I/O
/// and draws no randomness but from the seed it was made with.
pub trait Core {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect>;
}
