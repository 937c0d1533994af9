//! How replicas join and leave, and how the leader changes the voters.
use super::*;
use crate::configuration::Voters;
use crate::membership_policy::{next_voters, Peer};

impl<C: Clone + PartialEq> Replica<C> {
    /// Hosts that will be taken away: the leader moves votes off them.
    pub fn set_excluded_hosts(&mut self, hosts: BTreeSet<String>) {
        self.unwanted_hosts = hosts;
    }

    /// Told to stop. A leader that can't be replaced transfers at once.
    pub fn leave(&mut self, now: Time) -> Vec<Action<C>> {
        if self.leaving.is_none() {
            self.leaving = Some(now);
            self.join_due = now;
        }
        if self.role == Role::Leader && !self.has_spare(now) {
            self.begin_transfer(now);
        }
        self.announce_membership(now);
        self.finish()
    }

    /// Whether stopping now costs the group nothing that waiting would save:
    /// other replicas hold its vote, or nobody can.
    pub fn can_stop(&self, now: Time) -> bool {
        let Some(since) = self.leaving else { return false };
        let replaced = !self.is_voter() && self.configuration_index <= self.commit_index;
        let free = replaced || self.leave_accepted || self.role == Role::Bootstrapping;
        let waited = now.since(since) >= LEAVE_WITHIN;
        waited || (free && self.role != Role::Leader)
    }

    /// A replica that hears no leader announces itself; one that stops says so.
    pub(super) fn announce_membership(&mut self, now: Time) {
        if now < self.join_due || matches!(self.role, Role::Leader | Role::Bootstrapping) {
            return;
        }
        self.join_due = now + self.settings.timing.heartbeat.times(HEARTBEATS_PER_JOIN);
        match (self.leader(now).cloned(), self.leaving) {
            (Some(leader), Some(_)) => {
                let disk_id = self.state.disk_id;
                self.send(leader, Message::Leave { disk_id });
            }
            (Some(_), None) => {}
            (None, _) => self.announce_to_all(),
        }
    }

    fn announce_to_all(&mut self) {
        let mut contacts = self.configuration.voter_names();
        contacts.extend(self.settings.seeds.iter().cloned());
        contacts.remove(&self.settings.id);
        for daemon in contacts {
            let voter = self.as_voter();
            self.send(daemon, Message::Join { voter });
        }
    }

    pub(super) fn on_join(&mut self, from: Daemon, voter: Voter, now: Time) {
        if self.role != Role::Leader {
            let Some(leader) = self.leader(now).cloned() else { return };
            let address = self.address_of(&leader);
            if leader != from && !address.is_empty() {
                self.send(from, Message::Redirect { leader, address });
            }
            return;
        }
        self.actions.push(Action::SetPeerAddress(from.clone(), voter.address.clone()));
        let next = self.state.last_index() + 1;
        let progress = self.progress.entry(from.clone()).or_insert_with(|| Progress::new(next, now));
        progress.announced = Some(voter);
        progress.left = None;
        self.replicate_to(&from, now);
    }

    fn address_of(&self, daemon: &Daemon) -> String {
        let known = self.configuration.all_voters().find(|(name, _)| *name == daemon);
        known.map(|(_, voter)| voter.address.clone()).unwrap_or_default()
    }

    pub(super) fn on_redirect(&mut self, leader: Daemon, address: String) {
        if leader == self.settings.id || self.role == Role::Leader {
            return;
        }
        self.actions.push(Action::SetPeerAddress(leader.clone(), address));
        let voter = self.as_voter();
        self.send(leader, Message::Join { voter });
    }

    pub(super) fn on_leave(&mut self, from: Daemon, disk_id: Mark, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from).filter(|p| p.disk_id == disk_id) {
            progress.left = Some(now);
        }
        self.change_membership(now);
        // A change under way may be the one that replaces it, and a spare that
        // lags a little will take its place in a moment.
        let replaced = !self.configuration.is_voter(&from, disk_id);
        if self.is_membership_stable() && (replaced || !self.has_spare(now)) {
            self.send(from, Message::LeaveAccepted { disk_id });
        }
    }

    /// Whether the latest configuration is committed and no change under way.
    pub fn is_membership_stable(&self) -> bool {
        !self.configuration.is_joint() && self.configuration_index <= self.commit_index
    }

    /// Learners that are gone are followed no more.
    pub(super) fn forget_learners(&mut self, now: Time) {
        let voters = self.configuration.voter_names();
        self.progress.retain(|daemon, progress| voters.contains(daemon) || progress.silent_for(now) < LEARNER_FORGOTTEN_AFTER);
    }

    /// Proposes the next configuration, when the policy wants another and the
    /// latest one is committed.
    pub(super) fn change_membership(&mut self, now: Time) {
        if !self.is_membership_stable() || !self.is_active_leader(now) {
            return;
        }
        let peers = self.peers(now);
        let Some(voters) = next_voters(&self.configuration.voters, &peers, &self.settings.policy) else { return };
        let outgoing = Some(self.configuration.voters.clone());
        self.append_entry(Command::Configure(Configuration { voters, outgoing }));
        self.follow_voters(now);
        self.replicate(now);
    }

    /// Ends a change once its joint configuration is committed. A leader that
    /// is no voter any more steps down when the end, too, is committed.
    pub(super) fn complete_membership_change(&mut self, now: Time) {
        if self.role != Role::Leader || self.configuration_index > self.commit_index {
            return;
        }
        if self.configuration.is_joint() {
            self.keep_as_spares();
            let voters = self.configuration.voters.clone();
            self.append_entry(Command::Configure(Configuration::simple(voters)));
            self.replicate(now);
        } else if !self.is_voter() {
            self.begin_transfer(now);
        }
    }

    /// Voters that a change leaves out hear this leader and never announce
    /// themselves: what the configuration says of them is kept instead.
    fn keep_as_spares(&mut self) {
        for (daemon, voter) in self.configuration.outgoing.iter().flatten() {
            if let Some(progress) = self.progress.get_mut(daemon) {
                progress.announced.get_or_insert_with(|| voter.clone());
            }
        }
    }

    /// Whether a replica outside the voters is connected and may stay.
    fn has_spare(&self, now: Time) -> bool {
        let spare = |(daemon, peer): (&Daemon, &Peer)| {
            let outside = !self.configuration.voters.contains_key(daemon);
            outside && !peer.unwanted && peer.silent_for < self.settings.timing.connected_within()
        };
        self.peers(now).iter().any(spare)
    }

    /// The voters that answer this leader just now with the data directory that
    /// counts, the leader among them.
    pub fn connected_voters(&self, now: Time) -> Vec<(Daemon, Voter)> {
        let answers = |daemon: &Daemon, voter: &Voter| {
            let progress =
                self.progress.get(daemon).filter(|progress| progress.disk_id == voter.disk_id && progress.heard > Time(0));
            progress.is_some_and(|progress| progress.silent_for(now) < self.settings.timing.connected_within())
        };
        let voters = self.configuration.voters.iter();
        let present = voters.filter(|(daemon, voter)| **daemon == self.settings.id || answers(daemon, voter));
        present.map(|(daemon, voter)| (daemon.clone(), voter.clone())).collect()
    }

    fn peers(&self, now: Time) -> BTreeMap<Daemon, Peer> {
        let mut peers: BTreeMap<Daemon, Peer> =
            self.progress.iter().map(|(daemon, progress)| (daemon.clone(), self.peer(daemon, progress, now))).collect();
        let voter = self.as_voter();
        let unwanted = self.leaving.is_some() || self.unwanted_hosts.contains(voter.host());
        let me = Peer { voter, silent_for: Span::ZERO, eligible: true, unwanted };
        peers.insert(self.settings.id.clone(), me);
        peers
    }

    fn peer(&self, daemon: &Daemon, progress: &Progress, now: Time) -> Peer {
        let voters: &Voters = &self.configuration.voters;
        let known = progress.announced.as_ref().or_else(|| voters.get(daemon)).cloned().unwrap_or_default();
        let voter = Voter { disk_id: progress.disk_id, ..known };
        let silent_for = progress.silent_for(now);
        let answers = progress.heard > Time(0) && silent_for < self.settings.timing.connected_within();
        let caught_up = !progress.needs_snapshot && progress.match_index >= self.commit_index;
        let reachable = !voter.address.is_empty() || voters.contains_key(daemon);
        let leaves = progress.left.is_some_and(|at| now.since(at) < LEAVE_REMEMBERED);
        let unwanted = leaves || self.unwanted_hosts.contains(voter.host());
        Peer { eligible: answers && caught_up && reachable, voter, silent_for, unwanted }
    }
}
