//! How many further failures the deployment tolerates at the moment, compared with how
//! many its settings require.
use crate::prelude::*;

/// Machines that replicate something together: they can work while a majority of them
/// is present.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuorumGroup {
    /// How many there are, present or not.
    pub size: usize,
    /// The zone of each machine that is present.
    pub present: Vec<Zone>,
}

impl QuorumGroup {
    fn majority(&self) -> usize {
        self.size / 2 + 1
    }

    /// How many more machines may fail.
    pub fn spare_machines(&self) -> usize {
        self.present.len().saturating_sub(self.majority())
    }

    /// Whether a majority is left when any `count` zones fail.
    pub fn survives_zone_losses(&self, count: usize) -> bool {
        let mut per_zone: BTreeMap<&Zone, usize> = BTreeMap::new();
        for zone in &self.present {
            *per_zone.entry(zone).or_default() += 1;
        }
        let mut sizes: Vec<usize> = per_zone.into_values().collect();
        sizes.sort_unstable();
        sizes.iter().rev().skip(count).sum::<usize>() >= self.majority()
    }

    /// Whether the required failures are tolerated.
    pub fn tolerates(&self, required: &Tolerance) -> bool {
        self.spare_machines() >= required.machines && self.survives_zone_losses(required.zones)
    }
}

/// The voters of the placement group, and the weakest of the write sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Redundancy {
    pub voters: QuorumGroup,
    pub weakest_write_set: Option<QuorumGroup>,
    /// How many write sets don't tolerate the required failures.
    pub weak_write_sets: usize,
}

impl Redundancy {
    pub fn new(voters: QuorumGroup, sets: Vec<QuorumGroup>, required: &Tolerance) -> Redundancy {
        let weak_write_sets = sets.iter().filter(|set| !set.tolerates(required)).count();
        let weakest_write_set = sets.into_iter().min_by_key(|set| (set.tolerates(required), set.spare_machines()));
        Redundancy { voters, weakest_write_set, weak_write_sets }
    }

    /// A text for each requirement that is not met; empty if all are.
    pub fn shortfall(&self, required: &Tolerance) -> Vec<String> {
        let describe = |name: &str, group: &QuorumGroup| {
            let zones = if group.survives_zone_losses(required.zones) { "bear" } else { "do not bear" };
            let (machines, wanted) = (group.spare_machines(), required.machines);
            format!("{name} bear {machines} of {wanted} machines and {zones} {} zones", required.zones)
        };
        let mut shortfalls = Vec::new();
        if !self.voters.tolerates(required) {
            shortfalls.push(describe("voters", &self.voters));
        }
        if let Some(set) = self.weakest_write_set.as_ref().filter(|_| self.weak_write_sets > 0) {
            shortfalls.push(describe(&format!("{} write sets", self.weak_write_sets), set));
        }
        if required.regions > 0 {
            shortfalls.push(format!("the loss of {} regions is not planned for: only zones are known", required.regions));
        }
        shortfalls
    }
}
