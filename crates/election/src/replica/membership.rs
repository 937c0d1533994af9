//! How replicas join and leave, and how the leader changes the voters.
use super::*;
use crate::configuration::Voters;
use crate::membership_policy::{next_voters, PeerStatus};

impl<C: Clone + PartialEq> Replica<C> {
    /// Sets the hosts that are being retired; the leader replaces the voters on them.
    pub fn set_excluded_hosts(&mut self, hosts: BTreeSet<String>) {
        self.excluded_hosts = hosts;
    }

    /// Begins a planned stop. A leader without a possible replacement transfers
    /// leadership at once.
    pub fn leave(&mut self, now: Time) -> Vec<Action<C>> {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.next_announcement_at = now;
        }
        if self.role == Role::Leader && !self.has_replacement(now) {
            self.begin_transfer(now);
        }
        self.announce_membership(now);
        self.finish_step()
    }

    /// Whether this replica, which is leaving, can stop now: it has been
    /// replaced as a voter, no replacement exists, or it has waited long enough.
    pub fn can_stop(&self, now: Time) -> bool {
        let Some(since) = self.leaving_since else { return false };
        let replaced = !self.is_voter() && self.configuration_index <= self.commit_index;
        let needs_no_replacement = replaced || self.leave_accepted || self.role == Role::Bootstrapping;
        let timed_out = now.since(since) >= LEAVE_TIMEOUT;
        timed_out || (needs_no_replacement && self.role != Role::Leader)
    }

    /// Sends `Join` to all known replicas if no leader is known, and `Leave` to
    /// the leader if this replica is about to stop.
    pub(super) fn announce_membership(&mut self, now: Time) {
        if now < self.next_announcement_at || matches!(self.role, Role::Leader | Role::Bootstrapping) {
            return;
        }
        self.next_announcement_at = now + self.settings.timing.heartbeat.times(HEARTBEATS_PER_ANNOUNCEMENT);
        match (self.leader(now).cloned(), self.leaving_since) {
            (Some(leader), Some(_)) => {
                let disk_id = self.state.disk_id;
                self.send(leader, Message::Leave { disk_id });
            }
            (Some(_), None) => {}
            (None, _) => self.send_join_to_all(),
        }
    }

    fn send_join_to_all(&mut self) {
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
        let next_index = self.state.last_index() + 1;
        let progress = self.progress.entry(from.clone()).or_insert_with(|| Progress::new(next_index, now));
        progress.announced_voter = Some(voter);
        progress.leave_requested_at = None;
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

    pub(super) fn on_leave(&mut self, from: Daemon, disk_id: IncarnationId, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from).filter(|p| p.disk_id == disk_id) {
            progress.leave_requested_at = Some(now);
        }
        self.change_membership(now);
        // While a change is in progress the sender waits, since that change may
        // replace it. It also waits if a replacement exists that has not caught up.
        let replaced = !self.configuration.is_voter(&from, disk_id);
        if self.is_membership_stable() && (replaced || !self.has_replacement(now)) {
            self.send(from, Message::LeaveAccepted { disk_id });
        }
    }

    /// Whether the latest configuration is committed and not joint.
    pub fn is_membership_stable(&self) -> bool {
        !self.configuration.is_joint() && self.configuration_index <= self.commit_index
    }

    /// Stops tracking learners that have been silent for long.
    pub(super) fn drop_silent_learners(&mut self, now: Time) {
        let voters = self.configuration.voter_names();
        self.progress.retain(|daemon, progress| voters.contains(daemon) || progress.silent_for(now) < LEARNER_SILENCE_LIMIT);
    }

    /// Proposes the next configuration if the policy wants other voters and
    /// the latest configuration is committed.
    pub(super) fn change_membership(&mut self, now: Time) {
        if !self.is_membership_stable() || !self.is_active_leader(now) {
            return;
        }
        let peers = self.peer_statuses(now);
        let Some(voters) = next_voters(&self.configuration.voters, &peers, &self.settings.policy) else { return };
        let outgoing = Some(self.configuration.voters.clone());
        self.append_entry(Command::Configure(Configuration { voters, outgoing }));
        self.track_voters(now);
        self.replicate(now);
    }

    /// Proposes the final configuration of a change once its joint
    /// configuration is committed. When that is committed too, a leader that
    /// is no longer a voter transfers leadership.
    pub(super) fn complete_membership_change(&mut self, now: Time) {
        if self.role != Role::Leader || self.configuration_index > self.commit_index {
            return;
        }
        if self.configuration.is_joint() {
            self.remember_outgoing_voters();
            let voters = self.configuration.voters.clone();
            self.append_entry(Command::Configure(Configuration::simple(voters)));
            self.replicate(now);
        } else if !self.is_voter() {
            self.begin_transfer(now);
        }
    }

    /// Keeps the address and zone of voters that the change removes. They know
    /// this leader, so they will not announce themselves, but they can become
    /// voters again.
    fn remember_outgoing_voters(&mut self) {
        for (daemon, voter) in self.configuration.outgoing.iter().flatten() {
            if let Some(progress) = self.progress.get_mut(daemon) {
                progress.announced_voter.get_or_insert_with(|| voter.clone());
            }
        }
    }

    /// Whether a connected non-voter exists that may become a voter.
    fn has_replacement(&self, now: Time) -> bool {
        let is_replacement = |(daemon, peer): (&Daemon, &PeerStatus)| {
            let outside = !self.configuration.voters.contains_key(daemon);
            outside && !peer.excluded && peer.silent_for < self.settings.timing.disconnected_after()
        };
        self.peer_statuses(now).iter().any(is_replacement)
    }

    /// The voters that are connected to this leader with the data directory
    /// that the configuration names, including the leader itself.
    pub fn connected_voters(&self, now: Time) -> Vec<(Daemon, Voter)> {
        let is_connected = |daemon: &Daemon, voter: &Voter| {
            let progress = self
                .progress
                .get(daemon)
                .filter(|progress| progress.disk_id == voter.disk_id && progress.last_acked_sent_at > Time(0));
            progress.is_some_and(|progress| progress.silent_for(now) < self.settings.timing.disconnected_after())
        };
        let voters = self.configuration.voters.iter();
        let connected = voters.filter(|(daemon, voter)| **daemon == self.settings.id || is_connected(daemon, voter));
        connected.map(|(daemon, voter)| (daemon.clone(), voter.clone())).collect()
    }

    fn peer_statuses(&self, now: Time) -> BTreeMap<Daemon, PeerStatus> {
        let mut peers: BTreeMap<Daemon, PeerStatus> =
            self.progress.iter().map(|(daemon, progress)| (daemon.clone(), self.peer_status(daemon, progress, now))).collect();
        let voter = self.as_voter();
        let excluded = self.leaving_since.is_some() || self.excluded_hosts.contains(voter.host());
        let own_status = PeerStatus { voter, silent_for: Span::ZERO, eligible: true, excluded };
        peers.insert(self.settings.id.clone(), own_status);
        peers
    }

    fn peer_status(&self, daemon: &Daemon, progress: &Progress, now: Time) -> PeerStatus {
        let voters: &Voters = &self.configuration.voters;
        let known = progress.announced_voter.as_ref().or_else(|| voters.get(daemon)).cloned().unwrap_or_default();
        let voter = Voter { disk_id: progress.disk_id, ..known };
        let silent_for = progress.silent_for(now);
        let is_connected = progress.last_acked_sent_at > Time(0) && silent_for < self.settings.timing.disconnected_after();
        let is_caught_up = !progress.needs_snapshot && progress.match_index >= self.commit_index;
        let is_reachable = !voter.address.is_empty() || voters.contains_key(daemon);
        let is_leaving = progress.leave_requested_at.is_some_and(|at| now.since(at) < LEAVE_REQUEST_VALID_FOR);
        let excluded = is_leaving || self.excluded_hosts.contains(voter.host());
        PeerStatus { eligible: is_connected && is_caught_up && is_reachable, voter, silent_for, excluded }
    }
}
