//! Tells operators when a second loss would be one too many.
use crate::prelude::*;
use serde_json::{json, Value};

/// Between two looks.
const LOOK: Span = Span::secs(1);
/// A shortfall that lasts for so long is told: a restart is over before.
const TOLD_AFTER: Span = Span::secs(2);

/// Since when fewer losses are borne than stated, and what was told of it.
#[derive(Debug, Default)]
pub(super) struct Shortfall {
    looked: Time,
    since: Option<Time>,
    told: Vec<String>,
}

impl Placement {
    fn redundancy(&self, now: Time) -> Redundancy {
        let voters = self.election.connected_voters(now).into_iter().map(|(_, voter)| voter.zone).collect();
        let voters = Group { size: self.election.configuration().voter_names().len(), present: voters };
        let sets = self.hard.layout.values().map(|set| Group { size: set.len(), present: self.present_zones(set, now) });
        Redundancy::of(voters, sets.collect(), &self.startup.tolerates)
    }

    /// Zones of the stores of a write set that are live with the folder that
    /// counts.
    fn present_zones(&self, set: &[(Daemon, IncarnationId)], now: Time) -> Vec<Zone> {
        let is_present = |seat: &&(Daemon, IncarnationId)| {
            self.live(&seat.0, now) && self.seen.get(&seat.0).is_some_and(|seen| seen.disk == seat.1)
        };
        let present = set.iter().filter(is_present);
        present.filter_map(|seat| self.hard.members.get(&seat.0).map(|member| member.zone.clone())).collect()
    }

    /// Notes since when the stated losses are not borne, and tells of it when
    /// it lasts or changes, and when it is over.
    pub(super) fn watch_redundancy(&mut self, now: Time) {
        if now.since(self.shortfall.looked) < LOOK {
            return;
        }
        self.shortfall.looked = now;
        let short = self.redundancy(now).shortfall(&self.startup.tolerates);
        if short.is_empty() {
            self.shortfall.since = None;
            if !std::mem::take(&mut self.shortfall.told).is_empty() {
                self.note(LogEvent::RedundancyRestored, "voters and write sets".to_string());
            }
            return;
        }
        let since = *self.shortfall.since.get_or_insert(now);
        if now.since(since) >= TOLD_AFTER && short != self.shortfall.told {
            self.note(LogEvent::RedundancyReduced, short.join("; "));
            self.shortfall.told = short;
        }
    }

    /// For the status: what is borne now, beside what is stated.
    pub(super) fn redundancy_status(&self, now: Time) -> Value {
        let stated = &self.startup.tolerates;
        let redundancy = self.redundancy(now);
        let group = |group: &Group| {
            json!({"size": group.size, "present": group.present.len(), "machines": group.machines(),
                   "zones": group.bears_zones(stated.zones)})
        };
        json!({
            "stated": {"machines": stated.machines, "zones": stated.zones, "regions": stated.regions},
            "voters": group(&redundancy.voters),
            "weakest_write_set": redundancy.weakest_set.as_ref().map(group),
            "weak_write_sets": redundancy.weak_sets,
            "shortfall": redundancy.shortfall(stated),
        })
    }
}
