//! The files of a store that follows a leader and acknowledges operations only
//! once they are saved.
use super::*;
use dw_queue::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };

fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

fn partition() -> PartitionId {
    PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 1 }
}

fn startup() -> Startup {
    let me = Member {
        machine: String::new(),
        id: daemon("store-1"),
        zone: Zone("z1".into()),
        addr: String::new(),
        http: String::new(),
        incarnation: IncarnationId(1),
        disk_id: IncarnationId(0),
    };
    Startup {
        me,
        seeds: vec![daemon("placement-1")],
        pull_interval: Span::millis(400),
        lease_terms: LeaseTerms::default(),
        max_body_bytes: 1 << 20,
        max_disk_bytes: 1 << 20,
        max_cached_bytes: 1 << 20,
        max_messages: 1000,
        min_backoff: Span::millis(200),
        max_backoff: Span::secs(5),
        max_answer_delay: Span::millis(2100),
        started_unix_micros: 0,
        rng_seed: 1,
    }
}

fn put(number: u64) -> PartitionOp {
    let body = Bytes::from(format!("body of {number}"));
    let header = MessageHeader {
        id: MessageId(format!("m{number}")),
        key: String::new(),
        seq: number,
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
    PartitionOp::Put(header, Stage::Pending, body)
}

/// The leader's operations, and how many of them the follower acknowledged.
#[derive(Default)]
struct Leader {
    ops: Vec<PartitionOp>,
    messages_created: u64,
    acknowledged: u64,
    /// The disk id that the follower named in its acknowledgements.
    disk_id: Option<IncarnationId>,
    incarnations: u64,
}

impl Leader {
    /// The records and their stages after the first `n` operations.
    fn records(&self, n: u64) -> BTreeMap<MessageId, Stage> {
        let mut records = BTreeMap::new();
        for op in &self.ops[..n as usize] {
            match op {
                PartitionOp::Put(header, stage, _) => _ = records.insert(header.id.clone(), *stage),
                PartitionOp::SetStage(id, stage) | PartitionOp::SetStageWithToken(id, stage, _) => {
                    _ = records.insert(id.clone(), *stage)
                }
                PartitionOp::Remove(id) => _ = records.remove(id),
            }
        }
        records
    }

    /// Chooses the next operation: messages are created, end and are removed,
    /// most of them soon.
    fn next_op(&mut self, random: &mut Random) -> PartitionOp {
        let records = self.records(self.ops.len() as u64);
        let pick = records.iter().nth(random.below(records.len().max(1) as u64) as usize);
        match (pick, random.below(8)) {
            (Some((id, Stage::Pending)), 3..=4) => PartitionOp::SetStage(id.clone(), Stage::Ended(Outcome::Succeeded)),
            (Some((id, _)), 5..=7) => PartitionOp::Remove(id.clone()),
            _ => {
                self.messages_created += 1;
                put(self.messages_created)
            }
        }
    }

    /// Records up to which operation the follower acknowledged, and its disk id.
    fn record_acknowledgements(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Send(_, PeerMessage::Appended { epoch: EPOCH, up_to, disk_id, .. }) = effect else {
                continue;
            };
            self.acknowledged = self.acknowledged.max(*up_to);
            self.disk_id = Some(*disk_id);
        }
    }

    /// One incarnation of the follower, until the power is lost.
    fn run_until_power_loss(&mut self, directory: &ModelDirectory, random: &mut Random) -> Result<(), TestCaseError> {
        let (folder, files) = open(directory);
        self.incarnations += 1;
        let (mut store, effects) = Store::new(startup(), &files, IncarnationId(self.incarnations), Time(1));
        store.journal.compaction_threshold = 3;
        self.check_state_read(&store)?;
        directory.supply_power_for(1 + random.below(120));
        if self.perform_all(directory, &folder, &mut store, effects) {
            let lagging = PeerMessage::Lagging {
                partition: partition(),
                epoch: EPOCH,
                expected: Some((Epoch::ZERO, 0)),
                disk_id: store.disk_id,
                must_fetch: false,
            };
            let mut has_power = self.deliver(directory, &folder, &mut store, lagging);
            while has_power {
                let first = store.partitions[&partition()].last_op + 1;
                for _ in 0..1 + random.below(3) {
                    let op = self.next_op(random);
                    self.ops.push(op);
                }
                directory.fail_writes(random.below(2));
                let ops = self.ops[first as usize - 1..].to_vec();
                let append = PeerMessage::Append { partition: partition(), epoch: EPOCH, first_op: first, ops };
                has_power = self.deliver(directory, &folder, &mut store, append);
            }
        }
        directory.lose_power();
        Ok(())
    }

    /// Checks that the state read back includes all acknowledged operations and
    /// is exactly the result of as many operations as it claims to hold. The
    /// operations beyond those are removed from the history.
    fn check_state_read(&mut self, store: &Store) -> Result<(), TestCaseError> {
        if let Some(disk_id) = self.disk_id {
            prop_assert_eq!(store.disk_id, disk_id, "{} operations were acknowledged", self.acknowledged);
        }
        let partition_state = store.partitions.get(&partition());
        let n = partition_state.filter(|p| p.installed_epoch == EPOCH).map_or(0, |p| p.last_op);
        prop_assert!(n >= self.acknowledged, "{n} operations are read back of {} acknowledged", self.acknowledged);
        let found: BTreeMap<_, _> =
            partition_state.iter().flat_map(|p| p.records.iter()).map(|(id, record)| (id.clone(), record.stage)).collect();
        prop_assert_eq!(found, self.records(n));
        self.ops.truncate(n as usize);
        Ok(())
    }

    /// Delivers a message to the follower; false if the power was lost.
    fn deliver(&mut self, directory: &ModelDirectory, folder: &DataFolder, store: &mut Store, message: PeerMessage) -> bool {
        let effects = store.step(Event::MessageReceived { from: daemon("store-2"), message }, Time(2));
        self.perform_all(directory, folder, store, effects)
    }

    /// Performs effects and those that follow from them; false if the power was lost.
    fn perform_all(&mut self, directory: &ModelDirectory, folder: &DataFolder, store: &mut Store, effects: Vec<Effect>) -> bool {
        let mut effects = effects;
        loop {
            self.record_acknowledgements(&effects);
            let Some(events) = perform_disk_effects(directory, folder, &effects) else { return false };
            if events.is_empty() {
                return true;
            }
            effects = events.into_iter().flat_map(|event| store.step(event, Time(2))).collect();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_a_follower_acknowledged_is_read_back_and_no_removed_record_returns(seed in any::<u64>()) {
        let mut random = Random::new(seed);
        let directory = ModelDirectory::new(seed.rotate_left(29));
        let mut leader = Leader::default();
        for _ in 0..5 {
            leader.run_until_power_loss(&directory, &mut random)?;
        }
    }
}
