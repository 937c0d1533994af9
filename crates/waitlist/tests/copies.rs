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

/// A replica, and what it says to its keeper.
struct Replica {
    now: Time,
    core: Store,
    acknowledged: Vec<u64>,
    /// What it asked of its keeper.
    asked: Vec<Msg>,
}

impl Replica {
    /// Whole under the epoch, with one message.
    fn with_one_message() -> Replica {
        let me = Member { disk: Mark(2), ..member("store-2", "z2") };
        let (core, _) = Store::new(startup(me), &Vec::new(), Mark(2), NOW);
        let mut replica = Replica { now: NOW, core, acknowledged: Vec::new(), asked: Vec::new() };
        replica.step(Event::Saved(1));
        let was = Some((Epoch::default(), 0));
        replica.hear(Msg::Lag { place: place(), epoch: EPOCH, was, mark: Mark(2), short: false });
        replica.append(1, put("first", 1));
        replica
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Save { n, .. } => self.step(Event::Saved(n)),
                Effect::Say(_, Msg::Appended { upto, .. }) => self.acknowledged.push(upto),
                Effect::Say(_, msg @ (Msg::Fetch { .. } | Msg::Want { .. })) => self.asked.push(msg),
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

/// What a replica asks for, each time it asks.
fn questions(replica: &mut Replica, span: Span) -> Vec<Msg> {
    let end = replica.now + span;
    let mut asked = Vec::new();
    while replica.now < end {
        replica.now += Span::millis(20);
        replica.step(Event::Clock);
        asked.append(&mut replica.asked);
    }
    asked
}

/// Incident LOST: the list of all records was asked for each 400 ms, whatever
/// was on its way, and the answers were what the line was full of.
#[test]
fn a_copy_that_is_waited_for_is_asked_for_less_and_less() {
    let mut replica = Replica::with_one_message();
    replica.hear(Msg::Lag { place: place(), epoch: EPOCH, was: None, mark: Mark(2), short: true });
    let asked = questions(&mut replica, Span::secs(6));
    assert!((2..=4).contains(&asked.len()), "{} questions in 6 s", asked.len());
}

/// Given the list of all records once more, it asks only for what it lacks.
#[test]
fn bodies_that_it_has_are_not_asked_for_again() {
    let mut replica = Replica::with_one_message();
    let next = Epoch { count: 2, ..EPOCH };
    let lag = || Msg::Lag { place: place(), epoch: next, was: None, mark: Mark(2), short: false };
    let heads = ["a", "b"].iter().zip(2..).map(|(name, seq)| (head(name, seq), Stage::Work)).collect();
    let digest = Digest { n: 2, next: 4, heads };
    replica.hear(lag());
    replica.hear(Msg::Fetched { place: place(), epoch: next, digest: digest.clone() });
    let half = vec![(MessageId("a".into()), Bytes::from_static(b"a"))];
    replica.hear(Msg::Bodies { place: place(), epoch: next, all: half });
    replica.asked.clear();

    replica.hear(Msg::Fetched { place: place(), epoch: next, digest });
    let wanted: Vec<_> =
        replica.asked.iter().filter_map(|m| if let Msg::Want { ids, .. } = m { Some(ids.clone()) } else { None }).collect();
    assert_eq!(wanted, [vec![MessageId("b".into())]]);
}
