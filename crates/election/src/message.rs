//! The messages between replicas, and the actions that a replica returns to its host.
use crate::prelude::*;

/// Raft's AppendEntries, with an optional snapshot. Without entries it is a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AppendRequest<C> {
    pub term: Term,
    pub previous_index: u64,
    pub previous_term: Term,
    /// Sent when the receiver's disk is empty or it lacks entries that the
    /// leader's log no longer holds.
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry<C>>,
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The leader's clock at sending. The response repeats it, which extends the leader's lease.
    #[serde(rename = "sent")]
    pub sent_at: Time,
}

/// How a replica answered an [`AppendRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The replica's durable log equals the leader's up to `match_index`.
    Accepted {
        #[serde(rename = "matched")]
        match_index: u64,
    },
    /// The logs differ before the sent entries; the leader retries with the entry after `hint`.
    Mismatch { hint: u64 },
    /// The data directory is empty, so the replica needs the snapshot first.
    NeedsSnapshot,
    /// The replica is in a later term than the request.
    StaleTerm,
}

/// A message between two replicas.
///
/// Invariant: `disk_id` is always that of the sender's own data directory. A
/// response whose disk id is not the one in the configuration never counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message<C> {
    /// The sender's data directory is empty and its settings tell it to
    /// bootstrap the group. With `is_reply`, the answer of a replica that has
    /// already bootstrapped; a reply is never answered.
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
        disk_id: IncarnationId,
    },
    Append(AppendRequest<C>),
    AppendResponse {
        term: Term,
        outcome: AppendOutcome,
        #[serde(rename = "mark")]
        disk_id: IncarnationId,
        #[serde(rename = "sent")]
        sent_at: Time,
    },
    /// The leader of this term gives up leadership. Receivers may campaign at
    /// once, and grant votes although they heard from a leader recently.
    TransferLeadership {
        term: Term,
    },
    /// The sender knows no current leader. It asks to be caught up and to be
    /// considered as a voter.
    Join {
        voter: Voter,
    },
    /// The answer to `Join` of a replica that is not the leader but knows it.
    Redirect {
        leader: Daemon,
        address: String,
    },
    /// The sender is about to stop and asks to be replaced as a voter first.
    Leave {
        #[serde(rename = "mark")]
        disk_id: IncarnationId,
    },
    /// The leader's answer to `Leave`: the sender need not wait any longer,
    /// because it has been replaced or no replacement exists.
    LeaveAccepted {
        #[serde(rename = "mark")]
        disk_id: IncarnationId,
    },
}

/// What the host has to do, in this order. A replica returns a `Send` only
/// once every write that the message depends on is durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<C> {
    Send(Daemon, Message<C>),
    /// Write the state durably, then call [`Replica::persisted`] with the number.
    Persist(u64, HardState<C>),
    /// Apply a committed command; with the index and term of its entry.
    Apply(u64, Term, C),
    /// Replace the applied state by this snapshot.
    InstallSnapshot(Snapshot),
    /// The configuration in force changed; voters' addresses may have changed too.
    ConfigurationChanged(Configuration),
    /// The address of a replica that announced itself, or of the leader.
    SetPeerAddress(Daemon, String),
    BecameLeader(Term),
    LostLeadership,
}
