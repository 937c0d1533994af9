//! Three stores of one write set, driven by steps: what a store does whose
//! disk takes no writes, and what the others do meanwhile.
mod settings;
use dw_waitlist::prelude::*;
use settings::*;
use std::collections::{BTreeMap, VecDeque};

const CHARTER: &str = include_str!("../../../samples/kharita/charter.json");
const STEP: Span = Span::millis(20);
const TERM: Term = Term(1);

fn store(n: u64) -> Daemon {
    daemon(&format!("store-{n}"))
}

fn place() -> Place {
    Place { tenant: "curators".into(), waitlist: "sheets".into(), part: 1 }
}

fn numbered(n: u64) -> Member {
    Member { disk: Mark(n), ..member(&format!("store-{n}"), &format!("z{n}")) }
}

fn settings_of(n: u64) -> Startup {
    Startup { seed: n, ..startup(numbered(n)) }
}

#[derive(Default)]
struct Disk {
    /// Saves that wait because the disk is stuck.
    waiting: Option<Vec<u64>>,
}

struct Fleet {
    now: Time,
    stores: BTreeMap<Daemon, Store>,
    disks: BTreeMap<Daemon, Disk>,
    queue: VecDeque<(Daemon, Event)>,
    epoch: u64,
    keeper: u64,
    /// Told to the proxy, by ask.
    told: BTreeMap<u64, Carried>,
    /// The latest report of each store.
    reports: BTreeMap<Daemon, Report>,
}

impl Fleet {
    /// Store 1 keeps the partition and serves.
    fn new() -> Fleet {
        let mut fleet = Fleet {
            now: Time(1_000_000),
            stores: BTreeMap::new(),
            disks: BTreeMap::new(),
            queue: VecDeque::new(),
            epoch: 1,
            keeper: 1,
            told: BTreeMap::new(),
            reports: BTreeMap::new(),
        };
        for n in 1..=3 {
            let (core, out) = Store::new(settings_of(n), &Vec::new(), Mark(n), fleet.now);
            fleet.stores.insert(store(n), core);
            fleet.disks.insert(store(n), Disk::default());
            fleet.obey(&store(n), out);
        }
        fleet.run(Span::secs(1));
        assert_eq!(fleet.phase(1), Some(Phase::Serving));
        fleet
    }

    fn own(&self, n: u64) -> Option<&Keep> {
        self.stores[&store(n)].parts.get(&place()).and_then(|part| part.own.as_ref())
    }

    fn phase(&self, n: u64) -> Option<Phase> {
        self.own(n).map(|own| own.phase)
    }

    fn stick(&mut self, n: u64) {
        self.disks.get_mut(&store(n)).unwrap().waiting = Some(Vec::new());
        self.queue.push_back((store(n), Event::DiskStuck(true)));
    }

    fn free(&mut self, n: u64) {
        let saves = self.disks.get_mut(&store(n)).unwrap().waiting.take().unwrap();
        for save in saves {
            self.queue.push_back((store(n), Event::Saved(save)));
        }
        self.queue.push_back((store(n), Event::DiskStuck(false)));
    }

    fn news(&self, asked: Time, to: &Daemon) -> Msg {
        let version = |count| Version { term: TERM, count };
        let epoch = Epoch { term: TERM, count: self.epoch };
        let placing = Placing { keeper: store(self.keeper), epoch };
        let items = vec![
            (version(1), Item::Charter(CHARTER.to_string())),
            (version(1), Item::Members((1..=3).map(numbered).collect())),
            (version(self.epoch), Item::Places(vec![(place(), placing)])),
        ];
        let set = (1..=3).map(|n| (store(n), Mark(n))).collect();
        let grant =
            Grant { duty: Duty::Keep(place()), epoch, set, swap: None, swap_number: Version::ZERO, shed: false, slice: None };
        let grants = if *to == store(self.keeper) { vec![grant] } else { Vec::new() };
        Msg::News { asked, term: TERM, fresh: Some(Span::secs(2)), items, grants, late: Vec::new() }
    }

    fn obey(&mut self, from: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Say(to, msg) if self.stores.contains_key(&to) => {
                    self.queue.push_back((to, Event::Hear { from: from.clone(), msg }));
                }
                Effect::Say(_, Msg::Carried { ask, word, .. }) => _ = self.told.insert(ask, word),
                Effect::Say(to, Msg::Need { asked, report: Some(report), .. }) => {
                    let given = report.gave.iter().any(|(_, epoch)| epoch.count == self.epoch);
                    self.reports.insert(from.clone(), report);
                    if given {
                        self.epoch += 1;
                        self.keeper = (1..=3).find(|n| self.fit(*n)).unwrap_or(self.keeper);
                    }
                    let msg = self.news(asked, from);
                    self.queue.push_back((from.clone(), Event::Hear { from: to, msg }));
                }
                Effect::Save { n, .. } => match &mut self.disks.get_mut(from).unwrap().waiting {
                    Some(waiting) => waiting.push(n),
                    None => self.queue.push_back((from.clone(), Event::Saved(n))),
                },
                _ => {}
            }
        }
    }

    /// Whether placement would grant to it.
    fn fit(&self, n: u64) -> bool {
        self.reports.get(&store(n)).is_some_and(|report| !report.leaving)
    }

    fn settle(&mut self) {
        while self.settle_one() {}
    }

    /// Hands over one event; one that is for a store that is gone is lost.
    fn settle_one(&mut self) -> bool {
        let Some((to, event)) = self.queue.pop_front() else { return false };
        let Some(store) = self.stores.get_mut(&to) else { return true };
        let out = store.step(event, self.now);
        self.obey(&to, out);
        true
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.settle();
            self.now += STEP;
            for n in 1..=3 {
                self.queue.push_back((store(n), Event::Clock));
            }
        }
        self.settle();
    }

    fn carry(&mut self, ask: u64, to: u64) {
        let body = Bytes::from(format!("body of {ask}"));
        let head = Head {
            id: MessageId(format!("m{ask}")),
            key: String::new(),
            seq: 0,
            crc: crc32(&body),
            len: body.len() as u32,
            desk: String::new(),
            ttl: None,
            route: String::new(),
            parcel: None,
            born: 0,
            delay: Span::ZERO,
            seal: String::new(),
        };
        let reading = Some(Reading { life: Mark(1), at: self.now });
        let msg = Msg::Carry {
            ask,
            proxy: daemon("proxy-1"),
            via: None,
            again: false,
            place: place(),
            version: Version { term: TERM, count: 1 },
            head,
            body,
            stamp: Some(Stamp { reading, age: Span::ZERO }),
            refuse: None,
        };
        self.queue.push_back((store(to), Event::Hear { from: daemon("proxy-1"), msg }));
        self.settle();
    }

    fn accepted(&self, ask: u64) -> bool {
        matches!(self.told.get(&ask), Some(Carried::Accepted { .. }))
    }
}

#[test]
fn new_messages_are_refused_at_once_while_the_disk_is_stuck() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    fleet.stick(1);
    fleet.carry(2, 1);
    assert!(matches!(fleet.told.get(&2), Some(Carried::NotTaken { code: 503, .. })), "{:?}", fleet.told);
    assert!(!fleet.stores[&store(1)].parts[&place()].recs.contains_key(&MessageId("m2".into())));
    fleet.free(1);
    fleet.carry(3, 1);
    assert!(fleet.accepted(3), "{:?}", fleet.told);
}

#[test]
fn a_keeper_with_a_stuck_disk_gives_its_partition_to_a_store_whose_disk_works() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    fleet.stick(1);
    fleet.run(Span::secs(2));
    assert_eq!(fleet.keeper, 2);
    assert_eq!(fleet.phase(1), None);
    assert_eq!(fleet.phase(2), Some(Phase::Serving));
    assert!(fleet.reports[&store(1)].leaving);
    fleet.carry(2, 2);
    fleet.run(Span::secs(1));
    assert!(fleet.accepted(2), "{:?}", fleet.told);
    assert!(fleet.stores[&store(2)].parts[&place()].recs.contains_key(&MessageId("m1".into())));
    fleet.free(1);
    fleet.run(Span::secs(1));
    assert!(!fleet.reports[&store(1)].leaving);
}

#[test]
fn a_short_pause_of_the_disk_moves_nothing() {
    let mut fleet = Fleet::new();
    fleet.stick(1);
    fleet.run(Span::millis(300));
    fleet.free(1);
    fleet.run(Span::secs(3));
    assert_eq!((fleet.keeper, fleet.phase(1)), (1, Some(Phase::Serving)));
}

#[test]
fn a_follower_with_a_stuck_disk_gives_way_to_another_in_time() {
    let mut fleet = Fleet::new();
    let mate = fleet.own(1).unwrap().mates.keys().next().cloned().unwrap();
    let number = (1..=3).find(|n| store(*n) == mate).unwrap();
    fleet.stick(number);
    fleet.carry(1, 1);
    assert!(!fleet.accepted(1));
    fleet.run(Terms::default().length.percent(50));
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    fleet.carry(2, 1);
    assert!(fleet.accepted(2), "{:?}", fleet.told);
    fleet.free(number);
    fleet.run(Span::secs(1));
    assert_eq!(fleet.keeper, 1);
}

#[test]
fn a_torn_file_empties_the_folder_only_after_the_new_mark_is_saved() {
    let torn = ("lines-0000000000000002-0000000000000002".to_string(), Bytes::new());
    let line = vec![Line::Mark(Mark(5))];
    let whole = ("lines-0000000000000001-0000000000000001".to_string(), Bytes::from(encode(&line)));
    let (store, out) = Store::new(settings_of(1), &vec![whole, torn], Mark(9), Time::millis(1));
    assert_eq!(store.mark, Mark(9));
    let saved = out.iter().position(|e| matches!(e, Effect::Save { .. })).unwrap();
    let removed: Vec<usize> = (0..out.len()).filter(|at| matches!(out[*at], Effect::Remove(_))).collect();
    assert_eq!(removed.len(), 2);
    assert!(removed.iter().all(|at| *at > saved), "{out:?}");
    let Effect::Save { name, .. } = &out[saved] else { unreachable!() };
    assert_eq!(name, "lines-0000000000000003-0000000000000003");
}

/// The replica that holds the most answered the seal and is then gone for
/// good: the other majority holds everything acknowledged, too.
#[test]
fn a_keeper_whose_source_of_the_copy_is_gone_takes_another() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    let mate = fleet.own(1).unwrap().mates.keys().next().cloned().unwrap();
    let third = (2..=3).find(|n| store(*n) != mate).unwrap();
    fleet.keeper = third;
    fleet.epoch += 1;
    while fleet.phase(third) != Some(Phase::Fetching) {
        if !fleet.settle_one() {
            fleet.now += STEP;
            fleet.queue.extend((1..=3).map(|n| (store(n), Event::Clock)));
        }
        assert!(fleet.now < Time(10_000_000), "it copied from nobody");
    }
    let source = fleet.stores[&store(third)].parts[&place()].fetch.as_ref().unwrap().from.clone();
    fleet.stores.remove(&source);
    fleet.run(Span::secs(4));
    assert_eq!(fleet.phase(third), Some(Phase::Serving));
    assert!(fleet.stores[&store(third)].parts[&place()].recs.contains_key(&MessageId("m1".into())));
}
