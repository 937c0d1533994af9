//! A partition under this store's own keeping.
use crate::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Fencing lower epochs on a majority of the write set.
    Sealing,
    /// Copying from the replica that holds the most.
    Fetching,
    /// Making a second copy whole in another zone.
    Spreading,
    Serving,
}

/// Who waits for an op to be on two stores.
#[derive(Clone, Debug)]
pub enum Wait {
    Carry {
        ask: u64,
        proxy: Daemon,
        via: Option<Daemon>,
        word: Carried,
    },
    Settle {
        to: Daemon,
        attempt: u64,
        epoch: Epoch,
    },
    /// The record may be handed out.
    Enter {
        id: MessageId,
    },
    /// The record's stage may be shown and what follows it begin.
    Staged {
        id: MessageId,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Sib {
    pub mark: Mark,
    /// Ops of this epoch it has synced; `None` until it is whole under it.
    pub have: Option<u64>,
    pub sent: u64,
    /// Since when it lacks something.
    pub owed: Option<Time>,
    pub heard: Time,
    pub asked: Time,
}

/// Invariants: `committed <= durable`; an op counts as committed when it is
/// synced here and on one sibling in another zone whose mark is in `set`;
/// nothing is served before the phase is `Serving` or without a live lease.
pub struct Keep {
    pub epoch: Epoch,
    pub set: Vec<(Daemon, Mark)>,
    /// Who leaves the set and who takes the seat. Invariant: while set, the
    /// first is neither mate nor counted, so every op after the second is
    /// whole stands on two that stay.
    pub swap: Option<(Daemon, Daemon)>,
    pub phase: Phase,
    pub fences: BTreeMap<Daemon, Fence>,
    pub promised: bool,
    /// Where this replica stood before it adopted the epoch.
    pub was: Option<(Epoch, u64)>,
    pub sibs: BTreeMap<Daemon, Sib>,
    pub mate: Option<Daemon>,
    pub mate_since: Time,
    /// Latest ops, the last being number `n` of the partition.
    pub recent: VecDeque<Op>,
    pub durable: u64,
    pub adopted: bool,
    pub committed: u64,
    pub waits: BTreeMap<u64, Vec<Wait>>,
    /// Stages as callers may see them while a newer one is not on two stores.
    pub shown: BTreeMap<MessageId, Option<Stage>>,
    pub lane: Lane,
    pub attempts: u64,
    /// Successes of older attempts, shown only when no other is under way:
    /// else a sender could read one and the message still run again.
    pub won: BTreeSet<u64>,
    /// Records from before the opening rest until then, unless their delivery
    /// has told which of them it holds.
    pub quiet: Time,
    pub whole: BTreeMap<Daemon, Mark>,
    /// Since when it is being given up: nothing new is taken or handed out.
    pub shed: Option<Time>,
    pub asked: Time,
    pub began: Time,
    /// Since when it serves. Invariant: no copy handed in before is written,
    /// so what an earlier keeper refused stays refused.
    pub opened: Time,
    pub refused: Refused,
}

/// Ids told as not taken, each until no copy handed in before can be
/// written any more. Bounded: when full, nothing more is refused for certain.
#[derive(Debug, Default)]
pub struct Refused {
    until: BTreeMap<MessageId, Time>,
    line: VecDeque<(Time, MessageId)>,
}

const REFUSED_MAX: usize = 20_000;

impl Refused {
    /// Remembers an id; false when there is no room.
    pub fn add(&mut self, id: &MessageId, now: Time) -> bool {
        while self.line.front().is_some_and(|f| f.0 <= now) {
            let Some((t, id)) = self.line.pop_front() else { break };
            if self.until.get(&id) == Some(&t) {
                self.until.remove(&id);
            }
        }
        if self.line.len() >= REFUSED_MAX {
            return false;
        }
        let until = now + COPY_LIFE.percent(110);
        self.until.insert(id.clone(), until);
        self.line.push_back((until, id.clone()));
        true
    }
    pub fn has(&self, id: &MessageId, now: Time) -> bool {
        self.until.get(id).is_some_and(|t| now < *t)
    }
    /// Whether a word may still be on its way to a caller.
    pub fn fresh(&self, now: Time) -> bool {
        self.line.back().is_some_and(|l| now < l.0)
    }
}

/// Ops kept for a sibling that is a little behind.
pub const RECENT: usize = 4096;

impl Keep {
    pub fn new(epoch: Epoch, set: Vec<(Daemon, Mark)>, now: Time) -> Keep {
        Keep {
            epoch,
            set,
            swap: None,
            phase: Phase::Sealing,
            fences: BTreeMap::new(),
            promised: false,
            was: None,
            sibs: BTreeMap::new(),
            mate: None,
            mate_since: now,
            recent: VecDeque::new(),
            durable: 0,
            adopted: false,
            committed: 0,
            waits: BTreeMap::new(),
            shown: BTreeMap::new(),
            lane: Lane::default(),
            attempts: 0,
            won: BTreeSet::new(),
            quiet: now,
            whole: BTreeMap::new(),
            shed: None,
            asked: Time(0),
            began: now,
            opened: now,
            refused: Refused::default(),
        }
    }
    pub fn majority(&self) -> usize {
        self.set.len() / 2 + 1
    }
    pub fn counts(&self, d: &Daemon, mark: Mark) -> bool {
        self.set.iter().any(|(x, m)| x == d && *m == mark)
    }
    /// The op numbered `n`, if it is still kept; `top` is the last number.
    pub fn op(&self, n: u64, top: u64) -> Option<&Op> {
        let back = top.checked_sub(n)? as usize;
        let at = self.recent.len().checked_sub(back + 1)?;
        self.recent.get(at)
    }
    /// Ops from `first` to `top`; `None` when some are no longer kept.
    pub fn ops_from(&self, first: u64, top: u64) -> Option<Vec<Op>> {
        if first > top {
            return Some(Vec::new());
        }
        self.op(first, top)?;
        let mut out = Vec::new();
        let mut size = 0;
        for n in first..=top {
            let op = self.op(n, top)?;
            if let Op::Put(_, _, b) = op {
                size += b.len() + 128;
            }
            out.push(op.clone());
            if size > (1 << 20) || out.len() >= 1024 {
                break;
            }
        }
        Some(out)
    }
}
