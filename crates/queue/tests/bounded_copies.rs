//! A store that is made whole for many partitions at once holds no more bytes
//! of unfinished copies than its bound, and still ends all of them.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const START: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };
const PARTITIONS: u32 = 8;
const MESSAGES: u64 = 20;
const BODY: usize = 1000;
/// Less than two partitions have.
const BOUND: u64 = 30_000;

fn place(part: u32) -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: part }
}

fn body(seq: u64) -> Bytes {
    Bytes::from(vec![seq as u8; BODY])
}

fn head(seq: u64) -> MessageHeader {
    let body = body(seq);
    MessageHeader {
        id: MessageId(format!("m{seq:04}")),
        seq,
        crc: crc32(&body),
        len: body.len() as u32,
        ..MessageHeader::default()
    }
}

/// The leader's answer: all records first, then the bytes of one message.
fn part_of(request: &CopyRequest) -> CopyPart {
    let (n, next, complete) = (MESSAGES, MESSAGES + 1, true);
    let empty =
        CopyPart { from: None, ops: Vec::new(), bodies: Vec::new(), records: Vec::new(), last_op: n, next_seq: next, complete };
    if request.position.is_none() {
        let records = (1..=MESSAGES).map(|seq| (head(seq), Stage::Pending)).collect();
        return CopyPart { records, ..empty };
    }
    let seq_of = |id: &MessageId| (1..=MESSAGES).find(|seq| head(*seq).id == *id);
    let bodies = request.wanted.iter().take(1).filter_map(|id| Some((id.clone(), body(seq_of(id)?)))).collect();
    CopyPart { from: request.position.clone(), bodies, ..empty }
}

struct Replica {
    core: Store,
    now: Time,
    questions: VecDeque<(PartitionId, CopyRequest)>,
    /// The most that unfinished copies held together.
    most: usize,
}

impl Replica {
    /// Told that it lacks every partition.
    fn new() -> Replica {
        let me = Member { disk_id: IncarnationId(2), ..member("store-2", "z2") };
        let startup = Startup { cache_max: BOUND, ..startup(me) };
        let (core, _) = Store::new(startup, &Vec::new(), IncarnationId(2), START);
        let mut replica = Replica { core, now: START, questions: VecDeque::new(), most: 0 };
        replica.step(Event::Saved(1));
        for part in 0..PARTITIONS {
            let lag = PeerMessage::Lagging {
                partition: place(part),
                epoch: EPOCH,
                expected: None,
                disk_id: IncarnationId(2),
                must_fetch: false,
            };
            replica.hear(lag);
        }
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Save { n, .. } => self.step(Event::Saved(n)),
                Effect::Send(_, PeerMessage::FetchCopy { partition: place, request: Some(request), .. }) => {
                    self.questions.push_back((place, request))
                }
                _ => {}
            }
        }
        let copies = self.core.parts.values().filter_map(|part| part.copy_fetch.as_ref());
        self.most = self.most.max(copies.map(|fetch| fetch.copy.received_bytes()).sum());
    }

    fn hear(&mut self, msg: PeerMessage) {
        self.step(Event::MessageReceived { from: daemon("store-1"), message: msg });
    }

    /// Lets time pass while the leader answers for all partitions but these.
    fn run(&mut self, span: Span, unanswered: &[u32]) {
        let end = self.now + span;
        while self.now < end {
            while let Some((place, request)) = self.questions.pop_front() {
                if !unanswered.contains(&place.number) {
                    self.hear(PeerMessage::CopyPart { partition: place, epoch: EPOCH, part: Box::new(part_of(&request)) });
                }
            }
            self.now += Span::millis(20);
            self.step(Event::Tick);
        }
    }

    fn whole(&self) -> Vec<u32> {
        let is_whole = |part: &&u32| self.core.parts[&place(**part)].installed_epoch == EPOCH;
        (0..PARTITIONS).collect::<Vec<_>>().iter().filter(is_whole).copied().collect()
    }
}

#[test]
fn all_copies_end_within_the_bound() {
    let mut replica = Replica::new();
    replica.run(Span::secs(5), &[]);
    assert_eq!(replica.whole(), (0..PARTITIONS).collect::<Vec<_>>());
    let all = PARTITIONS as usize * MESSAGES as usize * BODY;
    assert!(replica.most > BODY, "nothing was seen to be held");
    // Beyond the bound, what one part brings to each copy that had asked.
    let slack = PARTITIONS as usize * MESSAGES as usize * 250;
    assert!(replica.most < BOUND as usize + slack, "{} bytes were held of {all}, at most {BOUND}", replica.most);
}

/// Its source does not answer, or has not the bytes that are lacking.
#[test]
fn a_copy_that_is_stuck_holds_up_no_other() {
    let mut replica = Replica::new();
    replica.run(Span::secs(30), &[0]);
    assert_eq!(replica.whole(), (1..PARTITIONS).collect::<Vec<_>>());
    replica.run(Span::secs(30), &[]);
    assert_eq!(replica.whole(), (0..PARTITIONS).collect::<Vec<_>>());
}
