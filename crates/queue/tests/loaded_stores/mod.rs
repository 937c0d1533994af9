//! Stores of one partition of routed messages under load. The first leads it; the first
//! of its backups is the replica that tests disturb. What one store sends reaches
//! another a step later.
#![allow(dead_code)]
use crate::settings::*;
use dw_queue::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const STEP: Span = Span::millis(5);
const LEADER: &str = "store-1";
const TERM: Term = Term(1);
const EPOCH: Epoch = Epoch { term: TERM, count: 1 };
/// Size of each message body.
const BODY_BYTES: usize = 2_000;
const ROUTES: &str = r#"{"revision": 1, "spool": 1, "retain_ms": 120000,
  "services": [{"name": "sheets", "slots": 100000}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;

fn partition() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

/// The id of the message that is submitted under this number.
fn message_id(number: u64) -> MessageId {
    MessageId(format!("0-{:016x}", hash_of(&number.to_le_bytes())))
}

pub struct LoadedStores {
    /// The zones of store 1, 2 and so on.
    zones: Vec<String>,
    now: Time,
    cores: BTreeMap<Daemon, Store>,
    /// What arrives in the next step.
    queue: VecDeque<(Daemon, Event)>,
    disconnected: BTreeSet<Daemon>,
    /// How much later a message from one store reaches another.
    delay: Span,
    late: VecDeque<(Time, Daemon, Event)>,
    replica: Daemon,
    write_set: Vec<(Daemon, IncarnationId)>,
    /// Attempts that were dispatched and have not ended.
    in_flight: VecDeque<Offer>,
    submitted: u64,
    /// Whether messages are submitted and finished.
    busy: bool,
    /// One message is submitted and one finished every so many steps.
    steps_per_message: u64,
    log_events: Vec<LogEvent>,
    /// Messages that were answered as accepted.
    accepted: Vec<MessageId>,
    report: Report,
    /// The largest message between two stores, in bytes.
    pub largest_message: usize,
    /// Bytes that the leader sent to the replica.
    pub sent_to_replica: usize,
    /// Parts of copies that were sent.
    pub copy_parts: usize,
}

impl LoadedStores {
    /// Stores that serve, with so many messages running at a worker.
    pub fn with_messages(stores: u64, count: u64) -> LoadedStores {
        LoadedStores::in_zones((1..=stores).map(|n| format!("z{n}")).collect(), count)
    }

    /// The same, with a store in each of these zones.
    pub fn in_zones(zones: Vec<String>, count: u64) -> LoadedStores {
        let stores = zones.len() as u64;
        let mut all = LoadedStores {
            zones,
            now: Time::millis(1_000),
            cores: BTreeMap::new(),
            queue: VecDeque::new(),
            disconnected: BTreeSet::new(),
            delay: Span::ZERO,
            late: VecDeque::new(),
            replica: daemon(LEADER),
            write_set: Vec::new(),
            in_flight: VecDeque::new(),
            submitted: 0,
            busy: false,
            steps_per_message: 1,
            log_events: Vec::new(),
            accepted: Vec::new(),
            report: Report::default(),
            largest_message: 0,
            sent_to_replica: 0,
            copy_parts: 0,
        };
        for n in 1..=stores {
            all.start_with_empty_disk(&format!("store-{n}"), IncarnationId(n));
        }
        all.write_set = (1..=stores).map(|n| (daemon(&format!("store-{n}")), IncarnationId(n))).collect();
        all.run(Span::secs(3));
        let own = all.cores[&daemon(LEADER)].partitions[&partition()].leader_state.as_ref().expect("a leader");
        all.replica = own.backups.keys().next().expect("a replica").clone();
        for _ in 0..count {
            all.submit();
        }
        all.run(Span::secs(1));
        assert_eq!(all.in_flight.len() as u64, count);
        all.busy = true;
        all
    }

    fn start_with_empty_disk(&mut self, name: &str, disk_id: IncarnationId) {
        let zone = self.zone_of(name);
        let startup = Startup {
            pull_interval: Span::millis(300),
            max_body_bytes: 1 << 30,
            max_disk_bytes: 1 << 30,
            max_cached_bytes: 1 << 30,
            max_messages: 1 << 20,
            ..startup(member(name, &zone))
        };
        let (core, out) = Store::new(startup, &Vec::new(), disk_id, self.now);
        self.cores.insert(daemon(name), core);
        self.handle_effects(&daemon(name), out);
    }

    fn zone_of(&self, store: &str) -> String {
        let number: usize = store.trim_start_matches("store-").parse().expect("a numbered store");
        self.zones[number - 1].clone()
    }

    /// The peers that are sent every operation by the leader.
    pub fn backups(&self) -> Vec<Daemon> {
        let own = self.cores[&daemon(LEADER)].partitions[&partition()].leader_state.as_ref().expect("a leader");
        own.backups.keys().cloned().collect()
    }

    /// Delays messages between stores from now on.
    pub fn delay(&mut self, by: Span) {
        self.delay = by;
    }

    /// Lets time pass in which no store takes a step.
    pub fn stall(&mut self, span: Span) {
        self.now += span;
    }

    /// The fewest stores that hold an accepted message, and the fewest zones in which they
    /// are.
    pub fn fewest_holders(&self) -> (usize, usize) {
        let holds =
            |id: &MessageId, core: &Store| core.partitions.get(&partition()).is_some_and(|part| part.records.contains_key(id));
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

    /// How many messages were accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.len()
    }

    /// A store loses its disk, and restarts at once with an empty one.
    pub fn replace_disk(&mut self, store: &Daemon, disk_id: IncarnationId) {
        self.queue.retain(|(to, _)| to != store);
        self.start_with_empty_disk(store.as_str(), disk_id);
    }

    /// Placement puts the present disk id of a store into the write set.
    pub fn count_new_disk(&mut self, store: &Daemon) {
        let disk_id = self.cores[store].disk_id;
        let member = self.write_set.iter_mut().find(|member| member.0 == *store).expect("a member of the write set");
        member.1 = disk_id;
    }

    pub fn reconnect(&mut self, store: &Daemon) {
        self.disconnected.remove(store);
    }

    pub fn disconnect(&mut self, store: &Daemon) {
        self.disconnected.insert(store.clone());
    }

    /// The replica restarts without its disk.
    pub fn replace_disk_of_replica(&mut self) {
        let replica = self.replica.clone();
        self.queue.retain(|(to, _)| *to != replica);
        self.start_with_empty_disk(replica.as_str(), IncarnationId(22));
    }

    /// Corrupts the body of one message at every store that has it; copies still on
    /// their way are lost.
    pub fn corrupt_one_body(&mut self) {
        self.queue.clear();
        let id = self.in_flight.pop_front().expect("an attempt in flight").header.id;
        for core in self.cores.values_mut() {
            let Some(record) = core.partitions.get_mut(&partition()).and_then(|part| part.records.get_mut(&id)) else { continue };
            record.body = Some(Bytes::from_static(b"altered"));
        }
    }

    /// The leader reaches no other store for a while, in which half as many messages are
    /// submitted.
    pub fn isolate_leader(&mut self, span: Span) {
        self.steps_per_message = 2;
        self.disconnected.insert(daemon(LEADER));
        self.run(span);
        self.disconnected.clear();
        self.steps_per_message = 1;
        self.log_events.clear();
    }

    /// Runs until the replica's copy is complete under the leader's epoch; returns how long
    /// that took.
    pub fn run_until_copied(&mut self, limit: Span) -> Span {
        let started = self.now;
        while !self.is_copied() {
            assert!(self.now.since(started) < limit, "no complete copy after {} ms", limit.as_millis());
            self.step();
        }
        self.now.since(started)
    }

    /// Whether the leader takes the replica's copy as complete: it counts, or may be counted.
    fn is_copied(&self) -> bool {
        let replica = &self.cores[&self.replica];
        let Some(own) = self.cores[&daemon(LEADER)].partitions[&partition()].leader_state.as_ref() else { return false };
        let is_reported = own.complete_copies.get(&self.replica) == Some(&replica.disk_id);
        let synced_op = own.peers.get(&self.replica).and_then(|s| s.synced_op);
        let is_level = synced_op.is_some_and(|op| op + 200 >= self.cores[&daemon(LEADER)].partitions[&partition()].last_op);
        is_level && (is_reported || own.is_counted(&self.replica, replica.disk_id))
    }

    pub fn event_count(&self, event: LogEvent) -> usize {
        self.log_events.iter().filter(|n| **n == event).count()
    }

    /// Submits nothing more, and checks that leader and replica hold the same records.
    pub fn assert_same_records(&mut self) {
        self.busy = false;
        for (id, disk_id) in &mut self.write_set {
            *disk_id = self.cores[id].disk_id;
        }
        self.run(Span::secs(3));
        let records = |name: &str| -> Vec<(MessageHeader, Stage, Option<Bytes>)> {
            let part = &self.cores[&daemon(name)].partitions[&partition()];
            part.records.values().map(|r| (r.header.clone(), r.stage, r.loaded_body())).collect()
        };
        let (original, copied) = (records(LEADER), records(self.replica.as_str()));
        assert_eq!(original.len(), copied.len());
        for (original, copied) in original.iter().zip(&copied) {
            assert_eq!(original, copied);
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
        if self.busy && (self.now.0 / STEP.0).is_multiple_of(self.steps_per_message) {
            self.submit();
            self.finish_one();
        }
        if self.now.0.is_multiple_of(20_000) {
            self.report_capacity();
            let stores: Vec<Daemon> = self.cores.keys().cloned().collect();
            self.queue.extend(stores.into_iter().map(|id| (id, Event::Tick)));
        }
        while let Some((_, to, event)) = self.late.pop_front_if(|late| late.0 <= self.now) {
            self.queue.push_back((to, event));
        }
        for (id, event) in std::mem::take(&mut self.queue) {
            let Some(core) = self.cores.get_mut(&id) else { continue };
            let out = core.step(event, self.now);
            self.handle_effects(&id, out);
        }
    }

    fn handle_effects(&mut self, id: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Log(event, _) => self.log_events.push(event),
                Effect::Load { number: n, .. } => self.queue.push_back((id.clone(), Event::Loaded(n, None))),
                Effect::Save { number: n, .. } => self.queue.push_back((id.clone(), Event::Saved(n))),
                Effect::Send(_, PeerMessage::Pull { requested_at, report, .. }) => self.answer_pull(id, requested_at, report),
                Effect::Send(_, PeerMessage::Offers { entries, .. }) => self.in_flight.extend(entries),
                Effect::Send(_, PeerMessage::SubmitResponse { request_id, outcome: SubmitOutcome::Accepted { .. }, .. }) => {
                    self.accepted.push(message_id(request_id))
                }
                Effect::Send(to, _) if self.disconnected.contains(id) || self.disconnected.contains(&to) => {}
                Effect::Send(to, message) if self.cores.contains_key(&to) => self.send(id, to, message),
                _ => {}
            }
        }
    }

    fn send(&mut self, from: &Daemon, to: Daemon, message: PeerMessage) {
        let size = encode(&message).len();
        self.largest_message = self.largest_message.max(size);
        self.copy_parts += usize::from(matches!(message, PeerMessage::CopyPart { .. }));
        if *from == daemon(LEADER) && to == self.replica {
            self.sent_to_replica += size;
        }
        let event = Event::MessageReceived { from: from.clone(), message };
        match self.delay {
            Span::ZERO => self.queue.push_back((to, event)),
            delay => self.late.push_back((self.now + delay, to, event)),
        }
    }

    /// Answers a pull as placement would.
    fn answer_pull(&mut self, to: &Daemon, requested_at: Time, report: Option<Report>) {
        let version = Version { term: TERM, count: 1 };
        let members = self.cores.iter().map(|(id, core)| {
            let zone = self.zone_of(id.as_str());
            Member { disk_id: core.disk_id, ..member(id.as_str(), &zone) }
        });
        let location = PartitionLocation { leader: daemon(LEADER), epoch: EPOCH };
        let updates = vec![
            (version, Update::Config(ROUTES.to_string())),
            (version, Update::Members(members.collect())),
            (version, Update::Partitions(vec![(partition(), location)])),
        ];
        let mut grants = Vec::new();
        if *to == daemon(LEADER) && !self.write_set.is_empty() {
            self.report = report.unwrap_or_default();
            let write_set = self.write_set.clone();
            let duty = Duty::Lead(partition());
            grants.push(Grant {
                duty,
                epoch: EPOCH,
                write_set,
                replacement: None,
                replacement_number: Version::ZERO,
                release_requested: false,
                slot_range: None,
            });
        }
        let message = PeerMessage::PullResponse {
            requested_at,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates,
            grants,
            late_stores: Vec::new(),
        };
        self.queue.push_back((to.clone(), Event::MessageReceived { from: daemon("placement-1"), message }));
    }

    /// A proxy submits a message. The ids are spread like hashes.
    fn submit(&mut self) {
        self.submitted += 1;
        let number = self.submitted;
        let body = Bytes::from(vec![number as u8; BODY_BYTES]);
        let header = MessageHeader {
            id: message_id(number),
            crc: crc32(&body),
            len: BODY_BYTES as u32,
            route: "bulk".into(),
            route_pattern: "h/".into(),
            caller_request: Some(Box::new(caller_request())),
            ..MessageHeader::default()
        };
        let message = PeerMessage::Submit {
            request_id: number,
            proxy: daemon("proxy-1"),
            relayed_by: None,
            wants_refusal: true,
            partition: partition(),
            version: Version { term: TERM, count: 1 },
            header,
            body,
            age_bound: Some(AgeBound {
                clock: Some(ClockReading { incarnation: IncarnationId(1), at: self.now }),
                age: Span::ZERO,
            }),
            refusal: None,
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("proxy-1"), message }));
    }

    /// The delivery reports its capacity.
    fn report_capacity(&mut self) {
        let capacity = RoutedCapacity {
            incarnation: IncarnationId(7),
            services: vec![("sheets".into(), 100_000)],
            ..RoutedCapacity::default()
        };
        let partitions = vec![(partition(), EPOCH)];
        let message = PeerMessage::Capacity {
            requested_at: self.now,
            duties: Vec::new(),
            partitions,
            in_flight: Vec::new(),
            routed: Some(capacity),
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("delivery-1"), message }));
    }

    /// A worker finishes a message, not always the oldest.
    fn finish_one(&mut self) {
        let at = (self.submitted as usize * 7919) % self.in_flight.len().max(1);
        let Some(offer) = self.in_flight.remove(at) else { return };
        let result = AttemptResult {
            partition: partition(),
            id: offer.header.id,
            epoch: offer.epoch,
            attempt: offer.attempt,
            stage: offer.stage,
            outcome: AttemptOutcome::Success,
            completion_token: "seal".into(),
            ended_ago: Span::ZERO,
        };
        let message = PeerMessage::AttemptResults { entries: vec![result] };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("delivery-1"), message }));
    }
}
