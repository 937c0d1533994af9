//! The platform's list of workers: late, limited, and not always right.
use crate::prelude::*;

#[derive(Debug, Deserialize)]
struct Listed {
    workers: Vec<Row>,
}

#[derive(Debug, Deserialize)]
struct Row {
    id: String,
    service: String,
    address: String,
    zone: String,
    #[serde(default)]
    state: String,
}

/// Invariant: a failed, unreadable or wholly empty answer leaves the last
/// list standing; the deliveries' own evidence tells who is really gone.
#[derive(Debug, Default)]
pub struct WorkerList {
    pub workers: Vec<Worker>,
    pub version: Version,
    first: BTreeMap<WorkerId, Time>,
    read: bool,
    pub due: Time,
    pub asking: bool,
    fails: u32,
}

impl WorkerList {
    /// Nothing read yet; the first poll no sooner than `due`, so that a
    /// change of primary keeps to the platform's limit.
    pub fn after(due: Time) -> WorkerList {
        WorkerList { due, ..WorkerList::default() }
    }
    /// Takes an answer; true when the list changed.
    pub fn take(&mut self, body: &[u8], now: Time) -> Result<bool, String> {
        let listed: Listed = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if listed.workers.is_empty() && !self.workers.is_empty() {
            return Err("the list is empty".into());
        }
        self.fails = 0;
        let known = std::mem::replace(&mut self.read, true);
        let mut all: Vec<Worker> = Vec::new();
        for r in listed.workers {
            let id = WorkerId(r.id);
            // Those on the first list this primary reads were there before it.
            let start = if known { now } else { Time(now.0.saturating_sub(3_600_000_000)) };
            let first = *self.first.entry(id.clone()).or_insert(start);
            all.push(Worker {
                id,
                service: r.service,
                addr: r.address,
                zone: Zone(r.zone),
                draining: r.state == "draining",
                age: now.since(first),
            });
        }
        all.sort_by(|a, b| a.id.cmp(&b.id));
        let names: BTreeSet<&WorkerId> = all.iter().map(|w| &w.id).collect();
        self.first.retain(|id, _| names.contains(id));
        let same = all.len() == self.workers.len()
            && all.iter().zip(&self.workers).all(|(a, b)| Worker { age: b.age, ..a.clone() } == *b);
        if same {
            return Ok(false);
        }
        self.workers = all;
        Ok(true)
    }
    /// The pause before the next try, longer after each failure.
    pub fn failed(&mut self, poll: Span) -> Span {
        self.fails = (self.fails + 1).min(4);
        poll.times(1 << self.fails)
    }
}
