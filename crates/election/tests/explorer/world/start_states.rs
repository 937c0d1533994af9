//! Prepared states from which a search or random walk starts.
use super::*;

impl World {
    /// A group whose leader has its lease, and a voter that was isolated until it
    /// requested votes; its requests are pending.
    pub fn with_disconnected_candidate(random_seed: u64) -> World {
        let mut world = World::with_leader(0, 3, random_seed);
        let candidate = world.follower();
        world.set_connectivity(candidate, false, false);
        world.run_with_immediate_delivery(TIMEOUT_STEP).expect("the run violates no invariant");
        world.set_connectivity(candidate, true, true);
        world.pending.retain(|envelope| envelope.from == candidate && matches!(envelope.message, Message::VoteRequest { .. }));
        world
    }

    /// A follower that was isolated while commands were committed; the entries
    /// that it lacks and a snapshot of them are pending messages to it.
    pub fn with_lagging_follower(random_seed: u64) -> World {
        let mut world = World::with_leader(0, 3, random_seed);
        let (leader, lagging) = (world.leader().expect("the group has a leader"), world.follower());
        world.set_connectivity(lagging, false, false);
        for _ in 0..2 {
            world.take_step(Step::Propose(leader)).expect("the step violates no invariant");
            world.run_with_immediate_delivery(TIMEOUT_STEP).expect("the run violates no invariant");
        }
        world.pending.clear();
        world.set_connectivity(lagging, true, true);
        while !world.pending.iter().any(|envelope| carries_entries(envelope, lagging)) {
            let is_between_them =
                |envelope: &Arc<Envelope>| [envelope.from, envelope.to].iter().all(|end| [leader, lagging].contains(end));
            let step = world.pending.iter().position(is_between_them).map_or(Step::Heartbeat(leader), Step::Deliver);
            world.take_step(step).expect("the step violates no invariant");
        }
        for step in [Step::Compact(leader), Step::Persist(leader), Step::Heartbeat(leader)] {
            world.take_step(step).expect("the step violates no invariant");
        }
        world.pending.retain(|envelope| envelope.to == lagging);
        world
    }

    /// Two leaders of different terms crashed, each with an entry that no other
    /// replica holds; the third voter has neither entry.
    pub fn with_two_crashed_leaders(random_seed: u64) -> World {
        let world = World::with_leader(0, 3, random_seed);
        let term = world.latest_term().0;
        world.with_disks(|machine, state| {
            state.term = Term(term + 2);
            match machine {
                1 => state.log.push(Entry { term: Term(term + 1), command: Command::Noop }),
                2 => state.log.push(Entry { term: Term(term + 2), command: Command::Noop }),
                _ => {}
            }
            state.vote = (machine != 1).then(|| name(2));
        })
    }

    /// The same, after the first of them was elected again and copied its old
    /// entry to the third voter; the second knows only the new term.
    pub fn with_replicated_earlier_term(random_seed: u64, fault: InjectedFault) -> World {
        let mut world = World::with_two_crashed_leaders(random_seed).with_fault(Some(fault));
        world.reductions.immediate_writes = true;
        let old_entry_index = world.nodes[&1].latest_state.last_index();
        world.take_step(Step::Timeout(1)).expect("the step violates no invariant");
        while world.nodes[&3].latest_state.last_index() < old_entry_index {
            let is_delivered = |envelope: &Arc<Envelope>| envelope.to != 2 || !matches!(envelope.message, Message::Append(_));
            let step = world.pending.iter().position(is_delivered).map_or(Step::Heartbeat(1), Step::Deliver);
            world.take_step(step).expect("the step violates no invariant");
        }
        world.pending.retain(|envelope| envelope.to == 1);
        world
    }

    /// A group that grows from three to five voters, in which only the leader,
    /// which has restarted, has the change in its log so far.
    pub fn with_membership_change_started(random_seed: u64, fault: InjectedFault) -> World {
        let mut world = World::bootstrapped(2, 5, random_seed).with_fault(Some(fault));
        let has_change =
            |node: &Arc<Node>| node.latest_state.configuration_at(node.latest_state.last_index()).1.voter_names().len() > 3;
        while !world.nodes.values().any(has_change) {
            world.run_with_immediate_delivery(TICK).expect("the run violates no invariant");
        }
        world.pending.clear();
        world
    }

    /// A machine that is not the leader.
    pub(super) fn follower(&self) -> Machine {
        let leader = self.leader();
        *self.nodes.keys().find(|machine| Some(**machine) != leader).expect("more than one machine")
    }
}

fn carries_entries(envelope: &Envelope, to: Machine) -> bool {
    envelope.to == to && matches!(&envelope.message, Message::Append(request) if !request.entries.is_empty())
}
