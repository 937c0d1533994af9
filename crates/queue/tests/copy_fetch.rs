//! A replica that fetches a copy while it still receives operations.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const NOW: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };

fn partition() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

fn header(name: &str, seq: u64) -> MessageHeader {
    header_of(name, seq, name.as_bytes())
}

fn put(name: &str, seq: u64) -> PartitionOp {
    PartitionOp::Put(header(name, seq), Stage::Pending, Bytes::from(name.to_string()))
}

/// A replica, and what it sends to its leader.
struct Replica {
    now: Time,
    core: Store,
    acknowledged: Vec<u64>,
    /// Its requests to its leader.
    requests: Vec<PeerMessage>,
}

impl Replica {
    /// A replica that is complete under the epoch, with one message.
    fn with_one_message() -> Replica {
        let me = Member { disk_id: IncarnationId(2), ..member("store-2", "z2") };
        let (core, _) = Store::new(startup(me), &Vec::new(), IncarnationId(2), NOW);
        let mut replica = Replica { now: NOW, core, acknowledged: Vec::new(), requests: Vec::new() };
        replica.step(Event::Saved(1));
        let expected = Some((Epoch::default(), 0));
        replica.receive(PeerMessage::Lagging {
            partition: partition(),
            epoch: EPOCH,
            expected,
            disk_id: IncarnationId(2),
            must_fetch: false,
        });
        replica.append(1, put("first", 1));
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Save { number: n, .. } => self.step(Event::Saved(n)),
                Effect::Send(_, PeerMessage::Appended { up_to, .. }) => self.acknowledged.push(up_to),
                Effect::Send(_, message @ (PeerMessage::FetchCopy { .. } | PeerMessage::FetchBodies { .. })) => {
                    self.requests.push(message)
                }
                _ => {}
            }
        }
    }

    fn receive(&mut self, message: PeerMessage) {
        self.step(Event::MessageReceived { from: daemon("store-1"), message });
    }

    fn append(&mut self, first: u64, op: PartitionOp) {
        self.receive(PeerMessage::Append { partition: partition(), epoch: EPOCH, first_op: first, ops: vec![op] });
    }

    fn partition_replica(&self) -> &dw_queue::partition_replica::PartitionReplica {
        &self.core.partitions[&partition()]
    }
}

/// Issue 29: the leader no longer retained operations that this replica lacked, and told it
/// to fetch a copy; the operations arrived after all, and were acknowledged. The older copy
/// then replaced them: accepted messages were lost, and so was a success, while the leader
/// counted both as held here.
#[test]
fn a_copy_older_than_what_was_acknowledged_removes_nothing() {
    let mut replica = Replica::with_one_message();
    replica.receive(PeerMessage::Lagging {
        partition: partition(),
        epoch: EPOCH,
        expected: None,
        disk_id: IncarnationId(2),
        must_fetch: true,
    });
    let snapshot = PartitionSnapshot { last_op: 1, next_seq: 2, headers: vec![(header("first", 1), Stage::Pending)] };
    replica.append(2, put("second", 2));
    replica.append(3, PartitionOp::SetStage(MessageId("first".into()), Stage::Ended(Outcome::Succeeded)));
    assert_eq!(replica.acknowledged.last(), Some(&3));
    replica.receive(PeerMessage::WholeCopy { partition: partition(), epoch: EPOCH, snapshot });
    let partition_replica = replica.partition_replica();
    assert_eq!(partition_replica.last_op, 3, "acknowledged operations no longer count");
    assert!(partition_replica.records.contains_key(&MessageId("second".into())), "an accepted message is lost");
    let first = &partition_replica.records[&MessageId("first".into())];
    assert_eq!(first.stage, Stage::Ended(Outcome::Succeeded), "a success is lost");
}

/// The requests that a replica sends in some time.
fn requests_within(replica: &mut Replica, span: Span) -> Vec<PeerMessage> {
    let end = replica.now + span;
    let mut requests = Vec::new();
    while replica.now < end {
        replica.now += Span::millis(20);
        replica.step(Event::Tick);
        requests.append(&mut replica.requests);
    }
    requests
}

/// Incident LOST: the list of all records was requested every 400 ms, whatever was on its
/// way, and its answers filled the connection.
#[test]
fn an_unanswered_copy_is_requested_less_and_less_often() {
    let mut replica = Replica::with_one_message();
    replica.receive(PeerMessage::Lagging {
        partition: partition(),
        epoch: EPOCH,
        expected: None,
        disk_id: IncarnationId(2),
        must_fetch: true,
    });
    let requests = requests_within(&mut replica, Span::secs(6));
    assert!((2..=4).contains(&requests.len()), "{} requests in 6 s", requests.len());
}

/// When it receives the list of all records again, it requests only what it lacks.
#[test]
fn bodies_that_it_has_are_not_requested_again() {
    let mut replica = Replica::with_one_message();
    let next = Epoch { count: 2, ..EPOCH };
    let lagging = || PeerMessage::Lagging {
        partition: partition(),
        epoch: next,
        expected: None,
        disk_id: IncarnationId(2),
        must_fetch: false,
    };
    let headers = ["a", "b"].iter().zip(2..).map(|(name, seq)| (header(name, seq), Stage::Pending)).collect();
    let snapshot = PartitionSnapshot { last_op: 2, next_seq: 4, headers };
    replica.receive(lagging());
    replica.receive(PeerMessage::WholeCopy { partition: partition(), epoch: next, snapshot: snapshot.clone() });
    let half = vec![(MessageId("a".into()), Bytes::from_static(b"a"))];
    replica.receive(PeerMessage::Bodies { partition: partition(), epoch: next, entries: half });
    replica.requests.clear();

    replica.receive(PeerMessage::WholeCopy { partition: partition(), epoch: next, snapshot });
    let requested: Vec<_> = replica
        .requests
        .iter()
        .filter_map(|m| if let PeerMessage::FetchBodies { ids, .. } = m { Some(ids.clone()) } else { None })
        .collect();
    assert_eq!(requested, [vec![MessageId("b".into())]]);
}
