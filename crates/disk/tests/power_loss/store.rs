//! The files of a store, driven as a follower: what it acknowledged to the
//! leader is what it was told is saved.
use super::*;
use dw_queue::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };

fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

fn place() -> PartitionId {
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
        pull: Span::millis(400),
        terms: Terms::default(),
        bytes_max: 1 << 20,
        disk_max: 1 << 20,
        cache_max: 1 << 20,
        count_max: 1000,
        backoff: Span::millis(200),
        backoff_max: Span::secs(5),
        word: Span::millis(2100),
        wall: 0,
        seed: 1,
    }
}

fn put(number: u64) -> PartitionOp {
    let body = Bytes::from(format!("body of {number}"));
    let head = MessageHeader {
        id: MessageId(format!("m{number}")),
        key: String::new(),
        seq: number,
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
    PartitionOp::Put(head, Stage::Pending, body)
}

/// The leader's ops, and what the follower acknowledged of them.
#[derive(Default)]
struct Leader {
    ops: Vec<PartitionOp>,
    made: u64,
    acknowledged: u64,
    mark: Option<IncarnationId>,
    fresh: u64,
}

impl Leader {
    /// The records and stages after the first `n` ops.
    fn records(&self, n: u64) -> BTreeMap<MessageId, Stage> {
        let mut records = BTreeMap::new();
        for op in &self.ops[..n as usize] {
            match op {
                PartitionOp::Put(head, stage, _) => _ = records.insert(head.id.clone(), *stage),
                PartitionOp::SetStage(id, stage) | PartitionOp::SetStageWithToken(id, stage, _) => {
                    _ = records.insert(id.clone(), *stage)
                }
                PartitionOp::Remove(id) => _ = records.remove(id),
            }
        }
        records
    }

    /// A new op: messages come, end and are dropped, most of them soon.
    fn next_op(&mut self, dice: &mut Dice) -> PartitionOp {
        let records = self.records(self.ops.len() as u64);
        let pick = records.iter().nth(dice.below(records.len().max(1) as u64) as usize);
        match (pick, dice.below(8)) {
            (Some((id, Stage::Pending)), 3..=4) => PartitionOp::SetStage(id.clone(), Stage::Ended(Outcome::Succeeded)),
            (Some((id, _)), 5..=7) => PartitionOp::Remove(id.clone()),
            _ => {
                self.made += 1;
                put(self.made)
            }
        }
    }

    fn hear(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Send(_, PeerMessage::Appended { epoch: EPOCH, up_to: upto, disk_id: mark, .. }) = effect else {
                continue;
            };
            self.acknowledged = self.acknowledged.max(*upto);
            self.mark = Some(*mark);
        }
    }

    /// One life of the follower, until the power is lost.
    fn live(&mut self, directory: &ModelDirectory, dice: &mut Dice) -> Result<(), TestCaseError> {
        let (folder, files) = open(directory);
        self.fresh += 1;
        let (mut store, effects) = Store::new(startup(), &files, IncarnationId(self.fresh), Time(1));
        store.ledger.compaction_threshold = 3;
        self.judge(&store)?;
        directory.power_for(1 + dice.below(120));
        if self.settle(directory, &folder, &mut store, effects) {
            let lag = PeerMessage::Lagging {
                partition: place(),
                epoch: EPOCH,
                expected: Some((Epoch::ZERO, 0)),
                disk_id: store.mark,
                must_fetch: false,
            };
            let mut alive = self.tell(directory, &folder, &mut store, lag);
            while alive {
                let first = store.parts[&place()].last_op + 1;
                for _ in 0..1 + dice.below(3) {
                    let op = self.next_op(dice);
                    self.ops.push(op);
                }
                directory.full_for(dice.below(2));
                let ops = self.ops[first as usize - 1..].to_vec();
                let append = PeerMessage::Append { partition: place(), epoch: EPOCH, first, ops };
                alive = self.tell(directory, &folder, &mut store, append);
            }
        }
        directory.lose_power();
        Ok(())
    }

    /// What is read back holds all that was acknowledged, and is exactly what
    /// the history makes of as many ops.
    fn judge(&mut self, store: &Store) -> Result<(), TestCaseError> {
        if let Some(mark) = self.mark {
            prop_assert_eq!(store.mark, mark, "{} ops were acknowledged", self.acknowledged);
        }
        let part = store.parts.get(&place());
        let n = part.filter(|p| p.installed_epoch == EPOCH).map_or(0, |p| p.last_op);
        prop_assert!(n >= self.acknowledged, "{n} ops of {} acknowledged", self.acknowledged);
        let found: BTreeMap<_, _> =
            part.iter().flat_map(|p| p.records.iter()).map(|(id, record)| (id.clone(), record.stage)).collect();
        prop_assert_eq!(found, self.records(n));
        self.ops.truncate(n as usize);
        Ok(())
    }

    fn tell(&mut self, directory: &ModelDirectory, folder: &Folder, store: &mut Store, msg: PeerMessage) -> bool {
        let effects = store.step(Event::MessageReceived { from: daemon("store-2"), message: msg }, Time(2));
        self.settle(directory, folder, store, effects)
    }

    /// Does all that follows; false when the power was lost.
    fn settle(&mut self, directory: &ModelDirectory, folder: &Folder, store: &mut Store, effects: Vec<Effect>) -> bool {
        let mut effects = effects;
        loop {
            self.hear(&effects);
            let Some(events) = perform(directory, folder, &effects) else { return false };
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
    fn what_a_follower_acknowledged_is_read_back_and_nothing_dropped_returns(seed in any::<u64>()) {
        let mut dice = Dice::new(seed);
        let directory = ModelDirectory::new(seed.rotate_left(29));
        let mut leader = Leader::default();
        for _ in 0..5 {
            leader.live(&directory, &mut dice)?;
        }
    }
}
