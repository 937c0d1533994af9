use crate::prelude::*;

type One = Election<u32>;

/// Three replicas, a message bag and disks; everything is delivered at once
/// unless cut.
struct Trio {
    now: Time,
    nodes: BTreeMap<Daemon, One>,
    disks: BTreeMap<Daemon, Stored<u32>>,
    cut: BTreeSet<(Daemon, Daemon)>,
    applied: BTreeMap<Daemon, Vec<u32>>,
}

fn names() -> Vec<Daemon> {
    (1..=3).map(|n| Daemon(format!("placement-{n}"))).collect()
}

impl Trio {
    fn new(found: bool, seed: u64) -> Trio {
        let mut t = Trio {
            now: Time::millis(1),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            cut: BTreeSet::new(),
            applied: BTreeMap::new(),
        };
        for (n, d) in names().into_iter().enumerate() {
            t.disks.insert(d.clone(), Stored::fresh(Mark(seed * 10 + n as u64 + 1)));
            t.start(&d, found, seed);
        }
        t
    }
    fn start(&mut self, d: &Daemon, found: bool, seed: u64) {
        let sib = names().into_iter().filter(|x| x != d).collect();
        let seed = seed ^ hash_of(d.as_str().as_bytes()) ^ self.now.0;
        self.nodes.insert(d.clone(), One::new(d.clone(), sib, self.disks[d].clone(), found, Pace::default(), seed, self.now));
        self.applied.insert(d.clone(), Vec::new());
    }
    fn act(&mut self, d: &Daemon, acts: Vec<Act<u32>>) {
        for a in acts {
            match a {
                Act::Say(to, talk) if !self.cut.contains(&(d.clone(), to.clone())) => {
                    let Some(node) = self.nodes.get_mut(&to) else { continue };
                    let more = node.hear(d.clone(), talk, self.now);
                    self.act(&to, more);
                }
                Act::Save(n, s) => {
                    self.disks.insert(d.clone(), s);
                    if let Some(node) = self.nodes.get_mut(d) {
                        let more = node.saved(n, self.now);
                        self.act(d, more);
                    }
                }
                Act::Apply(_, _, c) => self.applied.entry(d.clone()).or_default().push(c),
                _ => {}
            }
        }
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += Span::millis(50);
            for d in names() {
                let Some(node) = self.nodes.get_mut(&d) else { continue };
                let acts = node.tick(self.now);
                self.act(&d, acts);
            }
        }
    }
    fn primary(&self) -> Option<Daemon> {
        let all: Vec<_> = self.nodes.iter().filter(|(_, n)| n.may_act(self.now)).map(|(d, _)| d.clone()).collect();
        assert!(all.len() <= 1, "two primaries may act: {all:?}");
        all.into_iter().next()
    }
    fn propose(&mut self, c: u32) -> bool {
        let Some(p) = self.primary() else { return false };
        let Ok((_, _, acts)) = self.nodes.get_mut(&p).unwrap().propose(c, self.now) else { return false };
        self.act(&p, acts);
        true
    }
}

#[test]
fn an_unfounded_fleet_elects_nobody_and_a_founded_one_elects_one() {
    let mut none = Trio::new(false, 1);
    none.run(10_000);
    assert!(none.primary().is_none());
    for seed in 1..50 {
        let mut t = Trio::new(true, seed);
        t.run(5_000);
        assert!(t.primary().is_some(), "seed {seed}");
    }
}

#[test]
fn a_cut_primary_loses_its_lease_before_another_may_act_and_its_log_gives_way() {
    for seed in 1..50 {
        let mut t = Trio::new(true, seed);
        t.run(5_000);
        assert!(t.propose(1));
        let old = t.primary().unwrap();
        for d in names() {
            t.cut.insert((old.clone(), d.clone()));
        }
        t.propose(2);
        for _ in 0..100 {
            t.run(50);
            t.primary();
        }
        let new = t.primary().expect("a new primary");
        assert_ne!(new, old);
        assert!(t.propose(3));
        t.cut.clear();
        t.run(3_000);
        assert!(t.propose(4));
        t.run(1_000);
        for d in names() {
            assert_eq!(t.applied[&d], vec![1, 3, 4], "seed {seed} {d}");
        }
    }
}

#[test]
fn a_lost_disk_is_amnesia_until_readmitted_even_when_told_to_found_again() {
    for seed in 1..30 {
        let mut t = Trio::new(true, seed);
        t.run(5_000);
        assert!(t.propose(1));
        let lost = names().into_iter().find(|d| Some(d) != t.primary().as_ref()).unwrap();
        let other = names().into_iter().find(|d| *d != lost && Some(d) != t.primary().as_ref()).unwrap();
        t.disks.insert(lost.clone(), Stored::fresh(Mark(999)));
        t.nodes.remove(&other);
        t.start(&lost, true, seed);
        // One full member and one amnesiac are no majority.
        t.run(6_000);
        assert!(!t.propose(2), "seed {seed}: an amnesiac counted");
        t.start(&other, false, seed);
        t.run(6_000);
        assert!(t.propose(3), "seed {seed}");
        t.run(2_000);
        assert_eq!(t.nodes[&lost].members().get(&lost), Some(&Mark(999)));
        assert_eq!(t.nodes[&lost].role(), Role::Standby);
    }
}

#[test]
fn a_capture_replaces_the_log_and_a_late_replica_is_caught_up_from_it() {
    let mut t = Trio::new(true, 7);
    t.run(5_000);
    let late = names().into_iter().find(|d| Some(d) != t.primary().as_ref()).unwrap();
    t.nodes.remove(&late);
    for n in 0..100 {
        t.run(250);
        assert!(t.propose(n));
    }
    let p = t.primary().unwrap();
    let acts = t.nodes.get_mut(&p).unwrap().fold(|| vec![9]);
    assert!(!acts.is_empty());
    t.act(&p, acts);
    t.start(&late, false, 7);
    t.run(2_000);
    assert_eq!(t.nodes[&late].commit(), t.nodes[&p].commit());
    assert_eq!(t.nodes[&late].base().data.0, vec![9]);
}
