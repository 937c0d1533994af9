//! Three stores of one write set, driven by steps. Placement is played by the
//! fixture: it grants the one partition to `leader` under `epoch`.
#![allow(dead_code)]
use crate::settings::*;
use dw_queue::prelude::*;
use std::collections::{BTreeMap, VecDeque};

pub const CONFIG: &str = include_str!("../../../../samples/kharita/charter.json");
pub const STEP: Span = Span::millis(20);
pub const TERM: Term = Term(1);

pub fn store(n: u64) -> Daemon {
    daemon(&format!("store-{n}"))
}

pub fn place() -> PartitionId {
    PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 1 }
}

pub fn numbered(n: u64) -> Member {
    Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) }
}

pub fn settings_of(n: u64) -> Startup {
    Startup { seed: n, ..startup(numbered(n)) }
}

#[derive(Default)]
pub struct Disk {
    /// Saves that wait because the disk is stuck.
    pub waiting: Option<Vec<u64>>,
}

pub struct Fleet {
    pub now: Time,
    pub stores: BTreeMap<Daemon, Store>,
    pub disks: BTreeMap<Daemon, Disk>,
    pub queue: VecDeque<(Daemon, Event)>,
    pub epoch: u64,
    pub leader: u64,
    /// Attempts noted to deliveries.
    pub noted: Vec<(Daemon, u64)>,
    /// Attempts handed out.
    pub offers: Vec<Offer>,
    /// What a seeker was last shown.
    pub shown: Option<LookupResult>,
    /// Told to the proxy, by ask.
    pub told: BTreeMap<u64, SubmitOutcome>,
    /// The latest report of each store.
    pub reports: BTreeMap<Daemon, Report>,
}

impl Fleet {
    /// Store 1 keeps the partition and serves.
    pub fn new() -> Fleet {
        let mut fleet = Fleet {
            now: Time(1_000_000),
            stores: BTreeMap::new(),
            disks: BTreeMap::new(),
            queue: VecDeque::new(),
            epoch: 1,
            leader: 1,
            noted: Vec::new(),
            offers: Vec::new(),
            shown: None,
            told: BTreeMap::new(),
            reports: BTreeMap::new(),
        };
        for n in 1..=3 {
            let (core, out) = Store::new(settings_of(n), &Vec::new(), IncarnationId(n), fleet.now);
            fleet.stores.insert(store(n), core);
            fleet.disks.insert(store(n), Disk::default());
            fleet.obey(&store(n), out);
        }
        fleet.run(Span::secs(1));
        assert_eq!(fleet.phase(1), Some(Phase::Serving));
        fleet
    }

    pub fn own(&self, n: u64) -> Option<&LeaderState> {
        self.stores[&store(n)].parts.get(&place()).and_then(|part| part.leader_state.as_ref())
    }

    pub fn phase(&self, n: u64) -> Option<Phase> {
        self.own(n).map(|own| own.phase)
    }

    pub fn stick(&mut self, n: u64) {
        self.disks.get_mut(&store(n)).unwrap().waiting = Some(Vec::new());
        self.queue.push_back((store(n), Event::DiskStuck(true)));
    }

    pub fn free(&mut self, n: u64) {
        let saves = self.disks.get_mut(&store(n)).unwrap().waiting.take().unwrap();
        for save in saves {
            self.queue.push_back((store(n), Event::Saved(save)));
        }
        self.queue.push_back((store(n), Event::DiskStuck(false)));
    }

    pub fn news(&self, asked: Time, to: &Daemon) -> PeerMessage {
        let version = |count| Version { term: TERM, count };
        let epoch = Epoch { term: TERM, count: self.epoch };
        let placing = PartitionLocation { leader: store(self.leader), epoch };
        let items = vec![
            (version(1), Update::Config(CONFIG.to_string())),
            (version(1), Update::Members((1..=3).map(numbered).collect())),
            (version(self.epoch), Update::Partitions(vec![(place(), placing)])),
        ];
        let set = (1..=3).map(|n| (store(n), IncarnationId(n))).collect();
        let grant = Grant {
            duty: Duty::Lead(place()),
            epoch,
            write_set: set,
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let grants = if *to == store(self.leader) { vec![grant] } else { Vec::new() };
        PeerMessage::PullResponse {
            requested_at: asked,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates: items,
            grants,
            late_stores: Vec::new(),
        }
    }

    pub fn obey(&mut self, from: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, msg) if self.stores.contains_key(&to) => {
                    self.queue.push_back((to, Event::MessageReceived { from: from.clone(), message: msg }));
                }
                Effect::Send(_, PeerMessage::SubmitResponse { request_id: ask, outcome: word, .. }) => {
                    _ = self.told.insert(ask, word)
                }
                Effect::Send(_, PeerMessage::Offers { entries: all, .. }) => self.offers.extend(all),
                Effect::Send(_, PeerMessage::LookupResponse { result: found, .. }) => self.shown = Some(found),
                Effect::Send(to, PeerMessage::ResultsRecorded { entries: all }) => {
                    self.noted.extend(all.into_iter().map(|(_, _, attempt)| (to.clone(), attempt)));
                }
                Effect::Send(to, PeerMessage::Pull { requested_at: asked, report: Some(report), .. }) => {
                    let given = report.released.iter().any(|(_, epoch)| epoch.count == self.epoch);
                    self.reports.insert(from.clone(), report);
                    if given {
                        self.epoch += 1;
                        self.leader = (1..=3).find(|n| self.fit(*n)).unwrap_or(self.leader);
                    }
                    let msg = self.news(asked, from);
                    self.queue.push_back((from.clone(), Event::MessageReceived { from: to, message: msg }));
                }
                Effect::Save { n, .. } => match &mut self.disks.get_mut(from).unwrap().waiting {
                    Some(waiting) => waiting.push(n),
                    None => self.queue.push_back((from.clone(), Event::Saved(n))),
                },
                _ => {}
            }
        }
    }

    /// Whether placement would grant to it.
    pub fn fit(&self, n: u64) -> bool {
        self.reports.get(&store(n)).is_some_and(|report| !report.leaving)
    }

    pub fn settle(&mut self) {
        while self.settle_one() {}
    }

    /// Hands over one event; one that is for a store that is gone is lost.
    pub fn settle_one(&mut self) -> bool {
        let Some((to, event)) = self.queue.pop_front() else { return false };
        let Some(store) = self.stores.get_mut(&to) else { return true };
        let out = store.step(event, self.now);
        self.obey(&to, out);
        true
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.settle();
            self.now += STEP;
            for n in 1..=3 {
                self.queue.push_back((store(n), Event::Tick));
            }
        }
        self.settle();
    }

    pub fn carry(&mut self, ask: u64, to: u64) {
        let body = Bytes::from(format!("body of {ask}"));
        let head = MessageHeader {
            id: MessageId(format!("m{ask}")),
            key: String::new(),
            seq: 0,
            crc: crc32(&body),
            len: body.len() as u32,
            callback: String::new(),
            ttl: None,
            route: String::new(),
            caller_request: None,
            accepted_unix_micros: 0,
            delay: Span::ZERO,
            completion_token: String::new(),
        };
        let reading = Some(ClockReading { incarnation: IncarnationId(1), at: self.now });
        let msg = PeerMessage::Submit {
            request_id: ask,
            proxy: daemon("proxy-1"),
            via: None,
            wants_refusal: false,
            partition: place(),
            version: Version { term: TERM, count: 1 },
            header: head,
            body,
            age_bound: Some(AgeBound { clock: reading, age: Span::ZERO }),
            refusal: None,
        };
        self.queue.push_back((store(to), Event::MessageReceived { from: daemon("proxy-1"), message: msg }));
        self.settle();
    }

    pub fn accepted(&self, ask: u64) -> bool {
        matches!(self.told.get(&ask), Some(SubmitOutcome::Accepted { .. }))
    }
}
