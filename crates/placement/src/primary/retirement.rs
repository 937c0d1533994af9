//! Retires whole storage machines: the store on a machine and a placement voter on the same
//! host.
use super::operator_requests::error_response;
use crate::prelude::*;
use serde_json::json;

impl Placement {
    /// The store that runs on a machine.
    fn store_on_machine(&self, machine: &str) -> Option<&Member> {
        self.committed.members_of_kind(DaemonKind::Store).find(|m| !machine.is_empty() && m.machine == machine)
    }

    /// Starts to retire the store on a machine; the same request again gets the same
    /// response.
    pub(super) fn retire_machine(&mut self, id: RequestId, machine: &str, now: Time) -> Option<ApiResponse> {
        let Some(store) = self.store_on_machine(machine).map(|m| m.id.clone()) else { return Some(unknown_machine_response()) };
        self.retire_store(id, store, now)
    }

    /// How far the retirement of a machine is. It is reported as `gone` only when nothing
    /// on it counts any more: no seat in a write set, and no vote.
    pub(super) fn retirement_status(&self, machine: &str) -> ApiResponse {
        let Some(store) = self.store_on_machine(machine) else { return unknown_machine_response() };
        let Some(state) = self.committed.retiring_stores.get(&store.id).filter(|r| **r != Retirement::None) else {
            return error_response(404, "this machine was not asked to retire; ask it to first");
        };
        let seats = self.seat_count(&store.id);
        let votes = self.may_vote_on_host(host_of(&store.addr));
        let is_complete = *state == Retirement::Done && seats == 0 && !votes;
        let state_name = if is_complete { "gone" } else { "leaving" };
        ApiResponse::json(
            200,
            json!({"machine": machine, "retirement": state_name, "seats_left": seats, "votes": votes}).to_string(),
        )
    }

    /// The hosts of retiring stores; placement voters on them have to move as well.
    pub fn retiring_hosts(&self) -> BTreeSet<String> {
        let stores = self.committed.members_of_kind(DaemonKind::Store).filter(|m| self.is_retiring(&m.id));
        stores.map(|m| host_of(&m.addr).to_string()).collect()
    }

    /// Whether a placement voter runs on a host, or may still count as one: until a
    /// configuration without it is committed.
    fn may_vote_on_host(&self, host: &str) -> bool {
        let is_configured = self.election.configuration().all_voters().any(|(_, voter)| voter.host() == host);
        is_configured || !self.election.is_membership_stable()
    }
}

fn unknown_machine_response() -> ApiResponse {
    error_response(404, "no store runs on a machine of that name; check it with 'dahliawick status'")
}
