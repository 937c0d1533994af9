//! Replicas with their disks and a network, on simulated time. Messages arrive
//! at once unless their link is blocked; a replica reaches only those whose
//! address it knows.
#![allow(dead_code)]
pub use dw_election::prelude::*;

/// Time between two calls of `tick`.
const TICK: Span = Span::millis(50);

pub struct Node {
    pub replica: Replica<u32>,
    /// The addresses that the replica's host knows, by name.
    addresses: BTreeMap<Daemon, String>,
    pub applied: Vec<u32>,
}

pub struct Group {
    pub now: Time,
    pub nodes: BTreeMap<Daemon, Node>,
    pub disks: BTreeMap<Daemon, HardState<u32>>,
    /// Links on which messages are lost, as sender and receiver.
    pub blocked_links: BTreeSet<(Daemon, Daemon)>,
    pub seeds: Vec<Daemon>,
    pub policy: MembershipPolicy,
    random_seed: u64,
    next_disk_id: u64,
}

pub fn name(number: u64) -> Daemon {
    Daemon(format!("placement-{number}"))
}

/// The zone of a replica. Replicas are spread over `zones` zones in turn; with
/// three zones `placement-4` is in the zone of `placement-1`.
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
        let mut group = Group::empty(random_seed);
        for number in 1..=3 {
            group.start_empty(&name(number), true);
        }
        group.run(5_000);
        group
    }
    /// A group without replicas.
    pub fn empty(random_seed: u64) -> Group {
        Group {
            now: Time::millis(1),
            nodes: BTreeMap::new(),
            disks: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            seeds: (1..=3).map(name).collect(),
            policy: MembershipPolicy::default(),
            random_seed,
            next_disk_id: random_seed * 1000 + 1,
        }
    }
    /// Starts a replica with an empty disk and returns the disk's id.
    pub fn start_empty(&mut self, daemon: &Daemon, bootstrap: bool) -> IncarnationId {
        let disk_id = IncarnationId(self.next_disk_id);
        self.next_disk_id += 1;
        self.disks.insert(daemon.clone(), HardState::empty(disk_id));
        self.start(daemon, bootstrap);
        disk_id
    }
    /// Starts a replica with its present disk.
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
    /// Removes the replica and its disk for good.
    pub fn remove(&mut self, daemon: &Daemon) {
        self.stop(daemon);
        self.disks.remove(daemon);
    }
    pub fn isolate(&mut self, daemon: &Daemon) {
        for other in self.nodes.keys() {
            self.blocked_links.insert((daemon.clone(), other.clone()));
            self.blocked_links.insert((other.clone(), daemon.clone()));
        }
    }

    pub fn execute(&mut self, daemon: &Daemon, actions: Vec<Action<u32>>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.deliver(daemon, to, message),
                Action::Persist(number, state) => {
                    self.disks.insert(daemon.clone(), state);
                    if let Some(node) = self.nodes.get_mut(daemon) {
                        let actions = node.replica.persisted(number, self.now);
                        self.execute(daemon, actions);
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
        let knows_address = self.nodes.get(from).is_some_and(|node| node.addresses.get(&to) == Some(&address(&to)));
        if !knows_address || self.blocked_links.contains(&(from.clone(), to.clone())) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&to) else { return };
        // Each message carries its sender's address.
        node.addresses.insert(from.clone(), address(from));
        let actions = node.replica.receive(from.clone(), message, self.now);
        self.execute(&to, actions);
    }
    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / TICK.as_millis() {
            self.now += TICK;
            let names: Vec<Daemon> = self.nodes.keys().cloned().collect();
            for daemon in names {
                let Some(node) = self.nodes.get_mut(&daemon) else { continue };
                let actions = node.replica.tick(self.now);
                self.execute(&daemon, actions);
            }
            self.leader();
        }
    }
    /// The active leader, if any. Panics if there are two.
    pub fn leader(&self) -> Option<Daemon> {
        let active_leaders = self.nodes.iter().filter(|(_, node)| node.replica.is_active_leader(self.now));
        let active_leaders: Vec<Daemon> = active_leaders.map(|(daemon, _)| daemon.clone()).collect();
        assert!(active_leaders.len() <= 1, "two leaders are active: {active_leaders:?}");
        active_leaders.into_iter().next()
    }
    /// A running replica that is not the leader.
    pub fn follower(&self) -> Daemon {
        let leader = self.leader();
        self.nodes.keys().find(|daemon| Some(*daemon) != leader.as_ref()).cloned().expect("a follower")
    }
    /// Proposes a command at the leader. Returns whether it was accepted.
    pub fn propose(&mut self, command: u32) -> bool {
        let Some(leader) = self.leader() else { return false };
        let proposed = self.nodes.get_mut(&leader).expect("the leader is running").replica.propose(command, self.now);
        let Ok((_, _, actions)) = proposed else { return false };
        self.execute(&leader, actions);
        true
    }
    /// The voters of the leader's configuration.
    pub fn voters(&self) -> Vec<Daemon> {
        let leader = self.leader().expect("a leader");
        let configuration = self.nodes[&leader].replica.configuration();
        assert!(!configuration.is_joint(), "a membership change is still in progress");
        configuration.voters.keys().cloned().collect()
    }
    pub fn applied(&self, daemon: &Daemon) -> &[u32] {
        &self.nodes[daemon].applied
    }
}
