//! Replicas, their disks and a network on simulated time. Messages arrive at
//! once unless cut; a replica reaches only those whose address it was told.
#![allow(dead_code)]
pub use dw_election::prelude::*;

/// Between two clock events.
const STEP: Span = Span::millis(50);

pub struct Node {
    pub replica: Replica<u32>,
    /// Addresses by name, as the replica's host was told them.
    addresses: BTreeMap<Daemon, String>,
    pub applied: Vec<u32>,
}

pub struct Group {
    pub now: Time,
    pub nodes: BTreeMap<Daemon, Node>,
    pub disks: BTreeMap<Daemon, HardState<u32>>,
    pub cut: BTreeSet<(Daemon, Daemon)>,
    pub seeds: Vec<Daemon>,
    pub policy: MembershipPolicy,
    random_seed: u64,
    next_mark: u64,
}

pub fn name(number: u64) -> Daemon {
    Daemon(format!("placement-{number}"))
}

/// Replicas stand in `zones` zones in turn; `placement-4` is where
/// `placement-1` is, if there are three.
pub fn zone_of(daemon: &Daemon, zones: u64) -> Zone {
    let number: u64 = daemon.as_str().rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
    Zone(format!("zone-{}", (number - 1) % zones + 1))
}

fn address(daemon: &Daemon) -> String {
    format!("{daemon}:7000")
}

impl Group {
    /// A group bootstrapped from three replicas, with a leader.
    pub fn new(random_seed: u64) -> Group {
        let mut group = Group::unfounded(random_seed);
        for number in 1..=3 {
            group.start_empty(&name(number), true);
        }
        group.run(5_000);
        group
    }
    pub fn unfounded(random_seed: u64) -> Group {
        Group {
            now: Time::millis(1),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            cut: BTreeSet::new(),
            seeds: (1..=3).map(name).collect(),
            policy: MembershipPolicy::default(),
            random_seed,
            next_mark: random_seed * 1000 + 1,
        }
    }
    /// Starts a replica on an empty disk.
    pub fn start_empty(&mut self, daemon: &Daemon, bootstrap: bool) -> Mark {
        let disk_id = Mark(self.next_mark);
        self.next_mark += 1;
        self.disks.insert(daemon.clone(), HardState::empty(disk_id));
        self.start(daemon, bootstrap);
        disk_id
    }
    /// Starts a replica on the disk it has.
    pub fn start(&mut self, daemon: &Daemon, bootstrap: bool) {
        let random_seed = self.random_seed ^ hash_of(daemon.as_str().as_bytes()) ^ self.now.0;
        let settings = ReplicaSettings {
            id: daemon.clone(),
            address: address(daemon),
            zone: zone_of(daemon, 3),
            seeds: self.seeds.clone(),
            bootstrap,
            timing: Timing::default(),
            policy: self.policy.clone(),
            random_seed,
        };
        let replica = Replica::new(settings, self.disks[daemon].clone(), self.now);
        let mut addresses: BTreeMap<Daemon, String> = self.seeds.iter().map(|seed| (seed.clone(), address(seed))).collect();
        addresses.extend(replica.configuration().all_voters().map(|(d, v)| (d.clone(), v.address.clone())));
        self.nodes.insert(daemon.clone(), Node { replica, addresses, applied: Vec::new() });
    }
    pub fn stop(&mut self, daemon: &Daemon) {
        self.nodes.remove(daemon);
    }
    /// The machine and its disk are gone for good.
    pub fn remove(&mut self, daemon: &Daemon) {
        self.stop(daemon);
        self.disks.remove(daemon);
    }
    pub fn isolate(&mut self, daemon: &Daemon) {
        for other in self.nodes.keys() {
            self.cut.insert((daemon.clone(), other.clone()));
            self.cut.insert((other.clone(), daemon.clone()));
        }
    }

    pub fn carry_out(&mut self, daemon: &Daemon, actions: Vec<Action<u32>>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.deliver(daemon, to, message),
                Action::Persist(number, state) => {
                    self.disks.insert(daemon.clone(), state);
                    if let Some(node) = self.nodes.get_mut(daemon) {
                        let more = node.replica.persisted(number, self.now);
                        self.carry_out(daemon, more);
                    }
                }
                Action::Apply(_, _, command) => {
                    if let Some(node) = self.nodes.get_mut(daemon) {
                        node.applied.push(command);
                    }
                }
                Action::ConfigurationChanged(configuration) => {
                    if let Some(node) = self.nodes.get_mut(daemon) {
                        node.addresses.extend(configuration.all_voters().map(|(d, v)| (d.clone(), v.address.clone())));
                    }
                }
                Action::SetPeerAddress(other, address) => {
                    if let Some(node) = self.nodes.get_mut(daemon) {
                        node.addresses.insert(other, address);
                    }
                }
                Action::InstallSnapshot(_) | Action::BecameLeader(_) | Action::LostLeadership => {}
            }
        }
    }
    fn deliver(&mut self, from: &Daemon, to: Daemon, message: Message<u32>) {
        let known = self.nodes.get(from).is_some_and(|node| node.addresses.get(&to) == Some(&address(&to)));
        if !known || self.cut.contains(&(from.clone(), to.clone())) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&to) else { return };
        // A frame names its sender's address.
        node.addresses.insert(from.clone(), address(from));
        let more = node.replica.receive(from.clone(), message, self.now);
        self.carry_out(&to, more);
    }
    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / STEP.as_millis() {
            self.now += STEP;
            let names: Vec<Daemon> = self.nodes.keys().cloned().collect();
            for daemon in names {
                let Some(node) = self.nodes.get_mut(&daemon) else { continue };
                let actions = node.replica.tick(self.now);
                self.carry_out(&daemon, actions);
            }
            self.leader();
        }
    }
    /// The one replica that may act, if any; two are an error.
    pub fn leader(&self) -> Option<Daemon> {
        let acting = self.nodes.iter().filter(|(_, node)| node.replica.is_active_leader(self.now));
        let acting: Vec<Daemon> = acting.map(|(daemon, _)| daemon.clone()).collect();
        assert!(acting.len() <= 1, "two leaders may act: {acting:?}");
        acting.into_iter().next()
    }
    /// A running replica that does not lead.
    pub fn follower(&self) -> Daemon {
        let leader = self.leader();
        self.nodes.keys().find(|daemon| Some(*daemon) != leader.as_ref()).cloned().expect("a follower")
    }
    pub fn propose(&mut self, command: u32) -> bool {
        let Some(leader) = self.leader() else { return false };
        let proposed = self.nodes.get_mut(&leader).expect("it runs").replica.propose(command, self.now);
        let Ok((_, _, actions)) = proposed else { return false };
        self.carry_out(&leader, actions);
        true
    }
    /// The voters, as the leader's configuration names them.
    pub fn voters(&self) -> Vec<Daemon> {
        let leader = self.leader().expect("a leader");
        let configuration = self.nodes[&leader].replica.configuration();
        assert!(!configuration.is_joint(), "a change is still under way");
        configuration.voters.keys().cloned().collect()
    }
    pub fn applied(&self, daemon: &Daemon) -> &[u32] {
        &self.nodes[daemon].applied
    }
}
