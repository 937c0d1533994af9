//! Which store passes a request on to a leader that the proxy can't reach.
use super::outage::Outages;
use crate::prelude::*;

/// A store that has not been tried and may still reach `leader`. A cut mostly
/// parts whole zones, so a store of a third zone comes first: one beside the
/// proxy shares its side of the cut, one beside the leader the other side.
/// Among equals, one that answered lately comes first.
pub(super) fn relay_around(
    link: &ControlPlaneLink,
    outages: &Outages,
    leader: Option<&Daemon>,
    tried: &BTreeSet<Daemon>,
    now: Time,
) -> Option<Daemon> {
    let leader_zone = leader.and_then(|k| link.zone_of(k));
    let shares_a_side = |store: &Member| store.zone == link.me.zone || Some(&store.zone) == leader_zone;
    let stores = link.members.values().filter(|m| m.id.kind() == DaemonKind::Store);
    let untried = stores.filter(|m| Some(&m.id) != leader && !tried.contains(&m.id));
    untried.min_by_key(|m| (shares_a_side(m), outages.avoids(&m.id, now))).map(|m| m.id.clone())
}
