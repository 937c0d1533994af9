//! The messages themselves.
use crate::prelude::*;

/// An attempt handed to a delivery daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    pub duty: Duty,
    pub place: Place,
    pub head: Head,
    pub stage: Stage,
    /// Attempt id: the keeper's epoch and a count of its own.
    pub epoch: Epoch,
    pub attempt: u64,
    pub body: Bytes,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    Success,
    /// The target said never.
    Never,
    /// It ran into something; try again.
    Again,
    /// Nothing was sent.
    Unstarted,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settled {
    pub place: Place,
    pub id: MessageId,
    pub epoch: Epoch,
    pub attempt: u64,
    pub stage: Stage,
    pub told: Told,
}

/// An attempt a delivery still has in hand, told to a partition's new keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    pub place: Place,
    pub id: MessageId,
}

/// How many attempts of one duty a delivery takes from one store at once.
/// `since` is how long it has held the duty without a break: when that is
/// longer than any attempt, its `holding` names all attempts under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Room {
    pub duty: Duty,
    pub epoch: Epoch,
    pub room: u32,
    pub since: Span,
}

/// A keeper's word on a carried message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Carried {
    Accepted {
        stage: Stage,
    },
    /// It never runs; `after` says when to come back.
    NotTaken {
        why: String,
        after: Span,
        code: u16,
    },
    Conflict,
    /// Not the keeper (any more): nothing was written.
    Elsewhere,
    Unknown,
}

/// A replica's standing in one partition, told when it is fenced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fence {
    pub mark: Mark,
    pub installed: Epoch,
    pub n: u64,
}

/// A keeper's word on what it was asked about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Found {
    /// Not the keeper, or not certain yet.
    Elsewhere,
    Nothing,
    Here {
        head: Head,
        stage: Stage,
        body: Option<Bytes>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    Hard(Talk<Order>),
    Beat(Beat),
    Doubts {
        who: Vec<(Daemon, Mark, Doubt)>,
    },

    // News and leases: one pull serves both.
    Need {
        asked: Time,
        /// The latest pull of ours that was answered, and by which term: shows
        /// the primary whether we hear it.
        heard: (Term, Time),
        have: Vector,
        me: Member,
        report: Option<Report>,
    },
    News {
        asked: Time,
        term: Term,
        fresh: Option<Span>,
        items: Vec<(Version, Item)>,
        grants: Vec<Grant>,
        late: Vec<Daemon>,
    },
    NotPrimary {
        hint: Option<Daemon>,
    },

    // Callers' messages.
    Carry {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        again: bool,
        place: Place,
        version: Version,
        head: Head,
        body: Bytes,
    },
    Carried {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        word: Carried,
    },
    Peek {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        place: Place,
        id: MessageId,
        body: bool,
    },
    Peeked {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        found: Found,
    },

    // Replication of partitions.
    Seal {
        place: Place,
        epoch: Epoch,
    },
    Sealed {
        place: Place,
        epoch: Epoch,
        fence: Fence,
    },
    Refused {
        place: Place,
        promised: Epoch,
    },
    /// "You lack my epoch. If you stand exactly here, and yours is the folder
    /// that counts, adopt it; else fetch."
    Lag {
        place: Place,
        epoch: Epoch,
        was: Option<(Epoch, u64)>,
        mark: Mark,
    },
    Fetch {
        place: Place,
        epoch: Epoch,
    },
    Fetched {
        place: Place,
        epoch: Epoch,
        digest: Digest,
    },
    Want {
        place: Place,
        epoch: Epoch,
        ids: Vec<MessageId>,
    },
    Bodies {
        place: Place,
        epoch: Epoch,
        all: Vec<(MessageId, Bytes)>,
    },
    Append {
        place: Place,
        epoch: Epoch,
        first: u64,
        ops: Vec<Op>,
    },
    Appended {
        place: Place,
        epoch: Epoch,
        upto: u64,
        mark: Mark,
    },
    Gap {
        place: Place,
        epoch: Epoch,
        installed: Epoch,
        n: u64,
    },

    // Delivery.
    Room {
        asked: Time,
        duties: Vec<Room>,
        places: Vec<(Place, Epoch)>,
        holding: Vec<Holding>,
    },
    Offers {
        asked: Time,
        all: Vec<Offer>,
    },
    Settled {
        all: Vec<Settled>,
    },
    Noted {
        all: Vec<(Place, Epoch, u64)>,
    },
}
