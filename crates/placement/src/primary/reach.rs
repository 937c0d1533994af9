//! Duties of reach: which there are, and where they are at home.
use super::grants::APART;
use super::Apart;
use crate::prelude::*;

/// A delivery is no home before it has been live for so long.
const SETTLED: Span = Span::secs(3);
/// Asked to go home at once, at most.
const HOMEWARD: usize = 2;
/// After so long without a cut, an earlier one is forgotten.
const FORGIVEN: Span = Span::secs(300);

/// The zone a duty belongs to, if it belongs to one.
pub fn home_of(duty: &Duty) -> Option<Zone> {
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
    pub(super) fn recount(&mut self) {
        let mut all = self.rules.duties();
        if self.rules.spool_partitions > 0 {
            let members = self.hard.members.values().map(|m| &m.zone);
            let zones: BTreeSet<&Zone> = members.chain(self.list.workers.iter().map(|w| &w.zone)).collect();
            all.extend(Duty::unlisted_address_shards());
            all.extend(zones.into_iter().flat_map(Duty::worker_shards_in));
        }
        self.duties = all;
    }
    /// Whether a claim of this duty is to be believed. A zone need not be
    /// listed (yet), so that a take-over finds all that is held.
    pub(super) fn calls_for(&self, duty: &Duty) -> bool {
        let part = || home_of(duty).is_some_and(|z| Duty::worker_shards_in(&z).any(|d| d == *duty));
        self.duties.contains(duty) || self.rules.spool_partitions > 0 && part()
    }
    /// The duties there are, with those of reach that anyone tells of.
    pub(super) fn known_duties(&self) -> BTreeSet<Duty> {
        let reports = || self.seen.values().filter_map(|s| s.report.as_ref());
        let claimed = reports().flat_map(|r| r.claims.iter().map(|c| &c.duty));
        let seen = reports().flat_map(|r| r.seen.iter().map(|s| &s.0));
        let told = claimed.chain(seen).filter(|d| self.calls_for(d));
        self.duties.iter().chain(told).cloned().collect()
    }
    /// Whether a delivery stands outside a duty's own zone.
    pub(super) fn abroad(&self, duty: &Duty, d: &Daemon) -> bool {
        let home = home_of(duty);
        home.is_some() && home != self.hard.members.get(d).map(|m| m.zone.clone())
    }
    /// Deliveries among which a duty may be evened out: those of its own zone
    /// while any of them is live.
    pub(super) fn homes(&self, duty: &Duty, now: Time) -> Vec<Daemon> {
        let all = || self.hard.of(DaemonKind::Delivery).map(|m| m.id.clone());
        let near: Vec<Daemon> = all().filter(|d| !self.abroad(duty, d) && self.live(d, now)).collect();
        if near.is_empty() {
            return all().collect();
        }
        near
    }
    /// Asks holders abroad to give up what a delivery of the duty's own zone
    /// can take. Ends: each such move leaves one duty less abroad.
    pub(super) fn send_home(&mut self, held: &[(Duty, Daemon)], now: Time) -> bool {
        let settled = |d: &Daemon| self.live(d, now) && self.seen.get(d).is_some_and(|s| now.since(s.since) >= SETTLED);
        let home: Vec<Duty> = held
            .iter()
            .filter(|(duty, holder)| self.abroad(duty, holder) && !self.kept_away(duty, now))
            .filter(|(duty, _)| self.hard.of(DaemonKind::Delivery).any(|m| !self.abroad(duty, &m.id) && settled(&m.id)))
            .map(|(duty, _)| duty.clone())
            .take(HOMEWARD)
            .collect();
        let any = !home.is_empty();
        self.shed.extend(home.into_iter().map(|d| (d, now)));
        any
    }
    /// Cut apart a short while ago; the while doubles each time.
    fn kept_away(&self, duty: &Duty, now: Time) -> bool {
        self.apart.get(duty).is_some_and(|a| now.since(a.at) < APART.times(2 << a.times.min(4)))
    }
    /// Notes that a store and the holder of a duty do not reach each other.
    pub(super) fn part(&mut self, duty: &Duty, holder: Daemon, zone: Option<Zone>, now: Time) {
        let before = self.apart.get(duty).filter(|a| now.since(a.at) < FORGIVEN);
        let times = before.map_or(0, |a| a.times + 1);
        self.apart.insert(duty.clone(), Apart { holder, zone, at: now, times });
    }
    /// How ill a delivery fits a duty that was cut apart before: rather one
    /// that stands with the store, or for what many stores feed, in neither
    /// of their zones.
    pub(super) fn ill(&self, duty: &Duty, d: &Daemon, now: Time) -> u8 {
        let Some(apart) = self.apart.get(duty).filter(|a| now.since(a.at) < APART) else { return 0 };
        let at = |x: &Daemon| self.hard.members.get(x).map(|m| m.zone.clone());
        let (here, there) = (at(d), at(&apart.holder));
        match duty {
            _ if *d == apart.holder => 3,
            Duty::Endpoint(_) | Duty::TargetShard(_) => u8::from(here == there || here == apart.zone),
            _ => u8::from(here != apart.zone),
        }
    }
}
