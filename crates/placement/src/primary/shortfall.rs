//! Warns operators when fewer further failures could be survived than required.
use crate::prelude::*;
use serde_json::{json, Value};

/// Time between two checks.
const CHECK_INTERVAL: Span = Span::secs(1);
/// A shortfall is reported after it has lasted this long: a restart is over before.
const REPORT_DELAY: Span = Span::secs(2);

/// Since when fewer failures could be survived than required, and what was reported of it.
#[derive(Debug, Default)]
pub(super) struct Shortfall {
    last_checked: Time,
    since: Option<Time>,
    reported: Vec<String>,
}

impl Placement {
    /// The redundancy of the voters and of all write sets at this moment.
    fn current_redundancy(&self, now: Time) -> Redundancy {
        let voters = self.election.connected_voters(now).into_iter().map(|(_, voter)| voter.zone).collect();
        let voters = QuorumGroup { size: self.election.configuration().voter_names().len(), present: voters };
        let sets =
            self.committed.layout.values().map(|set| QuorumGroup { size: set.len(), present: self.present_zones(set, now) });
        Redundancy::new(voters, sets.collect(), &self.startup.tolerates)
    }

    /// The zones of those stores of a write set that are live with the data folder that
    /// counts.
    fn present_zones(&self, set: &[(Daemon, IncarnationId)], now: Time) -> Vec<Zone> {
        let is_present = |seat: &&(Daemon, IncarnationId)| {
            self.is_live(&seat.0, now) && self.daemons.get(&seat.0).is_some_and(|seen| seen.disk_id == seat.1)
        };
        let present = set.iter().filter(is_present);
        present.filter_map(|seat| self.committed.members.get(&seat.0).map(|member| member.zone.clone())).collect()
    }

    /// Reports a shortfall when it has lasted for a while or changes, and when it is over.
    pub(super) fn check_redundancy(&mut self, now: Time) {
        if now.since(self.shortfall.last_checked) < CHECK_INTERVAL {
            return;
        }
        self.shortfall.last_checked = now;
        let shortfall = self.current_redundancy(now).shortfall(&self.startup.tolerates);
        if shortfall.is_empty() {
            self.shortfall.since = None;
            if !std::mem::take(&mut self.shortfall.reported).is_empty() {
                self.log(LogEvent::RedundancyRestored, "voters and write sets".to_string());
            }
            return;
        }
        let since = *self.shortfall.since.get_or_insert(now);
        if now.since(since) >= REPORT_DELAY && shortfall != self.shortfall.reported {
            self.log(LogEvent::RedundancyReduced, shortfall.join("; "));
            self.shortfall.reported = shortfall;
        }
    }

    /// For the status: the failures that could be survived now, beside those required.
    pub(super) fn redundancy_status(&self, now: Time) -> Value {
        let required = &self.startup.tolerates;
        let redundancy = self.current_redundancy(now);
        let group = |group: &QuorumGroup| {
            json!({"size": group.size, "present": group.present.len(), "machines": group.spare_machines(),
                   "zones": group.survives_zone_losses(required.zones)})
        };
        json!({
            "stated": {"machines": required.machines, "zones": required.zones, "regions": required.regions},
            "voters": group(&redundancy.voters),
            "weakest_write_set": redundancy.weakest_write_set.as_ref().map(group),
            "weak_write_sets": redundancy.weak_write_sets,
            "shortfall": redundancy.shortfall(required),
        })
    }
}
