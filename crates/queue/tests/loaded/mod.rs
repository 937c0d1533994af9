//! Stores of one partition of routed messages under load. The first keeps it; of
//! the others the one that gets every operation is the replica that a test takes
//! away. What one says reaches another a step later.
#![allow(dead_code)]
use crate::settings::*;
use dw_queue::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const STEP: Span = Span::millis(5);
const LEADER: &str = "store-1";
const TERM: Term = Term(1);
const EPOCH: Epoch = Epoch { term: TERM, count: 1 };
/// Bytes of each message.
const BODY: usize = 2_000;
const ROUTES: &str = r#"{"revision": 1, "spool": 1, "retain_ms": 120000,
  "services": [{"name": "sheets", "slots": 100000}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;

fn place() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

/// The name of the message that is handed in under this number.
fn name_of(number: u64) -> MessageId {
    MessageId(format!("0-{:016x}", hash_of(&number.to_le_bytes())))
}

pub struct Loaded {
    /// Where store 1, 2 and so on stand.
    zones: Vec<String>,
    now: Time,
    cores: BTreeMap<Daemon, Store>,
    /// What arrives in the next step.
    queue: VecDeque<(Daemon, Event)>,
    cut: BTreeSet<Daemon>,
    /// What one store says to another comes so much later.
    delay: Span,
    late: VecDeque<(Time, Daemon, Event)>,
    replica: Daemon,
    set: Vec<(Daemon, IncarnationId)>,
    /// Handed out, and not ended yet.
    under_way: VecDeque<Offer>,
    handed_in: u64,
    /// Whether messages come in and end.
    busy: bool,
    /// In how many steps one comes in and one ends.
    pace: u64,
    notes: Vec<LogEvent>,
    /// Messages whose callers were told that they were accepted.
    accepted: Vec<MessageId>,
    report: Report,
    /// The largest message between two stores, in bytes.
    pub largest: usize,
    /// Bytes that the leader sent to the replica.
    pub sent_to_replica: usize,
    /// Parts of copies that it sent.
    pub parts: usize,
}

impl Loaded {
    /// Serving, with so many messages under way at a worker.
    pub fn with_messages(stores: u64, count: u64) -> Loaded {
        Loaded::in_zones((1..=stores).map(|n| format!("z{n}")).collect(), count)
    }

    /// The same, with a store in each of these zones.
    pub fn in_zones(zones: Vec<String>, count: u64) -> Loaded {
        let stores = zones.len() as u64;
        let mut all = Loaded {
            zones,
            now: Time::millis(1_000),
            cores: BTreeMap::new(),
            queue: VecDeque::new(),
            cut: BTreeSet::new(),
            delay: Span::ZERO,
            late: VecDeque::new(),
            replica: daemon(LEADER),
            set: Vec::new(),
            under_way: VecDeque::new(),
            handed_in: 0,
            busy: false,
            pace: 1,
            notes: Vec::new(),
            accepted: Vec::new(),
            report: Report::default(),
            largest: 0,
            sent_to_replica: 0,
            parts: 0,
        };
        for n in 1..=stores {
            all.start_empty(&format!("store-{n}"), IncarnationId(n));
        }
        all.set = (1..=stores).map(|n| (daemon(&format!("store-{n}")), IncarnationId(n))).collect();
        all.run(Span::secs(3));
        let own = all.cores[&daemon(LEADER)].parts[&place()].leader_state.as_ref().expect("a leader");
        all.replica = own.backups.keys().next().expect("a replica").clone();
        for _ in 0..count {
            all.hand_in();
        }
        all.run(Span::secs(1));
        assert_eq!(all.under_way.len() as u64, count);
        all.busy = true;
        all
    }

    fn start_empty(&mut self, name: &str, mark: IncarnationId) {
        let zone = self.zone_of(name);
        let startup = Startup {
            pull: Span::millis(300),
            bytes_max: 1 << 30,
            disk_max: 1 << 30,
            cache_max: 1 << 30,
            count_max: 1 << 20,
            ..startup(member(name, &zone))
        };
        let (core, out) = Store::new(startup, &Vec::new(), mark, self.now);
        self.cores.insert(daemon(name), core);
        self.obey(&daemon(name), out);
    }

    fn zone_of(&self, store: &str) -> String {
        let number: usize = store.trim_start_matches("store-").parse().expect("a numbered store");
        self.zones[number - 1].clone()
    }

    /// Which peers get every operation of the leader.
    pub fn backups(&self) -> Vec<Daemon> {
        let own = self.cores[&daemon(LEADER)].parts[&place()].leader_state.as_ref().expect("a leader");
        own.backups.keys().cloned().collect()
    }

    /// What one store says to another comes so much later from here on.
    pub fn delay(&mut self, by: Span) {
        self.delay = by;
    }

    /// Nobody takes a step for a while.
    pub fn stand_still(&mut self, span: Span) {
        self.now += span;
    }

    /// A store is no longer reached by the others.
    /// The fewest stores that hold a message that was accepted, and the fewest
    /// zones in which they stand.
    pub fn fewest_holders(&self) -> (usize, usize) {
        let holds = |id: &MessageId, core: &Store| core.parts.get(&place()).is_some_and(|part| part.records.contains_key(id));
        let holders = |id: &MessageId| -> Vec<String> {
            let all = self.cores.iter().filter(|(_, core)| holds(id, core));
            all.map(|(store, _)| self.zone_of(store.as_str())).collect()
        };
        let counts = self.accepted.iter().map(|id| {
            let zones = holders(id);
            (zones.len(), zones.iter().collect::<BTreeSet<_>>().len())
        });
        counts.fold((usize::MAX, usize::MAX), |least, now| (least.0.min(now.0), least.1.min(now.1)))
    }

    /// How many messages were accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// A store's disk is lost; it starts again at once, with an empty one.
    pub fn wipe(&mut self, store: &Daemon, mark: IncarnationId) {
        self.queue.retain(|(to, _)| to != store);
        self.start_empty(store.as_str(), mark);
    }

    /// Placement names the folder that a store has now.
    pub fn seat(&mut self, store: &Daemon) {
        let mark = self.cores[store].mark;
        let seat = self.set.iter_mut().find(|seat| seat.0 == *store).expect("a seat");
        seat.1 = mark;
    }

    pub fn mend(&mut self, store: &Daemon) {
        self.cut.remove(store);
    }

    pub fn cut(&mut self, store: &Daemon) {
        self.cut.insert(store.clone());
    }

    /// The replica comes back without its disk.
    pub fn lose_disk(&mut self) {
        let replica = self.replica.clone();
        self.queue.retain(|(to, _)| *to != replica);
        self.start_empty(replica.as_str(), IncarnationId(22));
    }

    /// One message's bytes are altered at the leader, and no other store has
    /// them.
    pub fn alter_one(&mut self) {
        self.queue.clear();
        let id = self.under_way.pop_front().expect("one under way").header.id;
        for core in self.cores.values_mut() {
            let Some(record) = core.parts.get_mut(&place()).and_then(|part| part.records.get_mut(&id)) else { continue };
            record.body = Some(Bytes::from_static(b"altered"));
        }
    }

    /// The leader reaches no other store for a while, in which half as many
    /// messages come in.
    pub fn cut_off(&mut self, span: Span) {
        self.pace = 2;
        self.cut.insert(daemon(LEADER));
        self.run(span);
        self.cut.clear();
        self.pace = 1;
        self.notes.clear();
    }

    /// How long until the replica holds all under the leader's epoch.
    pub fn run_until_whole(&mut self, most: Span) -> Span {
        let begun = self.now;
        while !self.is_whole() {
            assert!(self.now.since(begun) < most, "not whole after {} ms", most.as_millis());
            self.step();
        }
        self.now.since(begun)
    }

    /// By the leader's own word: the copy counts, or may be counted.
    fn is_whole(&self) -> bool {
        let replica = &self.cores[&self.replica];
        let Some(own) = self.cores[&daemon(LEADER)].parts[&place()].leader_state.as_ref() else { return false };
        let told = own.complete_copies.get(&self.replica) == Some(&replica.mark);
        let have = own.peers.get(&self.replica).and_then(|s| s.synced_op);
        let level = have.is_some_and(|have| have + 200 >= self.cores[&daemon(LEADER)].parts[&place()].last_op);
        level && (told || own.is_counted(&self.replica, replica.mark))
    }

    pub fn notes_of(&self, note: LogEvent) -> usize {
        self.notes.iter().filter(|n| **n == note).count()
    }

    /// Once nothing more comes in, both hold the same records.
    pub fn assert_same(&mut self) {
        self.busy = false;
        for (id, mark) in &mut self.set {
            *mark = self.cores[id].mark;
        }
        self.run(Span::secs(3));
        let records = |name: &str| -> Vec<(MessageHeader, Stage, Option<Bytes>)> {
            let part = &self.cores[&daemon(name)].parts[&place()];
            part.records.values().map(|r| (r.header.clone(), r.stage, r.loaded_body())).collect()
        };
        let (kept, copied) = (records(LEADER), records(self.replica.as_str()));
        assert_eq!(kept.len(), copied.len());
        for (kept, copied) in kept.iter().zip(&copied) {
            assert_eq!(kept, copied);
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.busy && (self.now.0 / STEP.0).is_multiple_of(self.pace) {
            self.hand_in();
            self.end_one();
        }
        if self.now.0.is_multiple_of(20_000) {
            self.say_room();
            let stores: Vec<Daemon> = self.cores.keys().cloned().collect();
            self.queue.extend(stores.into_iter().map(|id| (id, Event::Tick)));
        }
        while let Some((_, to, event)) = self.late.pop_front_if(|late| late.0 <= self.now) {
            self.queue.push_back((to, event));
        }
        for (id, event) in std::mem::take(&mut self.queue) {
            let Some(core) = self.cores.get_mut(&id) else { continue };
            let out = core.step(event, self.now);
            self.obey(&id, out);
        }
    }

    fn obey(&mut self, id: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Log(note, _) => self.notes.push(note),
                Effect::Load { n, .. } => self.queue.push_back((id.clone(), Event::Loaded(n, None))),
                Effect::Save { n, .. } => self.queue.push_back((id.clone(), Event::Saved(n))),
                Effect::Send(_, PeerMessage::Pull { requested_at: asked, report, .. }) => self.answer(id, asked, report),
                Effect::Send(_, PeerMessage::Offers { entries: all, .. }) => self.under_way.extend(all),
                Effect::Send(_, PeerMessage::SubmitResponse { request_id: ask, outcome: SubmitOutcome::Accepted { .. }, .. }) => {
                    self.accepted.push(name_of(ask))
                }
                Effect::Send(to, _) if self.cut.contains(id) || self.cut.contains(&to) => {}
                Effect::Send(to, msg) if self.cores.contains_key(&to) => self.carry(id, to, msg),
                _ => {}
            }
        }
    }

    fn carry(&mut self, from: &Daemon, to: Daemon, msg: PeerMessage) {
        let size = encode(&msg).len();
        self.largest = self.largest.max(size);
        self.parts += usize::from(matches!(msg, PeerMessage::CopyPart { .. }));
        if *from == daemon(LEADER) && to == self.replica {
            self.sent_to_replica += size;
        }
        let event = Event::MessageReceived { from: from.clone(), message: msg };
        match self.delay {
            Span::ZERO => self.queue.push_back((to, event)),
            delay => self.late.push_back((self.now + delay, to, event)),
        }
    }

    /// Answers a pull as placement does.
    fn answer(&mut self, to: &Daemon, asked: Time, report: Option<Report>) {
        let version = Version { term: TERM, count: 1 };
        let members = self.cores.iter().map(|(id, core)| {
            let zone = self.zone_of(id.as_str());
            Member { disk_id: core.mark, ..member(id.as_str(), &zone) }
        });
        let placing = PartitionLocation { leader: daemon(LEADER), epoch: EPOCH };
        let items = vec![
            (version, Update::Config(ROUTES.to_string())),
            (version, Update::Members(members.collect())),
            (version, Update::Partitions(vec![(place(), placing)])),
        ];
        let mut grants = Vec::new();
        if *to == daemon(LEADER) && !self.set.is_empty() {
            self.report = report.unwrap_or_default();
            let set = self.set.clone();
            let duty = Duty::Lead(place());
            grants.push(Grant {
                duty,
                epoch: EPOCH,
                write_set: set,
                replacement: None,
                replacement_number: Version::ZERO,
                release_requested: false,
                slot_range: None,
            });
        }
        let msg = PeerMessage::PullResponse {
            requested_at: asked,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates: items,
            grants,
            late_stores: Vec::new(),
        };
        self.queue.push_back((to.clone(), Event::MessageReceived { from: daemon("placement-1"), message: msg }));
    }

    /// A proxy hands a message in. Names are spread as hashes are.
    fn hand_in(&mut self) {
        self.handed_in += 1;
        let number = self.handed_in;
        let body = Bytes::from(vec![number as u8; BODY]);
        let head = MessageHeader {
            id: name_of(number),
            crc: crc32(&body),
            len: BODY as u32,
            route: "bulk".into(),
            caller_request: Some(Box::default()),
            ..MessageHeader::default()
        };
        let msg = PeerMessage::Submit {
            request_id: number,
            proxy: daemon("proxy-1"),
            via: None,
            wants_refusal: true,
            partition: place(),
            version: Version { term: TERM, count: 1 },
            header: head,
            body,
            age_bound: Some(AgeBound {
                clock: Some(ClockReading { incarnation: IncarnationId(1), at: self.now }),
                age: Span::ZERO,
            }),
            refusal: None,
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("proxy-1"), message: msg }));
    }

    /// The delivery says what it takes.
    fn say_room(&mut self) {
        let reach =
            RoutedCapacity { incarnation: IncarnationId(7), services: vec![("sheets".into(), 100_000)], addresses: Vec::new() };
        let places = vec![(place(), EPOCH)];
        let msg = PeerMessage::Capacity {
            requested_at: self.now,
            duties: Vec::new(),
            partitions: places,
            in_flight: Vec::new(),
            routed: Some(reach),
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("delivery-1"), message: msg }));
    }

    /// A worker is done with a message; not always with the oldest.
    fn end_one(&mut self) {
        let at = (self.handed_in as usize * 7919) % self.under_way.len().max(1);
        let Some(offer) = self.under_way.remove(at) else { return };
        let one = AttemptResult {
            partition: place(),
            id: offer.header.id,
            epoch: offer.epoch,
            attempt: offer.attempt,
            stage: offer.stage,
            outcome: AttemptOutcome::Success,
            completion_token: "seal".into(),
            ended_ago: Span::ZERO,
        };
        let msg = PeerMessage::AttemptResults { entries: vec![one] };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("delivery-1"), message: msg }));
    }
}
