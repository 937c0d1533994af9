//! A store that fetches copies of many partitions at once holds no more bytes of unfinished
//! copies than its limit, and still completes all of them.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const START: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };
const PARTITIONS: u32 = 8;
const MESSAGES: u64 = 20;
const BODY_BYTES: usize = 1000;
/// Less than two partitions hold.
const LIMIT_BYTES: u64 = 30_000;

fn partition(part: u32) -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: part }
}

fn body(seq: u64) -> Bytes {
    Bytes::from(vec![seq as u8; BODY_BYTES])
}

fn header(seq: u64) -> MessageHeader {
    header_of(&format!("m{seq:04}"), seq, &body(seq))
}

/// The leader's answer: all records first, then one body at a time.
fn part_of(request: &CopyRequest) -> CopyPart {
    let (n, next, complete) = (MESSAGES, MESSAGES + 1, true);
    let empty =
        CopyPart { from: None, ops: Vec::new(), bodies: Vec::new(), records: Vec::new(), last_op: n, next_seq: next, complete };
    if request.position.is_none() {
        let records = (1..=MESSAGES).map(|seq| (header(seq), Stage::Pending)).collect();
        return CopyPart { records, ..empty };
    }
    let seq_of = |id: &MessageId| (1..=MESSAGES).find(|seq| header(*seq).id == *id);
    let bodies = request.wanted.iter().take(1).filter_map(|id| Some((id.clone(), body(seq_of(id)?)))).collect();
    CopyPart { from: request.position.clone(), bodies, ..empty }
}

struct Replica {
    core: Store,
    now: Time,
    requests: VecDeque<(PartitionId, CopyRequest)>,
    /// The most bytes that unfinished copies held together.
    most_held: usize,
}

impl Replica {
    /// A replica that was told that it lacks every partition.
    fn new() -> Replica {
        let me = Member { disk_id: IncarnationId(2), ..member("store-2", "z2") };
        let startup = Startup { max_cached_bytes: LIMIT_BYTES, ..startup(me) };
        let (core, _) = Store::new(startup, &Vec::new(), IncarnationId(2), START);
        let mut replica = Replica { core, now: START, requests: VecDeque::new(), most_held: 0 };
        replica.step(Event::Saved(1));
        for part in 0..PARTITIONS {
            let lagging = PeerMessage::Lagging {
                partition: partition(part),
                epoch: EPOCH,
                expected: None,
                disk_id: IncarnationId(2),
                must_fetch: false,
            };
            replica.receive(lagging);
        }
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Save { number: n, .. } => self.step(Event::Saved(n)),
                Effect::Send(_, PeerMessage::FetchCopy { partition, request: Some(request), .. }) => {
                    self.requests.push_back((partition, request))
                }
                _ => {}
            }
        }
        let copies = self.core.partitions.values().filter_map(|part| part.copy_fetch.as_ref());
        self.most_held = self.most_held.max(copies.map(|fetch| fetch.copy.received_bytes()).sum());
    }

    fn receive(&mut self, message: PeerMessage) {
        self.step(Event::MessageReceived { from: daemon("store-1"), message });
    }

    /// Lets time pass while the leader answers requests for all partitions but these.
    fn run(&mut self, span: Span, unanswered: &[u32]) {
        let end = self.now + span;
        while self.now < end {
            while let Some((partition, request)) = self.requests.pop_front() {
                if !unanswered.contains(&partition.number) {
                    self.receive(PeerMessage::CopyPart { partition, epoch: EPOCH, part: Box::new(part_of(&request)) });
                }
            }
            self.now += Span::millis(20);
            self.step(Event::Tick);
        }
    }

    fn complete_copies(&self) -> Vec<u32> {
        let is_complete = |part: &&u32| self.core.partitions[&partition(**part)].installed_epoch == EPOCH;
        (0..PARTITIONS).collect::<Vec<_>>().iter().filter(is_complete).copied().collect()
    }
}

#[test]
fn all_copies_complete_within_the_limit() {
    let mut replica = Replica::new();
    replica.run(Span::secs(5), &[]);
    assert_eq!(replica.complete_copies(), (0..PARTITIONS).collect::<Vec<_>>());
    let all = PARTITIONS as usize * MESSAGES as usize * BODY_BYTES;
    assert!(replica.most_held > BODY_BYTES, "no copy held anything");
    // Beyond the limit, one part for each copy that had sent a request.
    let slack = PARTITIONS as usize * MESSAGES as usize * 250;
    assert!(
        replica.most_held < LIMIT_BYTES as usize + slack,
        "{} bytes were held of {all}, at most {LIMIT_BYTES}",
        replica.most_held
    );
}

/// The source of one copy does not answer; a source that lacks the missing bodies has the
/// same effect.
#[test]
fn a_stuck_copy_blocks_no_other() {
    let mut replica = Replica::new();
    replica.run(Span::secs(30), &[0]);
    assert_eq!(replica.complete_copies(), (1..PARTITIONS).collect::<Vec<_>>());
    replica.run(Span::secs(30), &[]);
    assert_eq!(replica.complete_copies(), (0..PARTITIONS).collect::<Vec<_>>());
}
