//! The first start of a group: all seeds exchange their disk ids and addresses.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    /// Sends `Bootstrap` to the other seeds once per heartbeat interval.
    pub(super) fn announce_bootstrap(&mut self, now: Time) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.settings.timing.heartbeat;
        let others: Vec<Daemon> = self.bootstrap_peers().cloned().collect();
        if others.is_empty() {
            return self.bootstrap_group(now);
        }
        for daemon in others {
            let voter = self.as_voter();
            self.send(daemon, Message::Bootstrap { voter, is_reply: false });
        }
    }

    fn bootstrap_peers(&self) -> impl Iterator<Item = &Daemon> {
        self.settings.seeds.iter().filter(|daemon| **daemon != self.settings.id)
    }

    pub(super) fn on_bootstrap(&mut self, from: Daemon, voter: Voter, is_reply: bool, now: Time) {
        if self.role != Role::Bootstrapping {
            // The sender may have missed this replica's message before it
            // bootstrapped, so it is answered again.
            let bootstrapped_together = self.state.initialized && self.configuration.is_voter(&from, voter.disk_id);
            if !is_reply && bootstrapped_together {
                let voter = self.as_voter();
                self.send(from, Message::Bootstrap { voter, is_reply: true });
            }
            return;
        }
        if !self.bootstrap_peers().any(|daemon| *daemon == from) {
            return;
        }
        self.discovered_peers.insert(from, voter);
        if self.discovered_peers.len() == self.bootstrap_peers().count() {
            self.bootstrap_group(now);
        }
    }

    /// Starts with all seeds as voters.
    fn bootstrap_group(&mut self, now: Time) {
        let mut voters = std::mem::take(&mut self.discovered_peers);
        voters.insert(self.own_id().clone(), self.as_voter());
        self.state.snapshot.configuration = Configuration::simple(voters);
        self.state.initialized = true;
        self.dirty = true;
        self.refresh_configuration();
        self.become_role(Role::Follower, now);
    }
}
