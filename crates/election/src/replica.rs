//! One replica of the group: its state, its roles, and the functions its host calls.
mod bootstrapping;
mod following;
mod leading;
mod membership;
mod voting;

use crate::prelude::*;
use crate::progress::Progress;

/// The current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Has an empty disk and is configured to bootstrap the group: waits for the other seeds.
    Bootstrapping,
    /// Not a voter: its data directory is not in the configuration.
    Learner,
    Follower,
    /// Asks the voters whether they would elect it, without raising its term.
    PreCandidate,
    Candidate,
    Leader,
}

/// The proposal was refused because this replica is not an active leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader;

/// The settings that a replica starts with.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    pub id: Daemon,
    /// The address at which other replicas reach this one.
    pub address: String,
    pub zone: Zone,
    /// Replicas to contact first; this list may be out of date.
    pub seeds: Vec<Daemon>,
    /// Whether the operator asked to bootstrap a new group from the seeds.
    pub bootstrap: bool,
    pub timing: Timing,
    pub policy: MembershipPolicy,
    pub random_seed: u64,
}

/// Heartbeat intervals between two `Join` or `Leave` messages of a replica.
const HEARTBEATS_PER_ANNOUNCEMENT: u64 = 2;
/// A learner gets one heartbeat for this many heartbeats to voters.
const HEARTBEATS_PER_LEARNER: u64 = 3;
/// Learners that may have unanswered entries or snapshots at the same time.
const MAX_LEARNERS_IN_FLIGHT: usize = 4;
const MAX_ENTRIES_PER_REQUEST: usize = 256;
/// The leader stops tracking a learner that has not answered for this long.
const LEARNER_SILENCE_LIMIT: Span = Span::secs(30);
/// How long a voter that is about to stop waits to be replaced.
const LEAVE_TIMEOUT: Span = Span::secs(3);
/// How long a leader that is about to stop waits to be replaced before it transfers leadership.
const LEADER_LEAVE_TIMEOUT: Span = Span::millis(1500);
/// How long the leader remembers that a replica is about to stop.
const LEAVE_REQUEST_VALID_FOR: Span = Span::secs(5);

/// One replica of the group.
///
/// Invariants: `applied_index <= commit_index <= last index`;
/// `last_persisted_write <= last_issued_write`; a message is sent only when
/// every write issued before it is durable.
#[derive(Clone)]
pub struct Replica<C> {
    settings: ReplicaSettings,
    rng: fastrand::Rng,
    state: HardState<C>,
    /// The latest configuration in the log and the index of its entry.
    configuration: Configuration,
    configuration_index: u64,
    role: Role,
    leader: Option<Daemon>,
    commit_index: u64,
    applied_index: u64,
    /// When the last message of a leader of the current term arrived.
    leader_heard_at: Time,
    election_deadline: Time,
    next_heartbeat_at: Time,
    /// Rounds of heartbeats sent as leader; learners take part in only some.
    heartbeat_rounds: u64,
    next_announcement_at: Time,
    elected_at: Time,
    /// Votes granted in the current campaign, with the disk id of each voter.
    votes: BTreeMap<Daemon, IncarnationId>,
    /// As leader: the progress of every other voter and of the learners.
    progress: BTreeMap<Daemon, Progress>,
    /// While bootstrapping: the other seeds that have announced themselves.
    discovered_peers: BTreeMap<Daemon, Voter>,
    /// Hosts that are being retired; replicas on them must not be voters.
    excluded_hosts: BTreeSet<String>,
    /// The term whose leader gave up leadership. On other replicas the recent
    /// contact with that leader no longer prevents votes; on the leader itself
    /// it prevents further proposals.
    transferred_term: Option<Term>,
    /// When this replica was told to stop.
    leaving_since: Option<Time>,
    /// The leader answered that waiting for a replacement is not necessary.
    leave_accepted: bool,
    last_issued_write: u64,
    last_persisted_write: u64,
    /// Whether the hard state changed since the last issued write.
    dirty: bool,
    /// Index of the last entry that is durable on this replica's disk.
    durable_index: u64,
    /// Writes that are not durable yet: the number and the last index of each.
    pending_writes: VecDeque<(u64, u64)>,
    /// Messages not yet sent, each with the write that has to be durable first.
    held_messages: VecDeque<(Option<u64>, Daemon, Message<C>)>,
    /// The actions of the current step so far.
    actions: Vec<Action<C>>,
}

impl<C: Clone + PartialEq> Replica<C> {
    /// Starts a replica from the state that was read from disk.
    pub fn new(settings: ReplicaSettings, state: HardState<C>, now: Time) -> Replica<C> {
        let state = state.upgraded();
        let (configuration_index, configuration) = state.configuration_at(state.last_index());
        let (configuration, snapshot_index, durable_index) = (configuration.clone(), state.snapshot.index, state.last_index());
        let must_bootstrap = !state.initialized && settings.bootstrap && settings.seeds.contains(&settings.id);
        let mut replica = Replica {
            rng: fastrand::Rng::with_seed(settings.random_seed),
            settings,
            state,
            configuration,
            configuration_index,
            role: Role::Bootstrapping,
            leader: None,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            leader_heard_at: now,
            election_deadline: now,
            next_heartbeat_at: now,
            heartbeat_rounds: 0,
            next_announcement_at: now,
            elected_at: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            discovered_peers: BTreeMap::new(),
            excluded_hosts: BTreeSet::new(),
            transferred_term: None,
            leaving_since: None,
            leave_accepted: false,
            last_issued_write: 0,
            last_persisted_write: 0,
            dirty: false,
            durable_index,
            pending_writes: VecDeque::new(),
            held_messages: VecDeque::new(),
            actions: Vec::new(),
        };
        if !must_bootstrap {
            replica.role = replica.passive_role();
        }
        replica.election_deadline = now + replica.random_election_timeout();
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
    /// The configuration in force: the latest one in the log, committed or not.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
    /// The index of the entry that contains the configuration in force.
    pub fn configuration_index(&self) -> u64 {
        self.configuration_index
    }
    /// The latest snapshot: loaded at the start, installed or created since.
    pub fn snapshot(&self) -> &Snapshot {
        &self.state.snapshot
    }
    /// The current leader, if there was recent contact with it.
    pub fn leader(&self, now: Time) -> Option<&Daemon> {
        let is_current = self.role == Role::Leader || now.since(self.leader_heard_at) < self.settings.timing.disconnected_after();
        self.leader.as_ref().filter(|_| is_current)
    }

    fn own_id(&self) -> &Daemon {
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
        Span(timeout + self.rng.u64(0..timeout))
    }
    /// The delay before an unsuccessful campaign is repeated: short, because
    /// there is no leader meanwhile, and random, so that two candidates do not
    /// campaign at the same time again.
    fn random_campaign_retry_delay(&mut self) -> Span {
        let timeout = self.settings.timing.election_timeout.0;
        Span(timeout / 6 + self.rng.u64(0..timeout / 2))
    }
    fn passive_role(&self) -> Role {
        if self.is_voter() {
            Role::Follower
        } else {
            Role::Learner
        }
    }

    /// Changes the role. Nothing else does, except `new`.
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
                self.election_deadline = now + self.random_election_timeout();
            }
            Role::PreCandidate | Role::Candidate => self.election_deadline = now + self.random_election_timeout(),
            Role::Bootstrapping => {}
        }
    }

    /// Becomes a follower, or a learner if this replica is not a voter.
    fn become_passive(&mut self, now: Time) {
        let role = self.passive_role();
        self.become_role(role, now);
    }

    fn append_entry(&mut self, command: Command<C>) {
        self.state.log.push(Entry { term: self.state.term, command });
        self.dirty = true;
        self.refresh_configuration();
    }

    /// Reads the configuration in force from the log. Called after each change of the log.
    fn refresh_configuration(&mut self) {
        let (index, configuration) = self.state.configuration_at(self.state.last_index());
        self.configuration_index = index;
        if *configuration != self.configuration {
            self.configuration = configuration.clone();
            self.actions.push(Action::ConfigurationChanged(self.configuration.clone()));
        }
    }

    fn send(&mut self, to: Daemon, message: Message<C>) {
        self.held_messages.push_back((None, to, message));
    }

    /// Ends a step: issues a write if the state changed, and sends the messages
    /// whose writes are durable.
    fn finish_step(&mut self) -> Vec<Action<C>> {
        if self.dirty {
            self.dirty = false;
            self.last_issued_write += 1;
            self.pending_writes.push_back((self.last_issued_write, self.state.last_index()));
            self.actions.push(Action::Persist(self.last_issued_write, self.state.clone()));
        }
        for (write, _, _) in self.held_messages.iter_mut().filter(|message| message.0.is_none()) {
            *write = Some(self.last_issued_write);
        }
        while self.held_messages.front().is_some_and(|message| message.0 <= Some(self.last_persisted_write)) {
            let Some((_, to, message)) = self.held_messages.pop_front() else { break };
            self.actions.push(Action::Send(to, message));
        }
        std::mem::take(&mut self.actions)
    }

    /// Called by the host when write `number` and all before it are durable.
    pub fn persisted(&mut self, number: u64, now: Time) -> Vec<Action<C>> {
        self.last_persisted_write = self.last_persisted_write.max(number);
        while self.pending_writes.front().is_some_and(|write| write.0 <= number) {
            let Some((_, last_index)) = self.pending_writes.pop_front() else { break };
            self.durable_index = last_index;
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
        self.finish_step()
    }

    /// Appends a command to the log; returns the index and term of its entry.
    pub fn propose(&mut self, command: C, now: Time) -> Result<(u64, Term, Vec<Action<C>>), NotLeader> {
        if !self.is_active_leader(now) {
            return Err(NotLeader);
        }
        self.append_entry(Command::Apply(command));
        self.replicate(now);
        let (index, term) = (self.state.last_index(), self.state.term);
        Ok((index, term, self.finish_step()))
    }

    /// Replaces the applied entries by a snapshot with `data` once the log is long enough.
    pub fn compact(&mut self, data: impl FnOnce() -> Vec<u8>) -> Vec<Action<C>> {
        let count = (self.applied_index - self.state.snapshot.index) as usize;
        if count < self.settings.timing.entries_before_snapshot {
            return Vec::new();
        }
        let configuration = self.state.configuration_at(self.applied_index).1.clone();
        let term = self.state.term_at(self.applied_index).unwrap_or_default();
        self.state.log.drain(..count);
        self.state.snapshot = Snapshot { index: self.applied_index, term, configuration, data: data().into() };
        self.dirty = true;
        self.refresh_configuration();
        self.finish_step()
    }

    /// Handles timeouts. Call it at least twice per heartbeat interval.
    pub fn tick(&mut self, now: Time) -> Vec<Action<C>> {
        match self.role {
            Role::Bootstrapping => self.announce_bootstrap(now),
            Role::Follower | Role::PreCandidate | Role::Candidate if now >= self.election_deadline => self.campaign(true, now),
            Role::Leader => self.tick_leader(now),
            _ => {}
        }
        self.announce_membership(now);
        self.finish_step()
    }

    /// Handles a message of another replica.
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
        self.finish_step()
    }
}
