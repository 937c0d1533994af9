//! A small group of replicas with their disks, the messages between them and one clock.
mod budget;
mod faults;
mod host;
mod start_states;

pub use budget::{Budget, Reductions};

use super::injected_fault::{faulty_change, state_with_cleared_log};
use super::{InjectedFault, InvariantChecker, Step, StepKind, Violation};
use dw_election::prelude::{
    Action, AppendOutcome, AppendRequest, Command, Configuration, Daemon, Entry, HardState, IncarnationId, MembershipPolicy,
    Message, Replica, ReplicaSettings, Role, Snapshot, Span, Term, Time, Timing, VecDeque, Voter, Zone,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Machines are numbered from 1.
pub type Machine = usize;

/// By how much the clock advances in the two clock steps.
const HEARTBEAT_STEP: Span = Span::millis(200);
const TIMEOUT_STEP: Span = Span::millis(1_800);
/// How far the clock is set ahead for a replica that has to ignore recent contact with its leader.
const SKIP_PAST_LEADER_CONTACT: Span = Span::secs(10);
/// The time at which histories start: later than any interval of the election.
const START_TIME: Time = Time::millis(60_000);
/// Time between two ticks of `run_with_immediate_delivery`.
const TICK: Span = Span::millis(50);
/// Limit of pending messages; beyond it the oldest is lost.
const MAX_PENDING_MESSAGES: usize = 24;
const ZONE_COUNT: usize = 3;

/// One machine: its disk, its replica while it is running, and its pending writes.
#[derive(Clone)]
pub struct Node {
    pub replica: Option<Replica<u32>>,
    pub disk: HardState<u32>,
    /// The latest state that the replica asked to write; it may not be durable yet.
    pub latest_state: HardState<u32>,
    pending_writes: VecDeque<(u64, HardState<u32>)>,
    pub applied: Vec<(u64, u32)>,
    /// Whether messages to this machine arrive.
    pub inbound_open: bool,
    /// Whether messages from this machine arrive.
    pub outbound_open: bool,
    /// Whether it was told to leave and has not been restarted since.
    pub leaving: bool,
    zone: usize,
    /// A hash of all inputs of this machine so far. The replica is
    /// deterministic, so equal inputs lead to equal states.
    input_hash: u64,
}

/// A message that has been sent and not delivered.
#[derive(Clone)]
pub struct Envelope {
    pub from: Machine,
    pub to: Machine,
    pub message: Message<u32>,
    fingerprint: u64,
}

/// The state of the whole group. Clones share the unchanged parts.
#[derive(Clone)]
pub struct World {
    pub now: Time,
    pub nodes: BTreeMap<Machine, Arc<Node>>,
    pub pending: Vec<Arc<Envelope>>,
    pub checker: Arc<InvariantChecker>,
    pub budget: Budget,
    pub fault: Option<InjectedFault>,
    reductions: Reductions,
    target_voters: usize,
    next_machine: Machine,
    next_disk_id: u64,
    next_command: u32,
    /// The zones of removed machines that have not been replaced yet.
    vacant_zones: Vec<usize>,
    /// Removed machines, with their disks.
    removed: BTreeMap<Machine, Arc<Node>>,
    random_seed: u64,
}

pub fn name(machine: Machine) -> Daemon {
    Daemon(format!("placement-{machine}"))
}

fn machine_of(daemon: &Daemon) -> Option<Machine> {
    daemon.as_str().rsplit('-').next()?.parse().ok()
}

fn voter(machine: Machine, disk_id: IncarnationId, zone: usize) -> Voter {
    Voter { disk_id, address: format!("{}:7000", name(machine)), zone: Zone(format!("zone-{zone}")) }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A hash of the encoding of a value.
fn hash_of_encoding(value: &impl serde::Serialize) -> u64 {
    let mut encoding = Vec::new();
    ciborium::into_writer(value, &mut encoding).expect("the value can be encoded");
    hash_of(encoding)
}

impl World {
    /// Three running voters that were bootstrapped together, and `spares`
    /// replicas with empty disks.
    pub fn bootstrapped(spares: usize, target_voters: usize, random_seed: u64) -> World {
        let voters = (1..=3).map(|machine| (name(machine), voter(machine, IncarnationId(machine as u64), machine % ZONE_COUNT)));
        let configuration = Configuration::simple(voters.collect());
        let mut world = World {
            now: START_TIME,
            nodes: BTreeMap::new(),
            pending: Vec::new(),
            checker: Arc::new(InvariantChecker::starting_with(configuration.clone())),
            budget: Budget::UNBOUNDED,
            fault: None,
            reductions: Reductions::default(),
            target_voters,
            next_machine: 1,
            next_disk_id: 1,
            next_command: 1,
            vacant_zones: Vec::new(),
            removed: BTreeMap::new(),
            random_seed,
        };
        for machine in 1..=3 + spares {
            world.add_machine(machine % ZONE_COUNT);
        }
        for machine in 1..=3 {
            let mut state = world.nodes[&machine].disk.clone();
            state.initialized = true;
            state.snapshot.configuration = configuration.clone();
            world.start_from(machine, state);
        }
        world
    }

    /// Like `bootstrapped`, with a leader and one committed command.
    pub fn with_leader(spares: usize, target_voters: usize, random_seed: u64) -> World {
        let mut world = World::bootstrapped(spares, target_voters, random_seed);
        world.run_with_immediate_delivery(Span::secs(6)).expect("the run violates no invariant");
        let leader = world.leader().expect("the run elects a leader");
        world.take_step(Step::Propose(leader)).expect("the run violates no invariant");
        world.run_with_immediate_delivery(Span::secs(2)).expect("the run violates no invariant");
        world.pending.clear();
        world
    }

    pub fn with_budget(mut self, budget: Budget) -> World {
        self.budget = budget;
        self
    }

    pub fn with_fault(mut self, fault: Option<InjectedFault>) -> World {
        self.fault = fault;
        self
    }

    pub fn with_reductions(mut self, reductions: Reductions) -> World {
        self.reductions = reductions;
        self
    }

    /// Changes the states on the disks of the three voters and restarts them, for
    /// a situation that a history of crashes would lead to.
    pub fn with_disks(mut self, change: impl Fn(Machine, &mut HardState<u32>)) -> World {
        for machine in 1..=3 {
            let mut state = self.nodes[&machine].disk.clone();
            change(machine, &mut state);
            self.start_from(machine, state);
        }
        self
    }

    fn add_machine(&mut self, zone: usize) -> Machine {
        let machine = self.next_machine;
        self.next_machine += 1;
        let disk = self.empty_disk();
        let node = Node {
            replica: None,
            latest_state: disk.clone(),
            disk,
            pending_writes: VecDeque::new(),
            applied: Vec::new(),
            inbound_open: true,
            outbound_open: true,
            leaving: false,
            zone,
            input_hash: 0,
        };
        self.nodes.insert(machine, Arc::new(node));
        self.start(machine);
        machine
    }

    fn empty_disk(&mut self) -> HardState<u32> {
        let disk_id = IncarnationId(self.next_disk_id);
        self.next_disk_id += 1;
        HardState::empty(disk_id)
    }

    fn node_mut(&mut self, machine: Machine) -> &mut Node {
        Arc::make_mut(self.nodes.get_mut(&machine).expect("the machine exists"))
    }

    fn start_from(&mut self, machine: Machine, state: HardState<u32>) {
        Arc::make_mut(&mut self.checker).on_durable(&state).expect("a start state violates no invariant");
        self.node_mut(machine).disk = state;
        self.start(machine);
    }

    fn start(&mut self, machine: Machine) {
        let (now, settings) = (self.now, self.settings(machine));
        let forgets_vote = self.fault == Some(InjectedFault::ForgetsVote);
        let node = self.node_mut(machine);
        let mut state = node.disk.clone();
        if forgets_vote {
            state.vote = None;
        }
        node.latest_state = state.clone();
        node.pending_writes.clear();
        node.applied = ciborium::from_reader(state.snapshot.data.as_ref()).unwrap_or_default();
        node.input_hash = hash_of((node.input_hash, "start", now, hash_of_encoding(&state)));
        node.replica = Some(Replica::new(settings, state, now));
    }

    fn settings(&self, machine: Machine) -> ReplicaSettings {
        let node = &self.nodes[&machine];
        let voter = voter(machine, node.disk.disk_id, node.zone);
        ReplicaSettings {
            id: name(machine),
            address: voter.address,
            zone: voter.zone,
            seeds: self.nodes.keys().copied().map(name).collect(),
            bootstrap: false,
            timing: Timing { entries_before_snapshot: 2, ..Timing::default() },
            policy: MembershipPolicy { target_voters: self.target_voters, ..MembershipPolicy::default() },
            random_seed: hash_of((self.random_seed, machine, self.now)),
        }
    }

    /// The active leader, if there is one.
    pub fn leader(&self) -> Option<Machine> {
        self.active_leaders().into_iter().next()
    }

    fn active_leaders(&self) -> Vec<Machine> {
        let is_active_leader = |node: &Node| node.replica.as_ref().is_some_and(|replica| replica.is_active_leader(self.now));
        self.nodes.iter().filter(|(_, node)| is_active_leader(node)).map(|(machine, _)| *machine).collect()
    }

    /// Whether the group has recovered from all earlier faults, so that it has to
    /// tolerate the loss of another disk: the configuration is not joint, and
    /// each of its voters is running and durably holds all committed entries.
    pub fn tolerates_disk_loss(&self) -> bool {
        let configuration = &self.checker.configuration;
        let has_recovered = |(daemon, voter): (&Daemon, &Voter)| {
            let node = machine_of(daemon).and_then(|machine| self.nodes.get(&machine));
            node.is_some_and(|node| {
                let in_force = node.disk.configuration_at(node.disk.last_index()).1;
                let is_intact = node.replica.is_some() && node.pending_writes.is_empty() && node.disk.disk_id == voter.disk_id;
                is_intact && in_force == configuration && self.checker.first_missing_committed(&node.disk).is_none()
            })
        };
        !configuration.is_joint() && configuration.voters.iter().all(has_recovered)
    }

    /// All steps that are possible now.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (position, envelope) in self.pending.iter().enumerate() {
            if self.can_be_delivered(envelope) {
                steps.push(Step::Deliver(position));
            }
            steps.extend([Step::Drop(position), Step::Duplicate(position)]);
        }
        let tolerates_loss = self.tolerates_disk_loss();
        for (machine, node) in &self.nodes {
            self.collect_machine_steps(*machine, node, tolerates_loss, &mut steps);
        }
        if !self.vacant_zones.is_empty() {
            steps.push(Step::AddReplacement);
        }
        steps.extend(self.removed.keys().map(|machine| Step::ReturnRemoved(*machine)));
        steps.retain(|step| self.budget.allows(step.kind()));
        steps
    }

    fn collect_machine_steps(&self, machine: Machine, node: &Node, tolerates_loss: bool, steps: &mut Vec<Step>) {
        let Some(replica) = &node.replica else {
            steps.push(Step::Restart(machine));
            return;
        };
        if !node.pending_writes.is_empty() {
            steps.extend([Step::Persist(machine), Step::CrashAfterWrite(machine)]);
        }
        steps.extend([Step::Heartbeat(machine), Step::Timeout(machine), Step::Crash(machine), Step::Leave(machine)]);
        match node.inbound_open && node.outbound_open {
            true => steps.extend([Step::Isolate(machine), Step::BlockOutbound(machine), Step::BlockInbound(machine)]),
            false => steps.push(Step::Reconnect(machine)),
        }
        if tolerates_loss {
            steps.extend([Step::Wipe(machine), Step::Remove(machine)]);
        }
        if replica.is_active_leader(self.now) {
            steps.push(Step::Propose(machine));
        }
        if node.applied.len() >= 2 {
            steps.push(Step::Compact(machine));
        }
    }

    fn can_be_delivered(&self, envelope: &Envelope) -> bool {
        if self.is_forged_acknowledgement(envelope) {
            return true;
        }
        let receives = self.nodes.get(&envelope.to).is_some_and(|node| node.replica.is_some() && node.inbound_open);
        receives && self.nodes.get(&envelope.from).is_none_or(|node| node.outbound_open)
    }

    /// Takes one step and checks the invariants.
    pub fn take_step(&mut self, step: Step) -> Result<(), Violation> {
        self.budget.spend(step.kind());
        match step {
            Step::Deliver(position) => {
                let envelope = self.pending.remove(position);
                self.deliver(&envelope)?;
            }
            Step::Drop(position) => drop(self.pending.remove(position)),
            Step::Duplicate(position) => self.pending.push(self.pending[position].clone()),
            Step::Persist(machine) => self.persist(machine)?,
            Step::Heartbeat(machine) => self.tick(machine, HEARTBEAT_STEP)?,
            Step::Timeout(machine) => self.tick(machine, TIMEOUT_STEP)?,
            Step::Crash(machine) => self.crash(machine),
            Step::CrashAfterWrite(machine) => {
                self.complete_writes(machine)?;
                self.crash(machine);
            }
            Step::Restart(machine) => self.start(machine),
            Step::Wipe(machine) => self.wipe(machine),
            Step::Remove(machine) => self.remove(machine),
            Step::AddReplacement => {
                let zone = self.vacant_zones.pop().expect("a machine was removed");
                self.add_machine(zone);
            }
            Step::ReturnRemoved(machine) => self.return_machine(machine)?,
            Step::Isolate(machine) => self.set_connectivity(machine, false, false),
            Step::BlockOutbound(machine) => self.set_connectivity(machine, true, false),
            Step::BlockInbound(machine) => self.set_connectivity(machine, false, true),
            Step::Reconnect(machine) => self.set_connectivity(machine, true, true),
            Step::Propose(machine) => self.propose(machine)?,
            Step::Compact(machine) => {
                let applied = self.nodes[&machine].applied.clone();
                self.run_replica(machine, hash_of(("compact", self.now)), |replica, _| replica.compact(|| encode(&applied)))?;
            }
            Step::Leave(machine) => {
                self.node_mut(machine).leaving = true;
                self.run_replica(machine, hash_of(("leave", self.now)), |replica, now| replica.leave(now))?;
            }
        }
        match self.active_leaders() {
            machines if machines.len() > 1 => Err(Violation::TwoActiveLeaders { machines }),
            _ => Ok(()),
        }
    }

    fn tick(&mut self, machine: Machine, passed: Span) -> Result<(), Violation> {
        self.now += passed;
        self.run_replica(machine, hash_of(("tick", self.now)), |replica, now| replica.tick(now))
    }

    fn propose(&mut self, machine: Machine) -> Result<(), Violation> {
        let command = self.next_command;
        self.next_command += 1;
        self.run_replica(machine, hash_of(("propose", command, self.now)), |replica, now| {
            replica.propose(command, now).map(|(_, _, actions)| actions).unwrap_or_default()
        })
    }

    fn crash(&mut self, machine: Machine) {
        let node = self.node_mut(machine);
        node.replica = None;
        node.leaving = false;
        node.pending_writes.clear();
        node.latest_state = node.disk.clone();
    }

    fn wipe(&mut self, machine: Machine) {
        self.crash(machine);
        let lost = self.nodes[&machine].disk.disk_id;
        Arc::make_mut(&mut self.checker).lost_disk_ids.insert(lost);
        let mut disk = self.empty_disk();
        if self.fault == Some(InjectedFault::KeepsDiskIdWhenWiped) {
            disk.disk_id = lost;
        }
        self.node_mut(machine).disk = disk;
        self.start(machine);
    }

    fn remove(&mut self, machine: Machine) {
        self.crash(machine);
        if let Some(node) = self.nodes.remove(&machine) {
            self.vacant_zones.push(node.zone);
            Arc::make_mut(&mut self.checker).lost_disk_ids.insert(node.disk.disk_id);
            self.removed.insert(machine, node);
        }
    }

    fn return_machine(&mut self, machine: Machine) -> Result<(), Violation> {
        let node = self.removed.remove(&machine).expect("a machine that was removed");
        Arc::make_mut(&mut self.checker).on_disk_returned(node.disk.disk_id);
        self.nodes.insert(machine, node);
        if self.fault == Some(InjectedFault::ReturnsWithOutdatedDisk) {
            return self.return_with_outdated_disk(machine);
        }
        self.start(machine);
        Ok(())
    }

    pub(super) fn set_connectivity(&mut self, machine: Machine, inbound_open: bool, outbound_open: bool) {
        let node = self.node_mut(machine);
        (node.inbound_open, node.outbound_open) = (inbound_open, outbound_open);
    }

    fn deliver(&mut self, envelope: &Envelope) -> Result<(), Violation> {
        let machine = envelope.to;
        let message = self.altered_message(envelope);
        let clock_offset = match (&message, self.fault) {
            (Message::VoteRequest { .. }, Some(InjectedFault::VotesDespiteRecentLeader)) => SKIP_PAST_LEADER_CONTACT,
            _ => Span::ZERO,
        };
        let input = hash_of((envelope.fingerprint, self.now));
        let previous_snapshot_index = self.nodes[&machine].latest_state.snapshot.index;
        let request = match &message {
            Message::Append(request) if request.snapshot.is_some() => Some(request.clone()),
            _ => None,
        };
        self.run_replica(machine, input, |replica, now| replica.receive(name(envelope.from), message, now + clock_offset))?;
        match request {
            Some(request) if self.nodes[&machine].latest_state.snapshot.index > previous_snapshot_index => {
                self.clear_log(machine, &request)
            }
            _ => Ok(()),
        }
    }

    /// Makes the pending writes durable without telling the replica. Returns the
    /// number of the last, or 0 if there are none.
    fn complete_writes(&mut self, machine: Machine) -> Result<u64, Violation> {
        let node = self.node_mut(machine);
        let Some((number, state)) = node.pending_writes.pop_back() else { return Ok(0) };
        let states: Vec<HardState<u32>> = node.pending_writes.drain(..).map(|write| write.1).chain([state.clone()]).collect();
        node.disk = state;
        let checker = Arc::make_mut(&mut self.checker);
        for state in &states {
            checker.on_durable(state)?;
        }
        Ok(number)
    }

    fn persist(&mut self, machine: Machine) -> Result<(), Violation> {
        let number = self.complete_writes(machine)?;
        if number == 0 {
            return Ok(());
        }
        self.run_replica(machine, hash_of(("persisted", number, self.now)), |replica, now| replica.persisted(number, now))
    }

    fn send(&mut self, from: Machine, to: &Daemon, mut message: Message<u32>) {
        let Some(to) = machine_of(to).filter(|to| self.nodes.contains_key(to)) else { return };
        if self.reductions.drop_joins && matches!(message, Message::Join { .. }) {
            return;
        }
        if let (Message::Append(request), Some(InjectedFault::CommitsEntriesOfEarlierTerms)) = (&mut message, self.fault) {
            self.commit_earlier_terms(from, to, request);
        }
        self.enqueue(from, to, message);
    }

    fn enqueue(&mut self, from: Machine, to: Machine, message: Message<u32>) {
        let fingerprint = hash_of((from, to, hash_of_encoding(&message)));
        self.acknowledge_undelivered(from, to, &message);
        self.pending.push(Arc::new(Envelope { from, to, message, fingerprint }));
        if self.pending.len() > MAX_PENDING_MESSAGES {
            self.pending.remove(0);
        }
    }

    /// Runs for `span`, during which all writes and messages complete at once.
    pub fn run_with_immediate_delivery(&mut self, span: Span) -> Result<(), Violation> {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let machines: Vec<Machine> = self.nodes.keys().copied().collect();
            for machine in machines {
                self.tick(machine, Span::ZERO)?;
                self.complete_pending()?;
            }
        }
        Ok(())
    }

    fn complete_pending(&mut self) -> Result<(), Violation> {
        loop {
            let next = self.steps().into_iter().find(|step| matches!(step, Step::Deliver(_) | Step::Persist(_)));
            let Some(step) = next else { return Ok(()) };
            self.take_step(step)?;
        }
    }

    /// A hash that is equal for equal worlds. The order of pending messages is
    /// ignored, since any of them can be delivered next.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.budget, &self.vacant_zones).hash(&mut hasher);
        for (machine, node) in &self.removed {
            (machine, node.input_hash, node.disk.last_index()).hash(&mut hasher);
        }
        for (machine, node) in &self.nodes {
            (machine, node.input_hash, node.inbound_open, node.outbound_open, node.replica.is_some(), node.pending_writes.len())
                .hash(&mut hasher);
            (node.disk.term, node.disk.last_index()).hash(&mut hasher);
        }
        let mut pending: Vec<u64> = self.pending.iter().map(|envelope| envelope.fingerprint).collect();
        pending.sort_unstable();
        pending.hash(&mut hasher);
        hasher.finish()
    }

    /// A description with one line for each machine.
    pub fn describe(&self) -> String {
        let line = |(machine, node): (&Machine, &Arc<Node>)| {
            let replica = node.replica.as_ref();
            let (role, commit) = (replica.map(Replica::role), replica.map_or(0, Replica::commit_index));
            let configuration = replica.map(|replica| replica.configuration().clone()).unwrap_or_default();
            let names_and_disk_ids = |voters: &BTreeMap<Daemon, Voter>| -> Vec<String> {
                voters.iter().map(|(daemon, voter)| format!("{daemon}/{}", voter.disk_id.0)).collect()
            };
            format!(
                "{machine}/{}: {role:?} {:?} vote {:?} last {}@{:?} snapshot {} commit {commit} voters {:?} outgoing {:?} leader {:?} active {:?}\n",
                node.disk.disk_id.0,
                node.latest_state.term,
                node.latest_state.vote,
                node.latest_state.last_index(),
                node.latest_state.last_term(),
                node.latest_state.snapshot.index,
                names_and_disk_ids(&configuration.voters),
                configuration.outgoing.as_ref().map(names_and_disk_ids),
                replica.and_then(|replica| replica.leader(self.now)),
                replica.map(|replica| replica.is_active_leader(self.now)),
            )
        };
        let lines: String = self.nodes.iter().map(line).collect();
        format!("at {:?}, {} pending\n{lines}", self.now, self.pending.len())
    }

    /// The latest term that any replica knows.
    pub fn latest_term(&self) -> Term {
        self.nodes.values().map(|node| node.latest_state.term).max().unwrap_or_default()
    }
}

fn encode(applied: &[(u64, u32)]) -> Vec<u8> {
    let mut encoding = Vec::new();
    ciborium::into_writer(applied, &mut encoding).expect("the value can be encoded");
    encoding
}
