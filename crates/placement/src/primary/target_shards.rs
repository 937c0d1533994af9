//! Duties for target shards (`Duty::TargetShard`): which ones exist, and in which zone they
//! belong.
use super::grants::HOLDER_AVOIDANCE_TIME;
use super::ConnectivityFault;
use crate::prelude::*;

/// A delivery daemon gets duties of its own zone back only after it has been live for this
/// long.
const MIN_LIVE_TIME: Span = Span::secs(3);
/// The most duties that are asked at once to move to their own zone.
const MAX_MOVES_TO_OWN_ZONE: usize = 2;
/// After this long without a connectivity fault an earlier one no longer counts.
const FAULT_RESET_TIME: Span = Span::secs(300);

/// The zone a duty belongs to, if it belongs to one.
pub fn own_zone(duty: &Duty) -> Option<Zone> {
    let Duty::TargetShard(name) = duty else { return None };
    let (zone, _) = name.rsplit_once('/')?;
    (!zone.is_empty()).then(|| Zone(zone.to_string()))
}

impl Placement {
    /// The duties that the primary has to grant.
    pub fn duties(&self) -> &BTreeSet<Duty> {
        &self.duties
    }
    /// Recomputes the duties: those of the configuration and, if it has routes, the target
    /// shards of every zone in which a member or a listed worker is.
    pub(super) fn update_duties(&mut self) {
        let mut all = self.rules.duties();
        if self.rules.spool_partitions > 0 {
            let members = self.committed.members.values().map(|m| &m.zone);
            let zones: BTreeSet<&Zone> = members.chain(self.worker_list.workers.iter().map(|w| &w.zone)).collect();
            all.extend(Duty::unlisted_address_shards());
            all.extend(zones.into_iter().flat_map(Duty::worker_shards_in));
        }
        self.duties = all;
    }
    /// Whether a claim of this duty is accepted. Its zone need not be known (yet), so that
    /// a failover finds all duties that are held.
    pub(super) fn is_valid_duty(&self, duty: &Duty) -> bool {
        let is_zone_shard = || own_zone(duty).is_some_and(|z| Duty::worker_shards_in(&z).any(|d| d == *duty));
        self.duties.contains(duty) || self.rules.spool_partitions > 0 && is_zone_shard()
    }
    /// The duties that exist, and those target shards that any daemon reports.
    pub(super) fn known_and_claimed_duties(&self) -> BTreeSet<Duty> {
        let reports = || self.daemons.values().filter_map(|s| s.report.as_ref());
        let claimed = reports().flat_map(|r| r.claims.iter().map(|c| &c.duty));
        let seen = reports().flat_map(|r| r.last_seen_holders.iter().map(|s| &s.0));
        let reported = claimed.chain(seen).filter(|d| self.is_valid_duty(d));
        self.duties.iter().chain(reported).cloned().collect()
    }
    /// Whether a delivery daemon is outside the zone that a duty belongs to.
    pub(super) fn is_outside_own_zone(&self, duty: &Duty, d: &Daemon) -> bool {
        let zone = own_zone(duty);
        zone.is_some() && zone != self.committed.members.get(d).map(|m| m.zone.clone())
    }
    /// The delivery daemons among which a duty may be balanced: those of its own zone while
    /// any of them is live, otherwise all.
    pub(super) fn preferred_deliveries(&self, duty: &Duty, now: Time) -> Vec<Daemon> {
        let all = || self.committed.members_of_kind(DaemonKind::Delivery).map(|m| m.id.clone());
        let in_own_zone: Vec<Daemon> = all().filter(|d| !self.is_outside_own_zone(duty, d) && self.is_live(d, now)).collect();
        if in_own_zone.is_empty() {
            return all().collect();
        }
        in_own_zone
    }
    /// Asks holders outside the own zone of a duty to release it if a delivery daemon of
    /// that zone can take it. This ends: each move leaves one duty fewer outside its zone.
    pub(super) fn request_moves_to_own_zone(&mut self, held: &[(Duty, Daemon)], now: Time) -> bool {
        let is_established =
            |d: &Daemon| self.is_live(d, now) && self.daemons.get(d).is_some_and(|s| now.since(s.live_since) >= MIN_LIVE_TIME);
        let moves: Vec<Duty> = held
            .iter()
            .filter(|(duty, holder)| self.is_outside_own_zone(duty, holder) && !self.is_move_delayed(duty, now))
            .filter(|(duty, _)| {
                self.committed
                    .members_of_kind(DaemonKind::Delivery)
                    .any(|m| !self.is_outside_own_zone(duty, &m.id) && is_established(&m.id))
            })
            .map(|(duty, _)| duty.clone())
            .take(MAX_MOVES_TO_OWN_ZONE)
            .collect();
        let any = !moves.is_empty();
        self.release_requests.extend(moves.into_iter().map(|d| (d, now)));
        any
    }
    /// Whether a connectivity fault was so recent that the duty stays where it is; the time
    /// doubles with each recurrence.
    fn is_move_delayed(&self, duty: &Duty, now: Time) -> bool {
        self.connectivity_faults
            .get(duty)
            .is_some_and(|f| now.since(f.reported_at) < HOLDER_AVOIDANCE_TIME.times(2 << f.recurrences.min(4)))
    }
    /// Records that a store and the holder of a duty do not reach each other.
    pub(super) fn record_connectivity_fault(&mut self, duty: &Duty, holder: Daemon, store_zone: Option<Zone>, now: Time) {
        let previous = self.connectivity_faults.get(duty).filter(|f| now.since(f.reported_at) < FAULT_RESET_TIME);
        let recurrences = previous.map_or(0, |f| f.recurrences + 1);
        self.connectivity_faults.insert(duty.clone(), ConnectivityFault { holder, store_zone, reported_at: now, recurrences });
    }
    /// How unsuitable a delivery daemon is for a duty with a recent connectivity fault; 0
    /// is best. For a duty fed by one store, daemons in the zone of that store are
    /// preferred; for one fed by many stores, daemons that are neither in its zone nor in
    /// the zone of the old holder.
    pub(super) fn connectivity_penalty(&self, duty: &Duty, d: &Daemon, now: Time) -> u8 {
        let Some(fault) = self.connectivity_faults.get(duty).filter(|f| now.since(f.reported_at) < HOLDER_AVOIDANCE_TIME) else {
            return 0;
        };
        let zone_of = |x: &Daemon| self.committed.members.get(x).map(|m| m.zone.clone());
        let (zone, holder_zone) = (zone_of(d), zone_of(&fault.holder));
        match duty {
            _ if *d == fault.holder => 3,
            Duty::Endpoint(_) | Duty::TargetShard(_) => u8::from(zone == holder_zone || zone == fault.store_zone),
            _ => u8::from(zone != fault.store_zone),
        }
    }
}
