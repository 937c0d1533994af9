//! A replica that is made whole while operations still reach it.
mod settings;
use dw_waitlist::prelude::*;
use settings::*;

const NOW: Time = Time::millis(10_000);
const EPOCH: Epoch = Epoch { term: Term(1), count: 1 };

fn place() -> Place {
    Place { tenant: "~".into(), waitlist: "spool".into(), part: 0 }
}

fn head(name: &str, seq: u64) -> Head {
    let body = Bytes::from(name.to_string());
    Head { id: MessageId(name.into()), seq, crc: crc32(&body), len: body.len() as u32, ..Head::default() }
}

fn put(name: &str, seq: u64) -> Op {
    Op::Put(head(name, seq), Stage::Work, Bytes::from(name.to_string()))
}

/// A replica, and the numbers that it acknowledged to its keeper.
struct Replica {
    core: Store,
    acknowledged: Vec<u64>,
}

impl Replica {
    /// Whole under the epoch, with one message.
    fn with_one_message() -> Replica {
        let me = Member { disk: Mark(2), ..member("store-2", "z2") };
        let (core, _) = Store::new(startup(me), &Vec::new(), Mark(2), NOW);
        let mut replica = Replica { core, acknowledged: Vec::new() };
        replica.step(Event::Saved(1));
        let was = Some((Epoch::default(), 0));
        replica.hear(Msg::Lag { place: place(), epoch: EPOCH, was, mark: Mark(2), short: false });
        replica.append(1, put("first", 1));
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, NOW) {
            match effect {
                Effect::Save { n, .. } => self.step(Event::Saved(n)),
                Effect::Say(_, Msg::Appended { upto, .. }) => self.acknowledged.push(upto),
                _ => {}
            }
        }
    }

    fn hear(&mut self, msg: Msg) {
        self.step(Event::Hear { from: daemon("store-1"), msg });
    }

    fn append(&mut self, first: u64, op: Op) {
        self.hear(Msg::Append { place: place(), epoch: EPOCH, first, ops: vec![op] });
    }

    fn part(&self) -> &dw_waitlist::part::Part {
        &self.core.parts[&place()]
    }
}

/// Issue 29: the keeper had let go of operations that this replica lacked, and
/// had it copy the whole; the operations came after all, and were acknowledged.
/// The older copy then took their place: accepted messages were gone, and a
/// success was forgotten, while the keeper counted both as kept here.
#[test]
fn a_copy_older_than_what_was_acknowledged_takes_nothing_away() {
    let mut replica = Replica::with_one_message();
    replica.hear(Msg::Lag { place: place(), epoch: EPOCH, was: None, mark: Mark(2), short: true });
    let digest = Digest { n: 1, next: 2, heads: vec![(head("first", 1), Stage::Work)] };
    replica.append(2, put("second", 2));
    replica.append(3, Op::Stage(MessageId("first".into()), Stage::Ended(Outcome::Succeeded)));
    assert_eq!(replica.acknowledged.last(), Some(&3));
    replica.hear(Msg::Fetched { place: place(), epoch: EPOCH, digest });
    let part = replica.part();
    assert_eq!(part.n, 3, "what was acknowledged is counted no more");
    assert!(part.recs.contains_key(&MessageId("second".into())), "an accepted message is gone");
    let first = &part.recs[&MessageId("first".into())];
    assert_eq!(first.stage, Stage::Ended(Outcome::Succeeded), "a success is forgotten");
}
