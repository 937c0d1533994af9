//! A store that fetches a copy of a partition larger than its memory.
mod settings;
use dw_queue::prelude::*;
use settings::*;
use std::collections::BTreeMap;

const START: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };
const DISK: IncarnationId = IncarnationId(2);
const MESSAGES: u64 = 1000;
const BODY_BYTES: usize = 10_000;
/// Memory for bodies: a fiftieth of the partition.
const CACHE_BYTES: u64 = 200_000;
/// Bodies in one part of a copy.
const BODIES_PER_PART: usize = 25;
/// The last operation of the source.
const LAST_OP: u64 = MESSAGES;

fn partition() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

fn body(seq: u64) -> Bytes {
    Bytes::from(vec![seq as u8; BODY_BYTES])
}

fn header(seq: u64) -> MessageHeader {
    header_of(&format!("m{seq:04}"), seq, &body(seq))
}

fn seq_of(id: &MessageId) -> u64 {
    id.as_str()[1..].parse().unwrap()
}

/// The source's answer: all records first, then bodies. It holds the messages from `first` on.
fn part_of(request: &CopyRequest, first: u64) -> CopyPart {
    let part = CopyPart {
        from: request.position.clone(),
        ops: Vec::new(),
        bodies: Vec::new(),
        records: Vec::new(),
        last_op: LAST_OP,
        next_seq: MESSAGES + 1,
        complete: true,
    };
    if request.position.is_none() {
        return CopyPart { records: (first..=MESSAGES).map(|seq| (header(seq), Stage::Pending)).collect(), ..part };
    }
    let wanted = request.wanted.iter().take(BODIES_PER_PART);
    CopyPart { bodies: wanted.map(|id| (id.clone(), body(seq_of(id)))).collect(), ..part }
}

/// A store with an empty disk that was told that it lacks the partition.
struct Replica {
    core: Store,
    now: Time,
    files: BTreeMap<String, Bytes>,
    requests: VecDeque<CopyRequest>,
    acknowledged: Vec<u64>,
    /// Saves that the disk has not finished, if it is stopped.
    unfinished: Vec<u64>,
    disk_is_stopped: bool,
    bodies_requested: usize,
    largest_save: usize,
    /// The most bytes that the unfinished copy and the records held in memory.
    most_in_memory: usize,
}

impl Replica {
    fn on_files(files: BTreeMap<String, Bytes>, now: Time) -> Replica {
        let me = Member { disk_id: DISK, ..member("store-2", "z2") };
        let startup = Startup { max_cached_bytes: CACHE_BYTES, max_body_bytes: 1 << 30, max_disk_bytes: 1 << 30, ..startup(me) };
        let all: Vec<(String, Bytes)> = files.clone().into_iter().collect();
        let (core, effects) = Store::new(startup, &all, DISK, now);
        let mut replica = Replica {
            core,
            now,
            files,
            requests: VecDeque::new(),
            acknowledged: Vec::new(),
            unfinished: Vec::new(),
            disk_is_stopped: false,
            bodies_requested: 0,
            largest_save: 0,
            most_in_memory: 0,
        };
        replica.handle(effects);
        replica.receive(PeerMessage::Lagging {
            partition: partition(),
            epoch: EPOCH,
            expected: None,
            disk_id: DISK,
            must_fetch: false,
        });
        replica
    }

    fn new() -> Replica {
        Replica::on_files(BTreeMap::new(), START)
    }

    fn step(&mut self, event: Event) {
        let effects = self.core.step(event, self.now);
        self.handle(effects);
    }

    fn handle(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Save { number, name, bytes } => {
                    self.largest_save = self.largest_save.max(bytes.len());
                    if self.disk_is_stopped {
                        self.unfinished.push(number);
                        continue;
                    }
                    self.files.insert(name, bytes);
                    self.step(Event::Saved(number));
                }
                Effect::Remove(name) => _ = self.files.remove(&name),
                Effect::Send(_, PeerMessage::FetchCopy { request: Some(request), .. }) => self.requests.push_back(request),
                Effect::Send(_, PeerMessage::Appended { up_to, .. }) => self.acknowledged.push(up_to),
                _ => {}
            }
        }
        let part = self.core.partitions.get(&partition());
        let copy = part.and_then(|part| part.copy_fetch.as_ref()).map_or(0, |fetch| fetch.copy.received_bytes());
        let records = part.into_iter().flat_map(|part| part.records.values());
        let bodies: usize = records.filter_map(|record| record.body.as_ref()).map(Bytes::len).sum();
        self.most_in_memory = self.most_in_memory.max(copy + bodies);
    }

    fn receive(&mut self, message: PeerMessage) {
        self.step(Event::MessageReceived { from: daemon("store-1"), message });
    }

    /// Answers the next requests of the copy; returns how many were answered.
    fn answer(&mut self, most: usize, first: u64) -> usize {
        let mut answered = 0;
        while answered < most {
            let Some(request) = self.requests.pop_front() else { break };
            self.bodies_requested += request.wanted.len().min(BODIES_PER_PART);
            let part = Box::new(part_of(&request, first));
            self.receive(PeerMessage::CopyPart { partition: partition(), epoch: EPOCH, part });
            answered += 1;
        }
        answered
    }

    fn installed_epoch(&self) -> Epoch {
        self.core.partitions[&partition()].installed_epoch
    }

    fn record_count(&self) -> usize {
        self.core.partitions[&partition()].records.len()
    }
}

/// Issue 48, LOST: a store held a copy whole in memory, several times over when it was
/// installed. It went over its memory and began anew, again and again.
#[test]
fn memory_does_not_grow_with_the_bodies_of_a_partition() {
    let mut replica = Replica::new();
    replica.answer(usize::MAX, 1);
    assert_eq!((replica.installed_epoch(), replica.record_count() as u64), (EPOCH, MESSAGES));
    assert_eq!(replica.acknowledged, [LAST_OP]);
    let partition_bytes = MESSAGES as usize * BODY_BYTES;
    // The files that are not compacted yet, and a part that has just arrived.
    let bound = 5 << 20;
    assert!(replica.most_in_memory < bound, "{} of {partition_bytes} bytes in memory", replica.most_in_memory);
    assert!(replica.largest_save < bound, "{} of {partition_bytes} bytes in one save", replica.largest_save);
}

/// A disk that finishes no save slows the copy down, and nothing piles up in memory.
#[test]
fn a_slow_disk_slows_the_copy_down() {
    let mut replica = Replica::new();
    replica.disk_is_stopped = true;
    replica.answer(usize::MAX, 1);
    assert!(replica.requests.is_empty(), "it goes on without the disk");
    assert!(replica.most_in_memory < 3 << 20, "{} bytes in memory", replica.most_in_memory);
    replica.disk_is_stopped = false;
    for number in std::mem::take(&mut replica.unfinished) {
        replica.step(Event::Saved(number));
    }
    replica.answer(usize::MAX, 1);
    assert_eq!((replica.installed_epoch(), replica.record_count() as u64), (EPOCH, MESSAGES));
}

/// A store that restarts in the middle of a copy keeps what has arrived, claims nothing of
/// it, and fetches only the rest.
#[test]
fn a_copy_goes_on_after_a_restart() {
    let mut replica = Replica::new();
    replica.answer(21, 1);
    assert_eq!((replica.installed_epoch(), replica.acknowledged.len()), (Epoch::default(), 0));
    let mut restarted = Replica::on_files(replica.files, replica.now);
    assert_eq!((restarted.installed_epoch(), restarted.record_count()), (Epoch::default(), 20 * BODIES_PER_PART));
    restarted.answer(usize::MAX, 1);
    assert_eq!((restarted.installed_epoch(), restarted.record_count() as u64), (EPOCH, MESSAGES));
    assert_eq!(restarted.bodies_requested, MESSAGES as usize - 20 * BODIES_PER_PART);
}

/// What the source no longer has when the copy goes on is not in the installed copy.
#[test]
fn an_installed_copy_holds_exactly_the_records_of_its_source() {
    let mut replica = Replica::new();
    replica.answer(21, 1);
    let mut restarted = Replica::on_files(replica.files, replica.now);
    restarted.answer(usize::MAX, 101);
    let records = &restarted.core.partitions[&partition()].records;
    assert_eq!(records.keys().map(seq_of).collect::<Vec<_>>(), (101..=MESSAGES).collect::<Vec<_>>());
    let restarted = Replica::on_files(restarted.files, restarted.now);
    let records = &restarted.core.partitions[&partition()].records;
    assert_eq!(records.keys().map(seq_of).collect::<Vec<_>>(), (101..=MESSAGES).collect::<Vec<_>>());
    assert_eq!(restarted.core.held_bytes, (MESSAGES as i64 - 100) * BODY_BYTES as i64);
}

/// A part of a copy that arrives after the operations that follow it brings back nothing
/// that they removed.
#[test]
fn a_late_part_brings_back_no_removed_message() {
    let mut replica = Replica::new();
    replica.receive(PeerMessage::Lagging {
        partition: partition(),
        epoch: Epoch { count: 2, ..EPOCH },
        expected: Some((Epoch::default(), 0)),
        disk_id: DISK,
        must_fetch: false,
    });
    let epoch = Epoch { count: 2, ..EPOCH };
    let append = |replica: &mut Replica, first_op: u64, op: PartitionOp| {
        replica.receive(PeerMessage::Append { partition: partition(), epoch, first_op, ops: vec![op] });
    };
    append(&mut replica, 1, PartitionOp::Put(header(1), Stage::Pending, body(1)));
    replica.receive(PeerMessage::Lagging { partition: partition(), epoch, expected: None, disk_id: DISK, must_fetch: true });
    append(&mut replica, 2, PartitionOp::SetStage(header(1).id, Stage::Ended(Outcome::Failed)));
    append(&mut replica, 3, PartitionOp::Remove(header(1).id));
    let part = CopyPart {
        from: None,
        ops: Vec::new(),
        bodies: vec![(header(1).id, body(1))],
        records: vec![(header(1), Stage::Pending)],
        last_op: 1,
        next_seq: 2,
        complete: true,
    };
    replica.receive(PeerMessage::CopyPart { partition: partition(), epoch, part: Box::new(part) });
    assert_eq!((replica.record_count(), replica.acknowledged.last()), (0, Some(&3)));
}

/// A message whose success this replica holds and the source does not is not run again
/// before the copy is installed: its record stays as it is until then.
#[test]
fn an_unfinished_copy_changes_no_record_of_the_replica() {
    let mut replica = Replica::new();
    let first = Epoch { count: 2, ..EPOCH };
    let lagging = |epoch: Epoch, expected: Option<(Epoch, u64)>| PeerMessage::Lagging {
        partition: partition(),
        epoch,
        expected,
        disk_id: DISK,
        must_fetch: false,
    };
    replica.receive(lagging(first, Some((Epoch::default(), 0))));
    let routed = MessageHeader { route: "bulk".into(), ..header(1) };
    let success = PartitionOp::SetStage(routed.id.clone(), Stage::Ended(Outcome::Succeeded));
    let ops = vec![PartitionOp::Put(routed.clone(), Stage::Pending, body(1)), success];
    replica.receive(PeerMessage::Append { partition: partition(), epoch: first, first_op: 1, ops });
    let next = Epoch { count: 3, ..EPOCH };
    replica.requests.clear();
    replica.receive(lagging(next, None));
    let part = |records: Vec<(MessageHeader, Stage)>, bodies, from: Option<CopyPosition>| {
        let part = CopyPart { from, ops: Vec::new(), bodies, records, last_op: 5, next_seq: 3, complete: true };
        PeerMessage::CopyPart { partition: partition(), epoch: next, part: Box::new(part) }
    };
    replica.receive(part(vec![(routed.clone(), Stage::Pending), (header(2), Stage::Pending)], Vec::new(), None));
    let position = replica.requests.pop_back().expect("no request").position;
    replica.receive(part(Vec::new(), vec![(routed.id.clone(), body(1))], position.clone()));
    let stage = |replica: &Replica| replica.core.partitions[&partition()].records[&routed.id].stage;
    assert_eq!(stage(&replica), Stage::Ended(Outcome::Succeeded));
    replica.receive(part(Vec::new(), vec![(header(2).id, body(2))], position));
    assert_eq!((replica.installed_epoch(), stage(&replica)), (next, Stage::Pending));
}

/// An unfinished copy brought a message that no majority has. The next leader does not
/// have it either, may refuse it, and finds this replica's own state to be its own: the
/// replica adopts its epoch without it, also after a restart.
#[test]
fn an_adopted_epoch_has_no_record_of_an_unfinished_copy() {
    for restarts in [false, true] {
        let mut replica = Replica::new();
        replica.answer(2, 1);
        assert_eq!(replica.record_count(), BODIES_PER_PART);
        if restarts {
            replica = Replica::on_files(replica.files, replica.now);
        }
        let next = Epoch { count: 2, ..EPOCH };
        let expected = Some((Epoch::default(), 0));
        replica.receive(PeerMessage::Lagging { partition: partition(), epoch: next, expected, disk_id: DISK, must_fetch: false });
        assert_eq!((replica.installed_epoch(), replica.record_count(), replica.core.held_bytes), (next, 0, 0));
        let restarted = Replica::on_files(replica.files, replica.now);
        assert_eq!((restarted.record_count(), restarted.core.held_bytes), (0, 0));
    }
}

/// A replica does not pass records of an unfinished copy on to a store that copies from it.
#[test]
fn records_of_an_unfinished_copy_are_not_copied_further() {
    let mut replica = Replica::new();
    replica.answer(2, 1);
    let next = Epoch { count: 2, ..EPOCH };
    replica.receive(PeerMessage::Fence { partition: partition(), epoch: next });
    let request = Some(CopyRequest::default());
    let message = PeerMessage::FetchCopy { partition: partition(), epoch: next, request };
    let effects = replica.core.step(Event::MessageReceived { from: daemon("store-1"), message }, replica.now);
    let sent = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, PeerMessage::CopyPart { part, .. }) => Some(part.records.len()),
        _ => None,
    });
    assert_eq!(sent, Some(0));
}
