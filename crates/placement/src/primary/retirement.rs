//! Retiring whole storage machines: the store on one and a placement vote
//! beside it.
use super::asks::wrong;
use crate::prelude::*;
use serde_json::json;

impl Placement {
    /// The store that runs on a machine.
    fn store_on(&self, machine: &str) -> Option<&Member> {
        self.hard.of(DaemonKind::Store).find(|m| !machine.is_empty() && m.machine == machine)
    }

    /// Takes the order to empty a machine; the same order again is
    /// acknowledged again.
    pub(super) fn retire_machine(&mut self, id: RequestId, machine: &str, now: Time) -> Option<ApiResponse> {
        let Some(store) = self.store_on(machine).map(|m| m.id.clone()) else { return Some(unknown_machine()) };
        self.retire(id, store, now)
    }

    /// How far a machine's retirement is. `gone` is told only when nothing on
    /// it counts any more: no seat in a write set, and no vote.
    pub(super) fn retirement(&self, machine: &str) -> ApiResponse {
        let Some(store) = self.store_on(machine) else { return unknown_machine() };
        let Some(state) = self.hard.retiring.get(&store.id).filter(|r| **r != Retirement::None) else {
            return wrong(404, "this machine was not asked to retire; ask it to first");
        };
        let seats = self.seats_of(&store.id);
        let votes = self.votes_on(host_of(&store.addr));
        let gone = *state == Retirement::Done && seats == 0 && !votes;
        let word = if gone { "gone" } else { "leaving" };
        ApiResponse::json(200, json!({"machine": machine, "retirement": word, "seats_left": seats, "votes": votes}).to_string())
    }

    /// The hosts of retiring stores; their placement votes have to move too.
    pub fn retiring_hosts(&self) -> BTreeSet<String> {
        let stores = self.hard.of(DaemonKind::Store).filter(|m| self.retiring(&m.id));
        stores.map(|m| host_of(&m.addr).to_string()).collect()
    }

    /// Whether a voting placement replica runs on a host, or may still count
    /// as one: until a configuration without it is committed.
    fn votes_on(&self, host: &str) -> bool {
        let named = self.election.configuration().all_voters().any(|(_, voter)| voter.host() == host);
        named || !self.election.is_membership_stable()
    }
}

fn unknown_machine() -> ApiResponse {
    wrong(404, "no store runs on a machine of that name; check it with 'dahliawick status'")
}
