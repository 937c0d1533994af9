//! A few replicas, their disks, the messages between them and one clock.
mod budget;
mod faults;
mod host;
mod starts;

pub use budget::{Budget, Reductions};

use super::breakage::{broken_change, cleared_log};
use super::{Breakage, Kind, Ledger, Step, Violation};
use dw_election::prelude::{
    Action, AppendOutcome, AppendRequest, Command, Configuration, Daemon, Entry, HardState, Mark, MembershipPolicy, Message,
    Replica, ReplicaSettings, Role, Snapshot, Span, Term, Time, Timing, VecDeque, Voter, Zone,
};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Machines are numbered from 1.
pub type Machine = usize;

/// What a replica notices of the clock in the two clock steps.
const HEARTBEAT: Span = Span::millis(200);
const PAST_EVERY_TIMEOUT: Span = Span::millis(1_800);
/// How far ahead a replica is told the clock is when it forgets its leader.
const LEADER_FORGOTTEN: Span = Span::secs(10);
/// Where histories begin: later than any interval of the election.
const BEGINNING: Time = Time::millis(60_000);
/// Between two clock events of a quiet run.
const QUIET_TICK: Span = Span::millis(50);
/// Messages that may be pending; of more the oldest is lost.
const PENDING_MESSAGES: usize = 24;
const ZONES: usize = 3;

/// One machine: its disk, its replica while it runs, and the writes under way.
#[derive(Clone)]
pub struct Node {
    pub replica: Option<Replica<u32>>,
    pub disk: HardState<u32>,
    /// The state in memory, as last handed out to be written.
    pub latest: HardState<u32>,
    writes: VecDeque<(u64, HardState<u32>)>,
    pub applied: Vec<(u64, u32)>,
    pub hears: bool,
    pub is_heard: bool,
    /// It was told to leave and has not been restarted since.
    pub leaving: bool,
    zone: usize,
    /// A hash of everything that this machine was ever given. The replica is
    /// deterministic, so equal inputs are equal states.
    inputs: u64,
}

/// A message on its way.
#[derive(Clone)]
pub struct Envelope {
    pub from: Machine,
    pub to: Machine,
    pub message: Message<u32>,
    fingerprint: u64,
}

/// A state of the whole group. Cloning shares what does not change.
#[derive(Clone)]
pub struct World {
    pub now: Time,
    pub nodes: BTreeMap<Machine, Arc<Node>>,
    pub pending: Vec<Arc<Envelope>>,
    pub ledger: Arc<Ledger>,
    pub budget: Budget,
    pub breakage: Option<Breakage>,
    reductions: Reductions,
    target_voters: usize,
    next_machine: Machine,
    next_mark: u64,
    next_command: u32,
    /// The zones of removed machines that nothing has replaced yet.
    vacant_zones: Vec<usize>,
    /// Machines that were removed, with their disks.
    removed: BTreeMap<Machine, Arc<Node>>,
    random_seed: u64,
}

pub fn name(machine: Machine) -> Daemon {
    Daemon(format!("placement-{machine}"))
}

fn machine_of(daemon: &Daemon) -> Option<Machine> {
    daemon.as_str().rsplit('-').next()?.parse().ok()
}

fn voter(machine: Machine, disk_id: Mark, zone: usize) -> Voter {
    Voter { disk_id, address: format!("{}:7000", name(machine)), zone: Zone(format!("zone-{zone}")) }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// A hash of the canonical encoding of a value.
fn hash_of_encoding(value: &impl serde::Serialize) -> u64 {
    let mut encoding = Vec::new();
    ciborium::into_writer(value, &mut encoding).expect("it can be encoded");
    hash_of(encoding)
}

impl World {
    /// Three voters that were founded together and run, and spare replicas
    /// with empty disks.
    pub fn founded(spares: usize, target_voters: usize, random_seed: u64) -> World {
        let voters = (1..=3).map(|machine| (name(machine), voter(machine, Mark(machine as u64), machine % ZONES)));
        let configuration = Configuration::simple(voters.collect());
        let mut world = World {
            now: BEGINNING,
            nodes: BTreeMap::new(),
            pending: Vec::new(),
            ledger: Arc::new(Ledger::of(configuration.clone())),
            budget: Budget::UNBOUNDED,
            breakage: None,
            reductions: Reductions::default(),
            target_voters,
            next_machine: 1,
            next_mark: 1,
            next_command: 1,
            vacant_zones: Vec::new(),
            removed: BTreeMap::new(),
            random_seed,
        };
        for machine in 1..=3 + spares {
            world.add_machine(machine % ZONES);
        }
        for machine in 1..=3 {
            let mut state = world.nodes[&machine].disk.clone();
            state.initialized = true;
            state.snapshot.configuration = configuration.clone();
            world.start_from(machine, state);
        }
        world
    }

    /// The same, with a leader and one committed command.
    pub fn settled(spares: usize, target_voters: usize, random_seed: u64) -> World {
        let mut world = World::founded(spares, target_voters, random_seed);
        world.run_quietly(Span::secs(6)).expect("a quiet group breaks nothing");
        let leader = world.leader().expect("a quiet group has a leader");
        world.take(Step::Propose(leader)).expect("a quiet group breaks nothing");
        world.run_quietly(Span::secs(2)).expect("a quiet group breaks nothing");
        world.pending.clear();
        world
    }

    pub fn with_budget(mut self, budget: Budget) -> World {
        self.budget = budget;
        self
    }

    pub fn with_breakage(mut self, breakage: Option<Breakage>) -> World {
        self.breakage = breakage;
        self
    }

    pub fn with_reductions(mut self, reductions: Reductions) -> World {
        self.reductions = reductions;
        self
    }

    /// Puts these states on the disks of the founding machines and restarts
    /// them: a situation that a history of crashes leads to.
    pub fn restarted_from(mut self, change: impl Fn(Machine, &mut HardState<u32>)) -> World {
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
        let disk = self.fresh_disk();
        let node = Node {
            replica: None,
            latest: disk.clone(),
            disk,
            writes: VecDeque::new(),
            applied: Vec::new(),
            hears: true,
            is_heard: true,
            leaving: false,
            zone,
            inputs: 0,
        };
        self.nodes.insert(machine, Arc::new(node));
        self.start(machine);
        machine
    }

    fn fresh_disk(&mut self) -> HardState<u32> {
        let disk_id = Mark(self.next_mark);
        self.next_mark += 1;
        HardState::empty(disk_id)
    }

    fn node_mut(&mut self, machine: Machine) -> &mut Node {
        Arc::make_mut(self.nodes.get_mut(&machine).expect("a machine of this world"))
    }

    fn start_from(&mut self, machine: Machine, state: HardState<u32>) {
        Arc::make_mut(&mut self.ledger).on_durable(&state).expect("a state to start from is sound");
        self.node_mut(machine).disk = state;
        self.start(machine);
    }

    fn start(&mut self, machine: Machine) {
        let (now, settings) = (self.now, self.settings(machine));
        let forgets_vote = self.breakage == Some(Breakage::ForgetsVote);
        let node = self.node_mut(machine);
        let mut state = node.disk.clone();
        if forgets_vote {
            state.vote = None;
        }
        node.latest = state.clone();
        node.writes.clear();
        node.applied = ciborium::from_reader(state.snapshot.data.as_ref()).unwrap_or_default();
        node.inputs = hash_of((node.inputs, "start", now, hash_of_encoding(&state)));
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

    /// The replica that may act, if there is one.
    pub fn leader(&self) -> Option<Machine> {
        self.acting().into_iter().next()
    }

    fn acting(&self) -> Vec<Machine> {
        let is_active_leader = |node: &Node| node.replica.as_ref().is_some_and(|replica| replica.is_active_leader(self.now));
        self.nodes.iter().filter(|(_, node)| is_active_leader(node)).map(|(machine, _)| *machine).collect()
    }

    /// Whether the group has recovered from everything before, so that it has
    /// to bear the loss of another disk: every voter of the one configuration
    /// runs and durably holds all that is committed.
    pub fn may_lose_a_disk(&self) -> bool {
        let configuration = &self.ledger.configuration;
        let recovered = |(daemon, voter): (&Daemon, &Voter)| {
            let node = machine_of(daemon).and_then(|machine| self.nodes.get(&machine));
            node.is_some_and(|node| {
                let in_force = node.disk.configuration_at(node.disk.last_index()).1;
                let settled = node.replica.is_some() && node.writes.is_empty() && node.disk.disk_id == voter.disk_id;
                settled && in_force == configuration && self.ledger.first_missing(&node.disk).is_none()
            })
        };
        !configuration.is_joint() && configuration.voters.iter().all(recovered)
    }

    /// Every step that is possible now.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (place, envelope) in self.pending.iter().enumerate() {
            if self.connected(envelope) {
                steps.push(Step::Deliver(place));
            }
            steps.extend([Step::Lose(place), Step::Double(place)]);
        }
        let may_lose = self.may_lose_a_disk();
        for (machine, node) in &self.nodes {
            self.add_machine_steps(*machine, node, may_lose, &mut steps);
        }
        if !self.vacant_zones.is_empty() {
            steps.push(Step::Replace);
        }
        steps.extend(self.removed.keys().map(|machine| Step::Return(*machine)));
        steps.retain(|step| self.budget.allows(step.kind()));
        steps
    }

    fn add_machine_steps(&self, machine: Machine, node: &Node, may_lose: bool, steps: &mut Vec<Step>) {
        let Some(replica) = &node.replica else {
            steps.push(Step::Restart(machine));
            return;
        };
        if !node.writes.is_empty() {
            steps.extend([Step::Persist(machine), Step::CrashAfterWrite(machine)]);
        }
        steps.extend([Step::Heartbeat(machine), Step::Timeout(machine), Step::Crash(machine), Step::Leave(machine)]);
        match node.hears && node.is_heard {
            true => steps.extend([Step::Isolate(machine), Step::Mute(machine), Step::Deafen(machine)]),
            false => steps.push(Step::Heal(machine)),
        }
        if may_lose {
            steps.extend([Step::Wipe(machine), Step::Remove(machine)]);
        }
        if replica.is_active_leader(self.now) {
            steps.push(Step::Propose(machine));
        }
        if node.applied.len() >= 2 {
            steps.push(Step::Compact(machine));
        }
    }

    fn connected(&self, envelope: &Envelope) -> bool {
        if self.is_answer_for_the_deaf(envelope) {
            return true;
        }
        let receives = self.nodes.get(&envelope.to).is_some_and(|node| node.replica.is_some() && node.hears);
        receives && self.nodes.get(&envelope.from).is_none_or(|node| node.is_heard)
    }

    /// Takes one step and checks the invariants.
    pub fn take(&mut self, step: Step) -> Result<(), Violation> {
        self.budget.spend(step.kind());
        match step {
            Step::Deliver(place) => {
                let envelope = self.pending.remove(place);
                self.deliver(&envelope)?;
            }
            Step::Lose(place) => drop(self.pending.remove(place)),
            Step::Double(place) => self.pending.push(self.pending[place].clone()),
            Step::Persist(machine) => self.persist(machine)?,
            Step::Heartbeat(machine) => self.tick(machine, HEARTBEAT)?,
            Step::Timeout(machine) => self.tick(machine, PAST_EVERY_TIMEOUT)?,
            Step::Crash(machine) => self.crash(machine),
            Step::CrashAfterWrite(machine) => {
                self.write(machine)?;
                self.crash(machine);
            }
            Step::Restart(machine) => self.start(machine),
            Step::Wipe(machine) => self.wipe(machine),
            Step::Remove(machine) => self.remove(machine),
            Step::Replace => {
                let zone = self.vacant_zones.pop().expect("a machine was removed");
                self.add_machine(zone);
            }
            Step::Return(machine) => self.bring_back(machine)?,
            Step::Isolate(machine) => self.cut(machine, false, false),
            Step::Mute(machine) => self.cut(machine, true, false),
            Step::Deafen(machine) => self.cut(machine, false, true),
            Step::Heal(machine) => self.cut(machine, true, true),
            Step::Propose(machine) => self.propose(machine)?,
            Step::Compact(machine) => {
                let applied = self.nodes[&machine].applied.clone();
                self.give(machine, hash_of(("compact", self.now)), |replica, _| replica.compact(|| encode(&applied)))?;
            }
            Step::Leave(machine) => {
                self.node_mut(machine).leaving = true;
                self.give(machine, hash_of(("leave", self.now)), |replica, now| replica.leave(now))?;
            }
        }
        match self.acting() {
            machines if machines.len() > 1 => Err(Violation::TwoReplicasMayAct { machines }),
            _ => Ok(()),
        }
    }

    fn tick(&mut self, machine: Machine, passed: Span) -> Result<(), Violation> {
        self.now += passed;
        self.give(machine, hash_of(("tick", self.now)), |replica, now| replica.tick(now))
    }

    fn propose(&mut self, machine: Machine) -> Result<(), Violation> {
        let command = self.next_command;
        self.next_command += 1;
        self.give(machine, hash_of(("propose", command, self.now)), |replica, now| {
            replica.propose(command, now).map(|(_, _, actions)| actions).unwrap_or_default()
        })
    }

    fn crash(&mut self, machine: Machine) {
        let node = self.node_mut(machine);
        node.replica = None;
        node.leaving = false;
        node.writes.clear();
        node.latest = node.disk.clone();
    }

    fn wipe(&mut self, machine: Machine) {
        self.crash(machine);
        let lost = self.nodes[&machine].disk.disk_id;
        Arc::make_mut(&mut self.ledger).lost_marks.insert(lost);
        let mut disk = self.fresh_disk();
        if self.breakage == Some(Breakage::KeepsMarkWhenWiped) {
            disk.disk_id = lost;
        }
        self.node_mut(machine).disk = disk;
        self.start(machine);
    }

    fn remove(&mut self, machine: Machine) {
        self.crash(machine);
        if let Some(node) = self.nodes.remove(&machine) {
            self.vacant_zones.push(node.zone);
            Arc::make_mut(&mut self.ledger).lost_marks.insert(node.disk.disk_id);
            self.removed.insert(machine, node);
        }
    }

    fn bring_back(&mut self, machine: Machine) -> Result<(), Violation> {
        let node = self.removed.remove(&machine).expect("a machine that was removed");
        Arc::make_mut(&mut self.ledger).on_return(node.disk.disk_id);
        self.nodes.insert(machine, node);
        if self.breakage == Some(Breakage::ReturnsWithOlderDisk) {
            return self.return_with_older_disk(machine);
        }
        self.start(machine);
        Ok(())
    }

    pub(super) fn cut(&mut self, machine: Machine, hears: bool, is_heard: bool) {
        let node = self.node_mut(machine);
        (node.hears, node.is_heard) = (hears, is_heard);
    }

    fn deliver(&mut self, envelope: &Envelope) -> Result<(), Violation> {
        let machine = envelope.to;
        let message = self.altered_at_delivery(envelope);
        let ahead = match (&message, self.breakage) {
            (Message::VoteRequest { .. }, Some(Breakage::VotesThoughLeaderHeard)) => LEADER_FORGOTTEN,
            _ => Span::ZERO,
        };
        let input = hash_of((envelope.fingerprint, self.now));
        let installed = self.nodes[&machine].latest.snapshot.index;
        let request = match &message {
            Message::Append(request) if request.snapshot.is_some() => Some(request.clone()),
            _ => None,
        };
        self.give(machine, input, |replica, now| replica.receive(name(envelope.from), message, now + ahead))?;
        match request {
            Some(request) if self.nodes[&machine].latest.snapshot.index > installed => self.clear_log(machine, &request),
            _ => Ok(()),
        }
    }

    /// Makes the writes under way durable without telling the replica.
    fn write(&mut self, machine: Machine) -> Result<u64, Violation> {
        let node = self.node_mut(machine);
        let Some((number, state)) = node.writes.pop_back() else { return Ok(0) };
        let states: Vec<HardState<u32>> = node.writes.drain(..).map(|write| write.1).chain([state.clone()]).collect();
        node.disk = state;
        let ledger = Arc::make_mut(&mut self.ledger);
        for state in &states {
            ledger.on_durable(state)?;
        }
        Ok(number)
    }

    fn persist(&mut self, machine: Machine) -> Result<(), Violation> {
        let number = self.write(machine)?;
        if number == 0 {
            return Ok(());
        }
        self.give(machine, hash_of(("persisted", number, self.now)), |replica, now| replica.persisted(number, now))
    }

    fn send(&mut self, from: Machine, to: &Daemon, mut message: Message<u32>) {
        let Some(to) = machine_of(to).filter(|to| self.nodes.contains_key(to)) else { return };
        if self.reductions.joins_are_lost && matches!(message, Message::Join { .. }) {
            return;
        }
        if let (Message::Append(request), Some(Breakage::CommitsEarlierTerms)) = (&mut message, self.breakage) {
            self.send_earlier_commit(from, to, request);
        }
        self.post(from, to, message);
    }

    fn post(&mut self, from: Machine, to: Machine, message: Message<u32>) {
        let fingerprint = hash_of((from, to, hash_of_encoding(&message)));
        self.answer_for_the_deaf(from, to, &message);
        self.pending.push(Arc::new(Envelope { from, to, message, fingerprint }));
        if self.pending.len() > PENDING_MESSAGES {
            self.pending.remove(0);
        }
    }

    /// Lets `span` pass with every write and message done at once.
    pub fn run_quietly(&mut self, span: Span) -> Result<(), Violation> {
        let end = self.now + span;
        while self.now < end {
            self.now += QUIET_TICK;
            let machines: Vec<Machine> = self.nodes.keys().copied().collect();
            for machine in machines {
                self.tick(machine, Span::ZERO)?;
                self.drain()?;
            }
        }
        Ok(())
    }

    fn drain(&mut self) -> Result<(), Violation> {
        loop {
            let next = self.steps().into_iter().find(|step| matches!(step, Step::Deliver(_) | Step::Persist(_)));
            let Some(step) = next else { return Ok(()) };
            self.take(step)?;
        }
    }

    /// A hash by which equal worlds are known. The order of pending messages
    /// does not count, as any may be next.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.now, self.budget, &self.vacant_zones).hash(&mut hasher);
        for (machine, node) in &self.removed {
            (machine, node.inputs, node.disk.last_index()).hash(&mut hasher);
        }
        for (machine, node) in &self.nodes {
            (machine, node.inputs, node.hears, node.is_heard, node.replica.is_some(), node.writes.len()).hash(&mut hasher);
            (node.disk.term, node.disk.last_index()).hash(&mut hasher);
        }
        let mut pending: Vec<u64> = self.pending.iter().map(|envelope| envelope.fingerprint).collect();
        pending.sort_unstable();
        pending.hash(&mut hasher);
        hasher.finish()
    }

    /// Each machine and its replica, a line each.
    pub fn describe(&self) -> String {
        let line = |(machine, node): (&Machine, &Arc<Node>)| {
            let replica = node.replica.as_ref();
            let (role, commit) = (replica.map(Replica::role), replica.map_or(0, Replica::commit_index));
            let configuration = replica.map(|replica| replica.configuration().clone()).unwrap_or_default();
            let named = |voters: &BTreeMap<Daemon, Voter>| -> Vec<String> {
                voters.iter().map(|(daemon, voter)| format!("{daemon}/{}", voter.disk_id.0)).collect()
            };
            format!(
                "{machine}/{}: {role:?} {:?} vote {:?} last {}@{:?} snapshot {} commit {commit} voters {:?} outgoing {:?} leader {:?} acts {:?}\n",
                node.disk.disk_id.0,
                node.latest.term,
                node.latest.vote,
                node.latest.last_index(),
                node.latest.last_term(),
                node.latest.snapshot.index,
                named(&configuration.voters),
                configuration.outgoing.as_ref().map(named),
                replica.and_then(|replica| replica.leader(self.now)),
                replica.map(|replica| replica.is_active_leader(self.now)),
            )
        };
        let lines: String = self.nodes.iter().map(line).collect();
        format!("at {:?}, {} pending\n{lines}", self.now, self.pending.len())
    }

    /// The latest term that any replica knows of.
    pub fn latest_term(&self) -> Term {
        self.nodes.values().map(|node| node.latest.term).max().unwrap_or_default()
    }
}

fn encode(applied: &[(u64, u32)]) -> Vec<u8> {
    let mut encoding = Vec::new();
    ciborium::into_writer(applied, &mut encoding).expect("it can be encoded");
    encoding
}
