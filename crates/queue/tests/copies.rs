//! A replica that is made whole while operations still reach it.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const NOW: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };

fn place() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

fn head(name: &str, seq: u64) -> MessageHeader {
    let body = Bytes::from(name.to_string());
    MessageHeader { id: MessageId(name.into()), seq, crc: crc32(&body), len: body.len() as u32, ..MessageHeader::default() }
}

fn put(name: &str, seq: u64) -> PartitionOp {
    PartitionOp::Put(head(name, seq), Stage::Pending, Bytes::from(name.to_string()))
}

/// A replica, and what it says to its leader.
struct Replica {
    now: Time,
    core: Store,
    acknowledged: Vec<u64>,
    /// What it asked of its leader.
    asked: Vec<PeerMessage>,
}

impl Replica {
    /// Whole under the epoch, with one message.
    fn with_one_message() -> Replica {
        let me = Member { disk_id: IncarnationId(2), ..member("store-2", "z2") };
        let (core, _) = Store::new(startup(me), &Vec::new(), IncarnationId(2), NOW);
        let mut replica = Replica { now: NOW, core, acknowledged: Vec::new(), asked: Vec::new() };
        replica.step(Event::Saved(1));
        let was = Some((Epoch::default(), 0));
        replica.hear(PeerMessage::Lagging {
            partition: place(),
            epoch: EPOCH,
            expected: was,
            disk_id: IncarnationId(2),
            must_fetch: false,
        });
        replica.append(1, put("first", 1));
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Save { n, .. } => self.step(Event::Saved(n)),
                Effect::Send(_, PeerMessage::Appended { up_to: upto, .. }) => self.acknowledged.push(upto),
                Effect::Send(_, msg @ (PeerMessage::FetchCopy { .. } | PeerMessage::FetchBodies { .. })) => self.asked.push(msg),
                _ => {}
            }
        }
    }

    fn hear(&mut self, msg: PeerMessage) {
        self.step(Event::MessageReceived { from: daemon("store-1"), message: msg });
    }

    fn append(&mut self, first: u64, op: PartitionOp) {
        self.hear(PeerMessage::Append { partition: place(), epoch: EPOCH, first, ops: vec![op] });
    }

    fn part(&self) -> &dw_queue::partition_replica::PartitionReplica {
        &self.core.parts[&place()]
    }
}

/// Issue 29: the leader had let go of operations that this replica lacked, and
/// had it copy the whole; the operations came after all, and were acknowledged.
/// The older copy then took their place: accepted messages were gone, and a
/// success was forgotten, while the leader counted both as kept here.
#[test]
fn a_copy_older_than_what_was_acknowledged_takes_nothing_away() {
    let mut replica = Replica::with_one_message();
    replica.hear(PeerMessage::Lagging {
        partition: place(),
        epoch: EPOCH,
        expected: None,
        disk_id: IncarnationId(2),
        must_fetch: true,
    });
    let digest = PartitionSnapshot { last_op: 1, next_seq: 2, headers: vec![(head("first", 1), Stage::Pending)] };
    replica.append(2, put("second", 2));
    replica.append(3, PartitionOp::SetStage(MessageId("first".into()), Stage::Ended(Outcome::Succeeded)));
    assert_eq!(replica.acknowledged.last(), Some(&3));
    replica.hear(PeerMessage::WholeCopy { partition: place(), epoch: EPOCH, snapshot: digest });
    let part = replica.part();
    assert_eq!(part.last_op, 3, "what was acknowledged is counted no more");
    assert!(part.records.contains_key(&MessageId("second".into())), "an accepted message is gone");
    let first = &part.records[&MessageId("first".into())];
    assert_eq!(first.stage, Stage::Ended(Outcome::Succeeded), "a success is forgotten");
}

/// What a replica asks for, each time it asks.
fn questions(replica: &mut Replica, span: Span) -> Vec<PeerMessage> {
    let end = replica.now + span;
    let mut asked = Vec::new();
    while replica.now < end {
        replica.now += Span::millis(20);
        replica.step(Event::Tick);
        asked.append(&mut replica.asked);
    }
    asked
}

/// Incident LOST: the list of all records was asked for each 400 ms, whatever
/// was on its way, and the answers were what the line was full of.
#[test]
fn a_copy_that_is_waited_for_is_asked_for_less_and_less() {
    let mut replica = Replica::with_one_message();
    replica.hear(PeerMessage::Lagging {
        partition: place(),
        epoch: EPOCH,
        expected: None,
        disk_id: IncarnationId(2),
        must_fetch: true,
    });
    let asked = questions(&mut replica, Span::secs(6));
    assert!((2..=4).contains(&asked.len()), "{} questions in 6 s", asked.len());
}

/// Given the list of all records once more, it asks only for what it lacks.
#[test]
fn bodies_that_it_has_are_not_asked_for_again() {
    let mut replica = Replica::with_one_message();
    let next = Epoch { count: 2, ..EPOCH };
    let lag =
        || PeerMessage::Lagging { partition: place(), epoch: next, expected: None, disk_id: IncarnationId(2), must_fetch: false };
    let heads = ["a", "b"].iter().zip(2..).map(|(name, seq)| (head(name, seq), Stage::Pending)).collect();
    let digest = PartitionSnapshot { last_op: 2, next_seq: 4, headers: heads };
    replica.hear(lag());
    replica.hear(PeerMessage::WholeCopy { partition: place(), epoch: next, snapshot: digest.clone() });
    let half = vec![(MessageId("a".into()), Bytes::from_static(b"a"))];
    replica.hear(PeerMessage::Bodies { partition: place(), epoch: next, entries: half });
    replica.asked.clear();

    replica.hear(PeerMessage::WholeCopy { partition: place(), epoch: next, snapshot: digest });
    let wanted: Vec<_> = replica
        .asked
        .iter()
        .filter_map(|m| if let PeerMessage::FetchBodies { ids, .. } = m { Some(ids.clone()) } else { None })
        .collect();
    assert_eq!(wanted, [vec![MessageId("b".into())]]);
}
