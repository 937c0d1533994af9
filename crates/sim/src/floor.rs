//! Workers with names of their own, services at one address, those who are
//! called back, and the list by pages, for routed messages.
use crate::prelude::*;

/// A service as its workers are.
#[derive(Clone, Copy, Debug)]
pub struct Trade {
    pub name: &'static str,
    /// Workers on the list at the start; 0 for one at a fixed address.
    pub listed: u64,
    pub slots: u32,
    pub queue: usize,
    /// The mean time of a run.
    pub run: Span,
    pub cold: Span,
    pub cold_rate: f64,
    pub rate: f64,
    pub dedup: bool,
}

const LISTED: Trade = Trade {
    name: "sheets",
    listed: 6,
    slots: 6,
    queue: 6,
    run: Span::millis(40),
    cold: Span::secs(3),
    cold_rate: 6.0,
    rate: 0.0,
    dedup: false,
};
const SITE: Trade =
    Trade { name: "site-1", listed: 0, slots: 16, queue: 16, cold: Span::ZERO, cold_rate: 0.0, rate: 20.0, ..LISTED };

pub const TRADES: [Trade; 6] = [
    LISTED,
    Trade { name: "records", slots: 8, run: Span::millis(25), dedup: true, ..LISTED },
    Trade { name: "ledgers", slots: 8, run: Span::millis(25), ..LISTED },
    SITE,
    Trade { name: "site-2", ..SITE },
    Trade { name: "site-3", ..SITE },
];
pub const DESKS: u64 = 3;

pub fn trade(service: &str) -> Trade {
    TRADES.iter().copied().find(|t| t.name == service).unwrap_or(LISTED)
}

/// One life of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerLife {
    pub service: String,
    pub zone: String,
    pub addr: String,
    pub up: bool,
    pub listed: bool,
    pub draining: bool,
    pub cold_until: Time,
    pub running: u32,
    pub waiting: VecDeque<u64>,
}

/// One request at a worker.
#[derive(Clone, Debug)]
pub struct Toil {
    pub node: Daemon,
    pub life: u64,
    pub call: CallId,
    pub worker: String,
    /// Its message, and which of its runs this is.
    pub post: usize,
    pub run: usize,
    pub ends: Time,
    pub begun: bool,
    /// Work stops when its connection closes.
    pub drops: bool,
}

/// Who is called back.
#[derive(Clone, Debug, Default)]
pub struct Receiver {
    pub down: bool,
    pub slow: Span,
    pub fail: u64,
    pub open: u32,
}

/// Calls open at once that a receiver takes.
pub const RECEIVES: u32 = 12;

/// How a service's workers behave for a while.
#[derive(Clone, Debug, Default)]
pub struct Spell {
    /// Nobody answers: without a word, or by refusing connections.
    pub dark: Option<bool>,
    pub lose: u64,
    pub fail: Option<u64>,
    pub slow: Span,
}

/// Runs fail so many times in a hundred.
const FAILS: u64 = 3;
const PAGE: usize = 7;
/// The list shows what was so long ago, and up to twice that.
pub const LAG: Span = Span::millis(400);
/// Calls it takes in a second.
pub const LIST_RATE: f64 = 20.0;

/// Invariants: a worker's name is its instance's own and never used again;
/// at an address at most one worker listens.
#[derive(Default)]
pub struct Floor {
    pub lives: BTreeMap<String, WorkerLife>,
    /// Who listens at an address.
    pub at: BTreeMap<String, String>,
    pub toils: BTreeMap<u64, Toil>,
    pub next_toil: u64,
    next_name: BTreeMap<String, u64>,
    next_addr: u64,
    pub receivers: BTreeMap<String, Receiver>,
    pub spells: BTreeMap<String, Spell>,
    /// For services whose workers know repeats: the seal each id was done with.
    pub done: BTreeMap<(String, String), Option<String>>,
    pub shown: Vec<Worker>,
    pub taking: Vec<Worker>,
    pub list_calls: VecDeque<Time>,
    pub list_down: bool,
    pub list_empty: bool,
    /// Answers on their way: whose run they end.
    pub answers: BTreeMap<(Daemon, u64, CallId), (usize, usize)>,
}

impl Floor {
    pub fn new() -> Floor {
        let mut f = Floor::default();
        for t in TRADES {
            for n in 1..=t.listed {
                f.bring_up(t.name, (n - 1) % 3 + 1, None);
            }
            if t.listed == 0 {
                let addr = format!("10.9.1.{}:80", t.name.rsplit('-').next().unwrap_or("1"));
                let life = WorkerLife { service: t.name.into(), addr: addr.clone(), up: true, ..WorkerLife::default() };
                f.lives.insert(t.name.into(), life);
                f.at.insert(addr, t.name.into());
            }
        }
        for n in 1..=DESKS {
            f.receivers.insert(format!("desk-{n}"), Receiver::default());
            f.at.insert(format!("10.9.2.{n}:80"), format!("desk-{n}"));
        }
        f
    }
    /// A worker starts in a zone, at an address that became free if one is
    /// given. Its number names its zone.
    pub fn bring_up(&mut self, service: &str, zone: u64, addr: Option<String>) -> String {
        let n = self.next_name.entry(format!("{service}/{zone}")).or_default();
        *n += 1;
        let name = format!("{service}-{}", (*n - 1) * 3 + zone);
        let addr = addr.unwrap_or_else(|| {
            self.next_addr += 1;
            format!("10.8.{zone}.{}:80", self.next_addr)
        });
        let life = WorkerLife {
            service: service.into(),
            zone: format!("z{zone}"),
            addr: addr.clone(),
            up: true,
            listed: true,
            ..WorkerLife::default()
        };
        self.lives.insert(name.clone(), life);
        self.at.insert(addr, name.clone());
        name
    }
    pub fn of(&self, service: &str) -> Vec<String> {
        self.lives.iter().filter(|(_, w)| w.service == service && w.up).map(|(n, _)| n.clone()).collect()
    }
    pub fn spell(&self, name: &str) -> Spell {
        let service = self.lives.get(name).map(|w| w.service.as_str()).unwrap_or(name);
        self.spells.get(service).cloned().unwrap_or_default()
    }
    pub fn fails(&self, name: &str) -> u64 {
        self.spell(name).fail.unwrap_or(FAILS)
    }
    /// The list is taken anew; what it shows is what was taken before.
    pub fn take_list(&mut self, now: Time) -> Vec<Worker> {
        let rows = self.lives.iter().filter(|(_, w)| w.listed);
        let new = rows.map(|(name, w)| Worker {
            id: WorkerId(name.clone()),
            service: w.service.clone(),
            addr: w.addr.clone(),
            zone: Zone(w.zone.clone()),
            draining: w.draining,
            age: Span::ZERO,
            slots: trade(&w.service).slots,
            remaining_warm_up: w.cold_until.remaining(now),
        });
        let new = new.collect();
        self.shown = std::mem::replace(&mut self.taking, new);
        self.shown.clone()
    }
    /// A page of the list; `None` when it does not answer.
    pub fn page(&mut self, page: Option<&str>, now: Time) -> Option<Result<ListPage, u16>> {
        while self.list_calls.front().is_some_and(|t| now.since(*t) >= Span::secs(1)) {
            self.list_calls.pop_front();
        }
        self.list_calls.push_back(now);
        if self.list_down {
            return None;
        }
        if self.list_calls.len() as f64 > LIST_RATE {
            return Some(Err(429));
        }
        if self.list_empty {
            return Some(Ok(ListPage::default()));
        }
        let from: usize = page.and_then(|p| p.strip_prefix("p-")).and_then(|p| p.parse().ok()).unwrap_or(0);
        let workers: Vec<Worker> = self.shown.iter().skip(from).take(PAGE).cloned().collect();
        let next = (from + PAGE < self.shown.len()).then(|| format!("p-{}", from + PAGE));
        Some(Ok(ListPage { workers, next }))
    }
}
