//! What replicas send to each other, and what a replica asks of its host.
use crate::prelude::*;

/// A leader's entries for one replica; without entries, a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest<C> {
    pub term: Term,
    pub previous_index: u64,
    pub previous_term: Term,
    /// For a replica that lacks what the log no longer holds.
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry<C>>,
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The leader's clock; echoed, it extends the leader's lease.
    #[serde(rename = "sent")]
    pub sent_at: Time,
}

/// What became of an [`AppendRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log agrees with the leader's up to `matched`, durably.
    Accepted {
        #[serde(rename = "matched")]
        match_index: u64,
    },
    /// The log does not agree; try from behind `hint`.
    Mismatch { hint: u64 },
    /// An empty data directory: it needs the snapshot first.
    NeedsSnapshot,
    /// The request's term is over.
    StaleTerm,
}

/// Invariant: every `mark` is that of the sender's own data directory; an
/// answer whose mark is not the one in the configuration never counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<C> {
    /// "My data directory is empty and I was told to bootstrap the group."
    /// `reply` marks the answer of one that has bootstrapped; it is never
    /// answered itself.
    Bootstrap {
        voter: Voter,
        #[serde(rename = "reply")]
        is_reply: bool,
    },
    VoteRequest {
        pre_vote: bool,
        term: Term,
        last_index: u64,
        last_term: Term,
    },
    VoteResponse {
        pre_vote: bool,
        term: Term,
        granted: bool,
        #[serde(rename = "mark")]
        disk_id: Mark,
    },
    Append(AppendRequest<C>),
    AppendResponse {
        term: Term,
        outcome: AppendOutcome,
        #[serde(rename = "mark")]
        disk_id: Mark,
        #[serde(rename = "sent")]
        sent_at: Time,
    },
    /// The leader of this term leaves: whoever hears this may campaign at
    /// once and is voted for though the leader was heard a moment ago.
    TransferLeadership {
        term: Term,
    },
    /// "I hear no leader": asks to be caught up and considered as a voter.
    Join {
        voter: Voter,
    },
    /// The answer of a replica that is not the leader but knows it.
    Redirect {
        leader: Daemon,
        address: String,
    },
    /// "I am about to stop": a voter asks to be replaced first.
    Leave {
        #[serde(rename = "mark")]
        disk_id: Mark,
    },
    /// The leader's answer: nothing more is gained by waiting.
    LeaveAccepted {
        #[serde(rename = "mark")]
        disk_id: Mark,
    },
}

/// Effects, in the order in which they have to happen. A `Send` that follows
/// a `Persist` has already been held back until that write was durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<C> {
    Send(Daemon, Message<C>),
    /// Write this durably, then call `persisted` with the number.
    Persist(u64, HardState<C>),
    /// Apply a committed command.
    Apply(u64, Term, C),
    /// Replace the applied state by this snapshot.
    InstallSnapshot(Snapshot),
    /// The configuration in force changed; addresses may be new.
    ConfigurationChanged(Configuration),
    /// Where a replica that announced itself is reached.
    SetPeerAddress(Daemon, String),
    BecameLeader(Term),
    LostLeadership,
}
