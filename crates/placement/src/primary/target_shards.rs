//! Duties of reach: which there are, and where they are at home.
use super::grants::HOLDER_AVOIDANCE_TIME;
use super::ConnectivityFault;
use crate::prelude::*;

/// A delivery is no home before it has been live for so long.
const MIN_LIVE_TIME: Span = Span::secs(3);
/// Asked to go home at once, at most.
const MAX_MOVES_TO_OWN_ZONE: usize = 2;
/// After so long without a cut, an earlier one is forgotten.
const FAULT_RESET_TIME: Span = Span::secs(300);

/// The zone a duty belongs to, if it belongs to one.
pub fn own_zone(duty: &Duty) -> Option<Zone> {
    let Duty::TargetShard(name) = duty else { return None };
    let (zone, _) = name.rsplit_once('/')?;
    (!zone.is_empty()).then(|| Zone(zone.to_string()))
}

impl Placement {
    /// What the primary grants.
    pub fn duties(&self) -> &BTreeSet<Duty> {
        &self.duties
    }
    /// Counts the duties anew: the configuration's, and with routes those of every
    /// zone in which a daemon or a listed worker stands.
    pub(super) fn update_duties(&mut self) {
        let mut all = self.rules.duties();
        if self.rules.spool > 0 {
            let members = self.hard.members.values().map(|m| &m.zone);
            let zones: BTreeSet<&Zone> = members.chain(self.worker_list.workers.iter().map(|w| &w.zone)).collect();
            all.extend(Duty::unlisted_address_shards());
            all.extend(zones.into_iter().flat_map(Duty::worker_shards_in));
        }
        self.duties = all;
    }
    /// Whether a claim of this duty is to be believed. A zone need not be
    /// listed (yet), so that a take-over finds all that is held.
    pub(super) fn is_valid_duty(&self, duty: &Duty) -> bool {
        let part = || own_zone(duty).is_some_and(|z| Duty::worker_shards_in(&z).any(|d| d == *duty));
        self.duties.contains(duty) || self.rules.spool > 0 && part()
    }
    /// The duties there are, with those of reach that anyone tells of.
    pub(super) fn known_and_claimed_duties(&self) -> BTreeSet<Duty> {
        let reports = || self.daemons.values().filter_map(|s| s.report.as_ref());
        let claimed = reports().flat_map(|r| r.claims.iter().map(|c| &c.duty));
        let seen = reports().flat_map(|r| r.seen.iter().map(|s| &s.0));
        let told = claimed.chain(seen).filter(|d| self.is_valid_duty(d));
        self.duties.iter().chain(told).cloned().collect()
    }
    /// Whether a delivery stands outside a duty's own zone.
    pub(super) fn is_outside_own_zone(&self, duty: &Duty, d: &Daemon) -> bool {
        let home = own_zone(duty);
        home.is_some() && home != self.hard.members.get(d).map(|m| m.zone.clone())
    }
    /// Deliveries among which a duty may be evened out: those of its own zone
    /// while any of them is live.
    pub(super) fn preferred_deliveries(&self, duty: &Duty, now: Time) -> Vec<Daemon> {
        let all = || self.hard.of(DaemonKind::Delivery).map(|m| m.id.clone());
        let near: Vec<Daemon> = all().filter(|d| !self.is_outside_own_zone(duty, d) && self.is_live(d, now)).collect();
        if near.is_empty() {
            return all().collect();
        }
        near
    }
    /// Asks holders abroad to give up what a delivery of the duty's own zone
    /// can take. Ends: each such move leaves one duty less abroad.
    pub(super) fn request_moves_to_own_zone(&mut self, held: &[(Duty, Daemon)], now: Time) -> bool {
        let settled =
            |d: &Daemon| self.is_live(d, now) && self.daemons.get(d).is_some_and(|s| now.since(s.since) >= MIN_LIVE_TIME);
        let home: Vec<Duty> = held
            .iter()
            .filter(|(duty, holder)| self.is_outside_own_zone(duty, holder) && !self.is_move_delayed(duty, now))
            .filter(|(duty, _)| {
                self.hard.of(DaemonKind::Delivery).any(|m| !self.is_outside_own_zone(duty, &m.id) && settled(&m.id))
            })
            .map(|(duty, _)| duty.clone())
            .take(MAX_MOVES_TO_OWN_ZONE)
            .collect();
        let any = !home.is_empty();
        self.release_requests.extend(home.into_iter().map(|d| (d, now)));
        any
    }
    /// Cut apart a short while ago; the while doubles each time.
    fn is_move_delayed(&self, duty: &Duty, now: Time) -> bool {
        self.connectivity_faults.get(duty).is_some_and(|a| now.since(a.at) < HOLDER_AVOIDANCE_TIME.times(2 << a.times.min(4)))
    }
    /// Notes that a store and the holder of a duty do not reach each other.
    pub(super) fn record_connectivity_fault(&mut self, duty: &Duty, holder: Daemon, zone: Option<Zone>, now: Time) {
        let before = self.connectivity_faults.get(duty).filter(|a| now.since(a.at) < FAULT_RESET_TIME);
        let times = before.map_or(0, |a| a.times + 1);
        self.connectivity_faults.insert(duty.clone(), ConnectivityFault { holder, zone, at: now, times });
    }
    /// How ill a delivery fits a duty that was cut apart before: rather one
    /// that stands with the store, or for what many stores feed, in neither
    /// of their zones.
    pub(super) fn connectivity_penalty(&self, duty: &Duty, d: &Daemon, now: Time) -> u8 {
        let Some(apart) = self.connectivity_faults.get(duty).filter(|a| now.since(a.at) < HOLDER_AVOIDANCE_TIME) else {
            return 0;
        };
        let at = |x: &Daemon| self.hard.members.get(x).map(|m| m.zone.clone());
        let (here, there) = (at(d), at(&apart.holder));
        match duty {
            _ if *d == apart.holder => 3,
            Duty::Endpoint(_) | Duty::TargetShard(_) => u8::from(here == there || here == apart.zone),
            _ => u8::from(here != apart.zone),
        }
    }
}
