//! Machines that come, go and are replaced, and what else befalls a fleet.
use crate::prelude::*;

/// A new machine starts so long after it was ordered, and up to as much more.
const ORDERED: Span = Span::millis(1500);
/// Seeds that a settings file names.
const SEEDS: usize = 3;

impl World {
    /// The placement daemons of the fleet, as the operators' list has them.
    pub fn placements(&self) -> Vec<Daemon> {
        self.fleet.iter().filter(|d| d.kind() == DaemonKind::Placement).cloned().collect()
    }

    /// The daemon of the fleet at an address, `host:port`.
    pub(super) fn at_address(&self, address: &str) -> Option<Daemon> {
        let host = address.split(':').next().unwrap_or_default();
        let here = |d: &&Daemon| self.nodes.get(*d).is_some_and(|node| node.host == host);
        self.fleet.iter().find(here).cloned()
    }

    pub(super) fn fleet_act(&mut self, act: FleetAct) {
        self.count(act.label(), 1);
        match act {
            FleetAct::Replace(who, new) => {
                let who = self.name(&who);
                self.remove(&who);
                self.join(Daemon(new));
            }
            FleetAct::Add(new) => self.join(Daemon(new)),
            FleetAct::Remove(who) => {
                let who = self.name(&who);
                self.remove(&who);
            }
            FleetAct::Address(who, other) => self.take_address(&Daemon(who), &Daemon(other)),
            FleetAct::Seeds(who, seeds) => {
                let who = self.name(&who);
                if let Some(node) = self.nodes.get_mut(&who) {
                    node.seeds = seeds.into_iter().map(Daemon).collect();
                }
            }
            FleetAct::Power(who) => self.named(&who).iter().for_each(|d| self.power_off(d)),
            FleetAct::Fill(who) => self.set_full(&who, true),
            FleetAct::Free(who) => self.set_full(&who, false),
            FleetAct::Stall(who, time) => {
                let until = self.now + time;
                let who = self.name(&who);
                if let Some(node) = self.nodes.get_mut(&who) {
                    node.disk.stalled_until = until;
                }
            }
            FleetAct::LoseAnswers(share) => self.lost_answers = share,
            FleetAct::AfterAcknowledgement(fault, who) => self.after_acknowledgement.push((fault, who)),
            FleetAct::Rivals(count) => self.rivals(count),
            FleetAct::Reads(pace) => {
                self.reads = Some(pace);
                self.read_configuration();
            }
            FleetAct::Calls(fault, share) => self.call_faults.set(fault, share),
        }
    }

    /// One daemon, the leader, or all of a zone or of the fleet.
    pub(super) fn named(&mut self, who: &str) -> Vec<Daemon> {
        match who {
            "all" => self.all(None),
            zone if !zone.contains('-') && zone.starts_with('z') => self.all(Some(zone)),
            who => vec![self.name(who)],
        }
    }

    /// A machine is gone for good, with its disk.
    fn remove(&mut self, who: &Daemon) {
        self.kill(who);
        self.fleet.retain(|d| d != who);
        if let Some(node) = self.nodes.get_mut(who) {
            node.disk = Disk::default();
            node.removed = true;
        }
    }

    /// A machine is ordered, and starts some time later.
    fn join(&mut self, new: Daemon) {
        let offset = 1_000_000_000 + self.rng.u64(..1_000_000_000);
        let seeds = self.placements().into_iter().filter(|d| *d != new).take(SEEDS).collect();
        let mut node = Node::new(new.clone(), offset);
        node.seeds = seeds;
        self.nodes.insert(new.clone(), node);
        self.fleet.push(new.clone());
        let wait = ORDERED + Span(self.rng.u64(..ORDERED.0));
        self.soon(wait, Ev::Join(new));
    }

    fn take_address(&mut self, who: &Daemon, other: &Daemon) {
        let Some(host) = self.nodes.get(other).map(|node| node.host.clone()) else { return };
        if let Some(node) = self.nodes.get_mut(who) {
            node.host = host;
        }
    }

    fn set_full(&mut self, who: &str, full: bool) {
        let who = self.name(who);
        if let Some(node) = self.nodes.get_mut(&who) {
            node.disk.full = full;
        }
    }

    /// Strikes what was to be struck right after an acknowledgement.
    pub(super) fn acknowledged(&mut self) {
        for (fault, who) in std::mem::take(&mut self.after_acknowledgement) {
            // After the step that sent the acknowledgement is over.
            self.soon(Span(1), Ev::Strike(fault, who));
        }
    }

    pub(super) fn strike(&mut self, fault: Fault, who: &str) {
        if fault == Fault::Power {
            return self.act(Act::Fleet(FleetAct::Power(who.to_string())));
        }
        for daemon in self.named(who) {
            match fault {
                Fault::Wipe => self.act(Act::Wipe(daemon.0)),
                _ => self.act(Act::Kill(daemon.0)),
            }
        }
    }
}
