//! One daemon's process and disk.
use crate::prelude::*;

/// Invariant: `durable` is what a power cut leaves; `jobs` are not yet synced
/// and are lost with the process.
#[derive(Default)]
pub struct Disk {
    pub durable: BTreeMap<String, Bytes>,
    pub jobs: VecDeque<(Option<u64>, String, Bytes)>,
    pub busy: bool,
    pub slow: Span,
}

pub struct Node {
    pub id: Daemon,
    pub core: Option<Box<dyn Core>>,
    pub life: u64,
    pub frozen: bool,
    /// What came while it was frozen; bounded as the real ring is.
    pub inbox: VecDeque<Event>,
    pub disk: Disk,
    /// Its clock: parts of a thousand against true time, and an offset.
    pub rate: u64,
    pub offset: u64,
    pub asks: BTreeSet<AskId>,
}

impl Node {
    pub fn new(id: Daemon, offset: u64) -> Node {
        Node {
            id,
            core: None,
            life: 0,
            frozen: false,
            inbox: VecDeque::new(),
            disk: Disk::default(),
            rate: 1000,
            offset,
            asks: BTreeSet::new(),
        }
    }
    /// Its own reading of true time `t`.
    pub fn clock(&self, t: Time) -> Time {
        Time(self.offset + t.0 / 1000 * self.rate + t.0 % 1000)
    }
    /// A span of its clock in true time.
    pub fn real(&self, s: Span) -> Span {
        Span(s.0 * 1000 / self.rate.max(1))
    }
}
