//! How many more losses are borne at a moment, beside what the deployment
//! states should be.
use crate::prelude::*;

/// Machines that decide or keep something together: they go on while a
/// majority of them is there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuorumGroup {
    /// All of them, those that are not there among them.
    pub size: usize,
    /// The zone of each that is there.
    pub present: Vec<Zone>,
}

impl QuorumGroup {
    fn majority(&self) -> usize {
        self.size / 2 + 1
    }

    /// How many more machines may go.
    pub fn spare_machines(&self) -> usize {
        self.present.len().saturating_sub(self.majority())
    }

    /// Whether a majority is left when any `count` zones go.
    pub fn survives_zone_losses(&self, count: usize) -> bool {
        let mut seats: BTreeMap<&Zone, usize> = BTreeMap::new();
        for zone in &self.present {
            *seats.entry(zone).or_default() += 1;
        }
        let mut seats: Vec<usize> = seats.into_values().collect();
        seats.sort_unstable();
        seats.iter().rev().skip(count).sum::<usize>() >= self.majority()
    }

    /// Whether the stated losses are borne.
    pub fn tolerates(&self, stated: &Tolerance) -> bool {
        self.spare_machines() >= stated.machines && self.survives_zone_losses(stated.zones)
    }
}

/// The voters of the placement group, and the weakest of the write sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Redundancy {
    pub voters: QuorumGroup,
    pub weakest_write_set: Option<QuorumGroup>,
    /// Write sets that do not bear the stated losses.
    pub weak_write_sets: usize,
}

impl Redundancy {
    pub fn new(voters: QuorumGroup, sets: Vec<QuorumGroup>, stated: &Tolerance) -> Redundancy {
        let weak_sets = sets.iter().filter(|set| !set.tolerates(stated)).count();
        let weakest_set = sets.into_iter().min_by_key(|set| (set.tolerates(stated), set.spare_machines()));
        Redundancy { voters, weakest_write_set: weakest_set, weak_write_sets: weak_sets }
    }

    /// What falls short of the stated losses, in words; empty if nothing does.
    pub fn shortfall(&self, stated: &Tolerance) -> Vec<String> {
        let words = |name: &str, group: &QuorumGroup| {
            let zones = if group.survives_zone_losses(stated.zones) { "bear" } else { "do not bear" };
            let (machines, wanted) = (group.spare_machines(), stated.machines);
            format!("{name} bear {machines} of {wanted} machines and {zones} {} zones", stated.zones)
        };
        let mut short = Vec::new();
        if !self.voters.tolerates(stated) {
            short.push(words("voters", &self.voters));
        }
        if let Some(set) = self.weakest_write_set.as_ref().filter(|_| self.weak_write_sets > 0) {
            short.push(words(&format!("{} write sets", self.weak_write_sets), set));
        }
        if stated.regions > 0 {
            short.push(format!("the loss of {} regions is not planned for: only zones are known", stated.regions));
        }
        short
    }
}
