//! The choice of a store that forwards a request to a leader that the proxy can't reach.
use super::outage::Outages;
use crate::prelude::*;

/// A store that has not been tried and may still reach `leader`. A network partition mostly
/// separates whole zones, so a store of a third zone comes first: one in the proxy's zone
/// is on the proxy's side of the split, one in the leader's zone on the other side.
/// Among equals, a store that has answered lately comes first.
pub(super) fn choose_relay(
    link: &ControlPlaneLink,
    outages: &Outages,
    leader: Option<&Daemon>,
    tried: &BTreeSet<Daemon>,
    now: Time,
) -> Option<Daemon> {
    let leader_zone = leader.and_then(|id| link.zone_of(id));
    let in_proxy_or_leader_zone = |store: &Member| store.zone == link.me.zone || Some(&store.zone) == leader_zone;
    let stores = link.members.values().filter(|m| m.id.kind() == DaemonKind::Store);
    let untried = stores.filter(|m| Some(&m.id) != leader && !tried.contains(&m.id));
    untried.min_by_key(|m| (in_proxy_or_leader_zone(m), outages.should_avoid(&m.id, now))).map(|m| m.id.clone())
}
