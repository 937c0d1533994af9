//! One replica of the group: its state, its roles, and the calls of its host.
mod bootstrapping;
mod following;
mod leading;
mod membership;
mod voting;

use crate::prelude::*;
use crate::progress::Progress;

/// What a replica is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Told to bootstrap the group; waits for the other founding replicas.
    Bootstrapping,
    /// Holds no vote: its data directory is not in the configuration.
    Learner,
    Follower,
    /// Asks whether it would be elected, without raising its term.
    PreCandidate,
    Candidate,
    Leader,
}

/// Why a proposal was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader;

/// What a replica is started with.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    pub id: Daemon,
    /// Where other replicas reach this one.
    pub address: String,
    pub zone: Zone,
    /// Replicas to ask first, from the settings; may be out of date.
    pub seeds: Vec<Daemon>,
    /// The operator's explicit order to bootstrap a group from the seeds.
    pub bootstrap: bool,
    pub timing: Timing,
    pub policy: MembershipPolicy,
    pub random_seed: u64,
}

/// Between two announcements of a replica that hears no leader, in heartbeats.
const HEARTBEATS_PER_JOIN: u64 = 2;
/// Between two heartbeats to a learner, in heartbeats to voters.
const HEARTBEATS_PER_LEARNER: u64 = 3;
/// So many learners get entries or a snapshot at one time.
const LEARNERS_AT_ONCE: usize = 4;
/// Entries sent in one request at most.
const ENTRIES_PER_REQUEST: usize = 256;
/// A learner that has not answered for this long is followed no more.
const LEARNER_FORGOTTEN_AFTER: Span = Span::secs(30);
/// How long a voter that stops waits to be replaced.
const LEAVE_WITHIN: Span = Span::secs(3);
/// How long a leader that stops waits to be replaced before it transfers.
const LEADER_LEAVES_WITHIN: Span = Span::millis(1500);
/// A replica that said it stops is taken at its word for this long.
const LEAVE_REMEMBERED: Span = Span::secs(5);

/// Invariants: `applied <= commit <= last index`; `persisted <= issued`; a
/// message is sent only when everything issued before it is durable.
#[derive(Clone)]
pub struct Replica<C> {
    settings: ReplicaSettings,
    random: fastrand::Rng,
    state: HardState<C>,
    /// The latest configuration in the log and the index of its entry.
    configuration: Configuration,
    configuration_index: u64,
    role: Role,
    leader: Option<Daemon>,
    commit_index: u64,
    applied: u64,
    /// When a leader of the current term was last heard.
    heard: Time,
    election_due: Time,
    heartbeat_due: Time,
    heartbeats: u64,
    join_due: Time,
    elected: Time,
    votes: BTreeMap<Daemon, Mark>,
    progress: BTreeMap<Daemon, Progress>,
    founders: BTreeMap<Daemon, Voter>,
    /// Hosts that are to be taken away: their replicas must not be voters.
    unwanted_hosts: BTreeSet<String>,
    /// The leader of this term said that it leaves: the term no longer holds
    /// votes back. As leader: that it said so and proposes nothing more.
    transferred: Option<Term>,
    /// This replica was told to stop, and since when.
    leaving: Option<Time>,
    /// The leader told that waiting for a replacement gains nothing.
    leave_accepted: bool,
    issued: u64,
    persisted: u64,
    dirty: bool,
    /// The last entry known to be durable here.
    durable: u64,
    /// Numbers of writes under way and the last entry that each covers.
    writes: VecDeque<(u64, u64)>,
    /// Messages held back until the write they depend on is durable.
    held: VecDeque<(Option<u64>, Daemon, Message<C>)>,
    actions: Vec<Action<C>>,
}

impl<C: Clone + PartialEq> Replica<C> {
    /// Starts from what was read from disk.
    pub fn new(settings: ReplicaSettings, state: HardState<C>, now: Time) -> Replica<C> {
        let state = state.upgraded();
        let (configuration_index, configuration) = state.configuration_at(state.last_index());
        let (configuration, snapshot_index, durable) = (configuration.clone(), state.snapshot.index, state.last_index());
        let founding = !state.initialized && settings.bootstrap && settings.seeds.contains(&settings.id);
        let mut replica = Replica {
            random: fastrand::Rng::with_seed(settings.random_seed),
            settings,
            state,
            configuration,
            configuration_index,
            role: Role::Bootstrapping,
            leader: None,
            commit_index: snapshot_index,
            applied: snapshot_index,
            heard: now,
            election_due: now,
            heartbeat_due: now,
            heartbeats: 0,
            join_due: now,
            elected: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            founders: BTreeMap::new(),
            unwanted_hosts: BTreeSet::new(),
            transferred: None,
            leaving: None,
            leave_accepted: false,
            issued: 0,
            persisted: 0,
            dirty: false,
            durable,
            writes: VecDeque::new(),
            held: VecDeque::new(),
            actions: Vec::new(),
        };
        if !founding {
            replica.role = replica.resting_role();
        }
        replica.election_due = now + replica.random_election_timeout();
        replica
    }

    pub fn role(&self) -> Role {
        self.role
    }
    pub fn term(&self) -> Term {
        self.state.term
    }
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }
    /// The configuration in force here: the latest in the log.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
    /// The index of the entry that put the configuration in force.
    pub fn configuration_index(&self) -> u64 {
        self.configuration_index
    }
    /// The snapshot this replica started from or installed last.
    pub fn snapshot(&self) -> &Snapshot {
        &self.state.snapshot
    }
    /// The leader, while it is heard.
    pub fn leader(&self, now: Time) -> Option<&Daemon> {
        let heard = self.role == Role::Leader || now.since(self.heard) < self.settings.timing.connected_within();
        self.leader.as_ref().filter(|_| heard)
    }

    fn me(&self) -> &Daemon {
        &self.settings.id
    }
    fn is_voter(&self) -> bool {
        self.configuration.is_voter(&self.settings.id, self.state.disk_id)
    }
    fn as_voter(&self) -> Voter {
        Voter { disk_id: self.state.disk_id, address: self.settings.address.clone(), zone: self.settings.zone.clone() }
    }
    fn random_election_timeout(&mut self) -> Span {
        let timeout = self.settings.timing.election_timeout.0;
        Span(timeout + self.random.u64(0..timeout))
    }
    /// Until votes that were not granted are asked for again: short, as there
    /// is no leader meanwhile, and random, so that two candidates part.
    fn random_campaign_pause(&mut self) -> Span {
        let timeout = self.settings.timing.election_timeout.0;
        Span(timeout / 6 + self.random.u64(0..timeout / 2))
    }
    fn resting_role(&self) -> Role {
        if self.is_voter() {
            Role::Follower
        } else {
            Role::Learner
        }
    }

    /// Every change of role passes here.
    fn become_role(&mut self, role: Role, now: Time) {
        if self.role == role {
            return;
        }
        if self.role == Role::Leader {
            self.actions.push(Action::LostLeadership);
        }
        self.role = role;
        match role {
            Role::Leader => self.begin_term(now),
            Role::Follower | Role::Learner => {
                self.progress.clear();
                self.election_due = now + self.random_election_timeout();
            }
            Role::PreCandidate | Role::Candidate => self.election_due = now + self.random_election_timeout(),
            Role::Bootstrapping => {}
        }
    }

    /// Steps back to the role that the configuration gives.
    fn rest(&mut self, now: Time) {
        let role = self.resting_role();
        self.become_role(role, now);
    }

    fn append_entry(&mut self, command: Command<C>) {
        self.state.log.push(Entry { term: self.state.term, command });
        self.dirty = true;
        self.refresh_configuration();
    }

    /// Call after each change of the log.
    fn refresh_configuration(&mut self) {
        let (index, configuration) = self.state.configuration_at(self.state.last_index());
        self.configuration_index = index;
        if *configuration != self.configuration {
            self.configuration = configuration.clone();
            self.actions.push(Action::ConfigurationChanged(self.configuration.clone()));
        }
    }

    fn send(&mut self, to: Daemon, message: Message<C>) {
        self.held.push_back((None, to, message));
    }

    /// Ends a step: issues a write if something changed and releases the
    /// messages that wait for nothing.
    fn finish(&mut self) -> Vec<Action<C>> {
        if self.dirty {
            self.dirty = false;
            self.issued += 1;
            self.writes.push_back((self.issued, self.state.last_index()));
            self.actions.push(Action::Persist(self.issued, self.state.clone()));
        }
        for (write, _, _) in self.held.iter_mut().filter(|held| held.0.is_none()) {
            *write = Some(self.issued);
        }
        while self.held.front().is_some_and(|held| held.0 <= Some(self.persisted)) {
            let Some((_, to, message)) = self.held.pop_front() else { break };
            self.actions.push(Action::Send(to, message));
        }
        std::mem::take(&mut self.actions)
    }

    /// The host made write `number`, and all before it, durable.
    pub fn persisted(&mut self, number: u64, now: Time) -> Vec<Action<C>> {
        self.persisted = self.persisted.max(number);
        while self.writes.front().is_some_and(|write| write.0 <= number) {
            let Some((_, last_index)) = self.writes.pop_front() else { break };
            self.durable = last_index;
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
        self.finish()
    }

    /// Appends a command of the state machine above.
    pub fn propose(&mut self, command: C, now: Time) -> Result<(u64, Term, Vec<Action<C>>), NotLeader> {
        if !self.is_active_leader(now) {
            return Err(NotLeader);
        }
        self.append_entry(Command::Apply(command));
        self.replicate(now);
        let (index, term) = (self.state.last_index(), self.state.term);
        Ok((index, term, self.finish()))
    }

    /// Replaces everything applied by a snapshot once the log is long.
    pub fn compact(&mut self, data: impl FnOnce() -> Vec<u8>) -> Vec<Action<C>> {
        let count = (self.applied - self.state.snapshot.index) as usize;
        if count < self.settings.timing.entries_before_snapshot {
            return Vec::new();
        }
        let configuration = self.state.configuration_at(self.applied).1.clone();
        let term = self.state.term_at(self.applied).unwrap_or_default();
        self.state.log.drain(..count);
        self.state.snapshot = Snapshot { index: self.applied, term, configuration, data: data().into() };
        self.dirty = true;
        self.refresh_configuration();
        self.finish()
    }

    /// A clock event; call it at least twice in each heartbeat.
    pub fn tick(&mut self, now: Time) -> Vec<Action<C>> {
        match self.role {
            Role::Bootstrapping => self.announce_bootstrap(now),
            Role::Follower | Role::PreCandidate | Role::Candidate if now >= self.election_due => self.campaign(true, now),
            Role::Leader => self.tick_leader(now),
            _ => {}
        }
        self.announce_membership(now);
        self.finish()
    }

    /// Takes a message of another replica.
    pub fn receive(&mut self, from: Daemon, message: Message<C>, now: Time) -> Vec<Action<C>> {
        if from == self.settings.id {
            return Vec::new();
        }
        match message {
            Message::Bootstrap { voter, is_reply } => self.on_bootstrap(from, voter, is_reply, now),
            Message::VoteRequest { pre_vote, term, last_index, last_term } => {
                self.on_vote_request(from, pre_vote, term, (last_term, last_index), now);
            }
            Message::VoteResponse { pre_vote, term, granted, disk_id } => {
                self.on_vote_response(from, pre_vote, term, granted, disk_id, now);
            }
            Message::Append(request) => self.on_append(from, request, now),
            Message::AppendResponse { term, outcome, disk_id, sent_at } => {
                self.on_append_response(from, term, outcome, disk_id, sent_at, now);
            }
            Message::TransferLeadership { term } => self.on_transfer_leadership(&from, term, now),
            Message::Join { voter } => self.on_join(from, voter, now),
            Message::Redirect { leader, address } => self.on_redirect(leader, address),
            Message::Leave { disk_id } => self.on_leave(from, disk_id, now),
            Message::LeaveAccepted { disk_id } => self.leave_accepted |= disk_id == self.state.disk_id,
        }
        self.finish()
    }
}
