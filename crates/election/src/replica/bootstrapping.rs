//! The first start of a group: all founding replicas find each other.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    pub(super) fn announce_bootstrap(&mut self, now: Time) {
        if now < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = now + self.settings.timing.heartbeat;
        let others: Vec<Daemon> = self.other_founders().cloned().collect();
        if others.is_empty() {
            return self.found(now);
        }
        for daemon in others {
            let voter = self.as_voter();
            self.send(daemon, Message::Bootstrap { voter, is_reply: false });
        }
    }

    fn other_founders(&self) -> impl Iterator<Item = &Daemon> {
        self.settings.seeds.iter().filter(|daemon| **daemon != self.settings.id)
    }

    pub(super) fn on_bootstrap(&mut self, from: Daemon, voter: Voter, is_reply: bool, now: Time) {
        if self.role != Role::Bootstrapping {
            // A founder that missed our message while we founded is told again.
            let founded_together = self.state.initialized && self.configuration.is_voter(&from, voter.disk_id);
            if !is_reply && founded_together {
                let voter = self.as_voter();
                self.send(from, Message::Bootstrap { voter, is_reply: true });
            }
            return;
        }
        if !self.other_founders().any(|daemon| *daemon == from) {
            return;
        }
        self.founders.insert(from, voter);
        if self.founders.len() == self.other_founders().count() {
            self.found(now);
        }
    }

    fn found(&mut self, now: Time) {
        let mut voters = std::mem::take(&mut self.founders);
        voters.insert(self.me().clone(), self.as_voter());
        self.state.snapshot.configuration = Configuration::simple(voters);
        self.state.initialized = true;
        self.dirty = true;
        self.refresh_configuration();
        self.become_role(Role::Follower, now);
    }
}
