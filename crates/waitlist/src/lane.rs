//! What is due to be handed out from one partition, in what order.
use crate::prelude::*;

/// An attempt handed to a delivery and not settled.
#[derive(Clone, Debug)]
pub struct Flight {
    pub duty: Duty,
    pub to: Daemon,
    pub attempt: u64,
    /// After this, by the keeper's clock, no socket of it is open.
    pub end: Time,
}

/// Invariants: a seq stands in at most one of `line`, `calls` and `flights`;
/// with ordering, only the first seq of a key is in `line` or `flights` as
/// work, and the next is let in when the first has durably ended.
#[derive(Default)]
pub struct Lane {
    pub ordered: bool,
    pub line: BTreeSet<(Time, u64)>,
    pub calls: BTreeMap<String, BTreeSet<(Time, u64)>>,
    pub keys: BTreeMap<String, BTreeSet<u64>>,
    pub ids: BTreeMap<u64, MessageId>,
    pub flights: BTreeMap<u64, Flight>,
}

impl Lane {
    /// Lets a record in at `at`.
    pub fn enter(&mut self, head: &Head, stage: Stage, at: Time) {
        match stage {
            Stage::Ended(_) => return,
            Stage::Calling => {
                self.calls.entry(head.desk.clone()).or_default().insert((at, head.seq));
            }
            Stage::Work if self.ordered => {
                let key = self.keys.entry(head.key.clone()).or_default();
                key.insert(head.seq);
                if key.first() == Some(&head.seq) {
                    self.line.insert((at, head.seq));
                }
            }
            Stage::Work => {
                self.line.insert((at, head.seq));
            }
        }
        self.ids.insert(head.seq, head.id.clone());
    }
    /// Work on a record has durably ended: the next of its key may go.
    pub fn leave_work(&mut self, head: &Head, now: Time) {
        self.flights.remove(&head.seq);
        self.line.retain(|(_, s)| *s != head.seq);
        if !self.ordered {
            return;
        }
        let Some(key) = self.keys.get_mut(&head.key) else { return };
        key.remove(&head.seq);
        match key.first() {
            Some(next) => {
                if !self.flights.contains_key(next) {
                    self.line.insert((now, *next));
                }
            }
            None => {
                self.keys.remove(&head.key);
            }
        }
    }
    /// Whether an attempt from before the opening may still be under way.
    pub fn rests(&self, seq: u64, quiet: Time, now: Time) -> bool {
        now < quiet && (self.line.contains(&(quiet, seq)) || self.calls.values().any(|c| c.contains(&(quiet, seq))))
    }
    pub fn forget(&mut self, seq: u64) {
        self.ids.remove(&seq);
        self.flights.remove(&seq);
        for set in self.calls.values_mut() {
            set.retain(|(_, s)| *s != seq);
        }
    }
    /// Takes the first that is due.
    pub fn pop(&mut self, desk: Option<&str>, now: Time) -> Option<u64> {
        let set = match desk {
            Some(d) => self.calls.get_mut(d)?,
            None => &mut self.line,
        };
        let first = *set.first()?;
        if first.0 > now {
            return None;
        }
        set.remove(&first);
        Some(first.1)
    }
    /// Attempts whose hard end has passed.
    pub fn overdue(&mut self, now: Time) -> Vec<u64> {
        let late: Vec<u64> = self.flights.iter().filter(|(_, f)| now >= f.end).map(|(s, _)| *s).collect();
        for s in &late {
            self.flights.remove(s);
        }
        late
    }
}
