//! Prepared situations that a search or walk starts from.
use super::*;

impl World {
    /// A group whose leader has its lease, and a voter that was cut off until
    /// it asks for votes; its requests are on their way.
    pub fn with_impatient_voter(random_seed: u64) -> World {
        let mut world = World::settled(0, 3, random_seed);
        let impatient = world.follower();
        world.cut(impatient, false, false);
        world.run_quietly(PAST_EVERY_TIMEOUT).expect("a quiet group breaks nothing");
        world.cut(impatient, true, true);
        world.pending.retain(|envelope| envelope.from == impatient && matches!(envelope.message, Message::VoteRequest { .. }));
        world
    }

    /// A follower that was cut off while others went on; the entries that it
    /// lacks and then a snapshot of them are on their way to it.
    pub fn with_late_follower(random_seed: u64) -> World {
        let mut world = World::settled(0, 3, random_seed);
        let (leader, late) = (world.leader().expect("a settled group has a leader"), world.follower());
        world.cut(late, false, false);
        for _ in 0..2 {
            world.take(Step::Propose(leader)).expect("a sound step");
            world.run_quietly(PAST_EVERY_TIMEOUT).expect("a quiet group breaks nothing");
        }
        world.pending.clear();
        world.cut(late, true, true);
        while !world.pending.iter().any(|envelope| carries_entries(envelope, late)) {
            let between = |envelope: &Arc<Envelope>| [envelope.from, envelope.to].iter().all(|end| [leader, late].contains(end));
            let step = world.pending.iter().position(between).map_or(Step::Heartbeat(leader), Step::Deliver);
            world.take(step).expect("a sound step");
        }
        for step in [Step::Compact(leader), Step::Persist(leader), Step::Heartbeat(leader)] {
            world.take(step).expect("a sound step");
        }
        world.pending.retain(|envelope| envelope.to == late);
        world
    }

    /// Two leaders of different terms crashed with an entry that only they
    /// hold; the third voter has neither.
    pub fn with_two_old_leaders(random_seed: u64) -> World {
        let settled = World::settled(0, 3, random_seed);
        let term = settled.latest_term().0;
        settled.restarted_from(|machine, state| {
            state.term = Term(term + 2);
            match machine {
                1 => state.log.push(Entry { term: Term(term + 1), command: Command::Noop }),
                2 => state.log.push(Entry { term: Term(term + 2), command: Command::Noop }),
                _ => {}
            }
            state.vote = (machine != 1).then(|| name(2));
        })
    }

    /// The same, after the first of them was elected again and the third voter
    /// took over its old entry; the second has heard of the new term only.
    pub fn with_a_replicated_earlier_term(random_seed: u64, breakage: Breakage) -> World {
        let mut world = World::with_two_old_leaders(random_seed).with_breakage(Some(breakage));
        world.reductions.writes_at_once = true;
        let old_entry = world.nodes[&1].latest.last_index();
        world.take(Step::Timeout(1)).expect("a sound step");
        while world.nodes[&3].latest.last_index() < old_entry {
            let passes = |envelope: &Arc<Envelope>| envelope.to != 2 || !matches!(envelope.message, Message::Append(_));
            let step = world.pending.iter().position(passes).map_or(Step::Heartbeat(1), Step::Deliver);
            world.take(step).expect("a sound step");
        }
        world.pending.retain(|envelope| envelope.to == 1);
        world
    }

    /// A group that is to grow from three to five, where as yet only the
    /// leader, which restarted, has the change in its log.
    pub fn with_a_change_begun(random_seed: u64, breakage: Breakage) -> World {
        let mut world = World::founded(2, 5, random_seed).with_breakage(Some(breakage));
        let begun = |node: &Arc<Node>| node.latest.configuration_at(node.latest.last_index()).1.voter_names().len() > 3;
        while !world.nodes.values().any(begun) {
            world.run_quietly(QUIET_TICK).expect("a quiet group breaks nothing");
        }
        world.pending.clear();
        world
    }

    pub(super) fn follower(&self) -> Machine {
        let leader = self.leader();
        *self.nodes.keys().find(|machine| Some(**machine) != leader).expect("more than one machine")
    }
}

fn carries_entries(envelope: &Envelope, to: Machine) -> bool {
    envelope.to == to && matches!(&envelope.message, Message::Append(request) if !request.entries.is_empty())
}
