//! Three stores of one write set, driven by steps. The fixture acts as placement: it
//! grants the only partition to `leader` under `epoch`.
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

pub fn partition() -> PartitionId {
    PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 1 }
}

pub fn member_of(n: u64) -> Member {
    Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) }
}

pub fn startup_of(n: u64) -> Startup {
    Startup { rng_seed: n, ..startup(member_of(n)) }
}

#[derive(Default)]
pub struct Disk {
    /// Saves that are not finished because the disk is stuck.
    pub unfinished_saves: Option<Vec<u64>>,
}

pub struct Cluster {
    pub now: Time,
    pub stores: BTreeMap<Daemon, Store>,
    pub disks: BTreeMap<Daemon, Disk>,
    pub queue: VecDeque<(Daemon, Event)>,
    pub epoch: u64,
    pub leader: u64,
    /// Attempts whose results were acknowledged to deliveries as recorded.
    pub recorded: Vec<(Daemon, u64)>,
    /// Attempts that were dispatched.
    pub offers: Vec<Offer>,
    /// The result of the last lookup.
    pub last_lookup: Option<LookupResult>,
    /// Responses to the proxy, by request id.
    pub responses: BTreeMap<u64, SubmitOutcome>,
    /// The latest report of each store.
    pub reports: BTreeMap<Daemon, Report>,
}

impl Cluster {
    /// Store 1 leads the partition and serves.
    pub fn new() -> Cluster {
        let mut cluster = Cluster {
            now: Time(1_000_000),
            stores: BTreeMap::new(),
            disks: BTreeMap::new(),
            queue: VecDeque::new(),
            epoch: 1,
            leader: 1,
            recorded: Vec::new(),
            offers: Vec::new(),
            last_lookup: None,
            responses: BTreeMap::new(),
            reports: BTreeMap::new(),
        };
        for n in 1..=3 {
            let (core, out) = Store::new(startup_of(n), &Vec::new(), IncarnationId(n), cluster.now);
            cluster.stores.insert(store(n), core);
            cluster.disks.insert(store(n), Disk::default());
            cluster.handle_effects(&store(n), out);
        }
        cluster.run(Span::secs(1));
        assert_eq!(cluster.phase(1), Some(Phase::Serving));
        cluster
    }

    pub fn leader_state(&self, n: u64) -> Option<&LeaderState> {
        self.stores[&store(n)].partitions.get(&partition()).and_then(|part| part.leader_state.as_ref())
    }

    pub fn phase(&self, n: u64) -> Option<Phase> {
        self.leader_state(n).map(|leader_state| leader_state.phase)
    }

    pub fn block_disk(&mut self, n: u64) {
        self.disks.get_mut(&store(n)).unwrap().unfinished_saves = Some(Vec::new());
        self.queue.push_back((store(n), Event::DiskStuck(true)));
    }

    pub fn unblock_disk(&mut self, n: u64) {
        let saves = self.disks.get_mut(&store(n)).unwrap().unfinished_saves.take().unwrap();
        for save in saves {
            self.queue.push_back((store(n), Event::Saved(save)));
        }
        self.queue.push_back((store(n), Event::DiskStuck(false)));
    }

    pub fn pull_response(&self, requested_at: Time, to: &Daemon) -> PeerMessage {
        let version = |count| Version { term: TERM, count };
        let epoch = Epoch { term: TERM, count: self.epoch };
        let location = PartitionLocation { leader: store(self.leader), epoch };
        let updates = vec![
            (version(1), Update::Config(CONFIG.to_string())),
            (version(1), Update::Members((1..=3).map(member_of).collect())),
            (version(self.epoch), Update::Partitions(vec![(partition(), location)])),
        ];
        let set = (1..=3).map(|n| (store(n), IncarnationId(n))).collect();
        let grant = Grant {
            duty: Duty::Lead(partition()),
            epoch,
            write_set: set,
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let grants = if *to == store(self.leader) { vec![grant] } else { Vec::new() };
        PeerMessage::PullResponse {
            requested_at,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates,
            grants,
            late_stores: Vec::new(),
        }
    }

    pub fn handle_effects(&mut self, from: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, message) if self.stores.contains_key(&to) => {
                    self.queue.push_back((to, Event::MessageReceived { from: from.clone(), message }));
                }
                Effect::Send(_, PeerMessage::SubmitResponse { request_id, outcome, .. }) => {
                    _ = self.responses.insert(request_id, outcome)
                }
                Effect::Send(_, PeerMessage::Offers { entries, .. }) => self.offers.extend(entries),
                Effect::Send(_, PeerMessage::LookupResponse { result, .. }) => self.last_lookup = Some(result),
                Effect::Send(to, PeerMessage::ResultsRecorded { entries }) => {
                    self.recorded.extend(entries.into_iter().map(|(_, _, attempt)| (to.clone(), attempt)));
                }
                Effect::Send(to, PeerMessage::Pull { requested_at, report: Some(report), .. }) => {
                    let is_released = report.released.iter().any(|(_, epoch)| epoch.count == self.epoch);
                    self.reports.insert(from.clone(), report);
                    if is_released {
                        self.epoch += 1;
                        self.leader = (1..=3).find(|n| self.may_lead(*n)).unwrap_or(self.leader);
                    }
                    let message = self.pull_response(requested_at, from);
                    self.queue.push_back((from.clone(), Event::MessageReceived { from: to, message }));
                }
                Effect::Save { number: n, .. } => match &mut self.disks.get_mut(from).unwrap().unfinished_saves {
                    Some(unfinished_saves) => unfinished_saves.push(n),
                    None => self.queue.push_back((from.clone(), Event::Saved(n))),
                },
                _ => {}
            }
        }
    }

    /// Whether placement may make it the leader.
    pub fn may_lead(&self, n: u64) -> bool {
        self.reports.get(&store(n)).is_some_and(|report| !report.leaving)
    }

    pub fn deliver_all(&mut self) {
        while self.deliver_one() {}
    }

    /// Delivers one event; an event for a store that was removed is lost.
    pub fn deliver_one(&mut self) -> bool {
        let Some((to, event)) = self.queue.pop_front() else { return false };
        let Some(store) = self.stores.get_mut(&to) else { return true };
        let out = store.step(event, self.now);
        self.handle_effects(&to, out);
        true
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.deliver_all();
            self.now += STEP;
            for n in 1..=3 {
                self.queue.push_back((store(n), Event::Tick));
            }
        }
        self.deliver_all();
    }

    pub fn submit(&mut self, request_id: u64, to: u64) {
        let body = Bytes::from(format!("body of {request_id}"));
        let header = MessageHeader {
            id: MessageId(format!("m{request_id}")),
            key: String::new(),
            seq: 0,
            crc: crc32(&body),
            len: body.len() as u32,
            callback: String::new(),
            ttl: None,
            route: String::new(),
            route_pattern: String::new(),
            caller_request: None,
            accepted_unix_micros: 0,
            delay: Span::ZERO,
            completion_token: String::new(),
        };
        let reading = Some(ClockReading { incarnation: IncarnationId(1), at: self.now });
        let message = PeerMessage::Submit {
            request_id,
            proxy: daemon("proxy-1"),
            relayed_by: None,
            wants_refusal: false,
            partition: partition(),
            version: Version { term: TERM, count: 1 },
            header,
            body,
            age_bound: Some(AgeBound { clock: reading, age: Span::ZERO }),
            refusal: None,
        };
        self.queue.push_back((store(to), Event::MessageReceived { from: daemon("proxy-1"), message }));
        self.deliver_all();
    }

    pub fn accepted(&self, request_id: u64) -> bool {
        matches!(self.responses.get(&request_id), Some(SubmitOutcome::Accepted { .. }))
    }
}
