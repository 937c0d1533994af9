//! Membership changes: replacement of voters, growth, planned stops, and the
//! failures that the group tolerates right after each.
mod harness;
use harness::*;

/// A replacement has to be a voter this long after its start: the platform
/// guarantees no further loss for a little over four seconds.
const REPLACEMENT_TIME_MS: u64 = 4_000;

#[test]
fn three_replacements_in_a_row_each_bear_another_loss_right_after() {
    for seed in 1..40 {
        let mut group = Group::new(seed);
        for number in 1..=3 {
            let (lost, new) = (name(number), name(number + 3));
            assert!(group.propose(number as u32));
            group.remove(&lost);
            group.run(1_000);
            // A new machine's settings list the machines that run when it is added.
            group.seeds = group.nodes.keys().cloned().collect();
            group.start_empty(&new, false);
            group.run(REPLACEMENT_TIME_MS);
            assert!(group.voters().contains(&new), "seed {seed}: {new} is not a voter: {:?}", group.voters());
            assert!(!group.voters().contains(&lost), "seed {seed}");
            // One more voter, the leader or not, is stopped for a while.
            let second = group.voters().into_iter().find(|d| (seed % 2 == 0) == (Some(d) == group.leader().as_ref())).unwrap();
            group.stop(&second);
            group.run(5_000);
            assert!(group.propose(10 + number as u32), "seed {seed}: no leader after {new} was added and {second} stopped");
            group.start(&second, false);
            group.run(REPLACEMENT_TIME_MS);
        }
        group.run(1_000);
        for daemon in (4..=6).map(name) {
            assert_eq!(group.applied(&daemon).last(), Some(&13), "seed {seed} {daemon}");
        }
    }
}

#[test]
fn a_wiped_voter_is_readmitted_in_one_step_and_the_next_wipe_is_borne() {
    for seed in 1..30 {
        let mut group = Group::new(seed);
        for round in 0..6u32 {
            assert!(group.propose(round));
            let wiped = name(u64::from(round) % 3 + 1);
            let disk_id = group.start_empty(&wiped, false);
            group.run(REPLACEMENT_TIME_MS);
            let leader = group.leader().unwrap_or_else(|| panic!("seed {seed} round {round}: no leader"));
            assert!(group.nodes[&leader].replica.configuration().is_voter(&wiped, disk_id), "seed {seed} round {round}");
            assert_eq!(group.voters().len(), 3);
        }
    }
}

#[test]
fn a_group_that_must_bear_two_losses_grows_to_five_and_bears_them() {
    for seed in 1..20 {
        let mut group = Group::empty(seed);
        group.policy = MembershipPolicy::tolerating(2);
        for number in 1..=7 {
            group.start_empty(&name(number), true);
        }
        group.run(6_000);
        assert_eq!(group.voters().len(), 5, "seed {seed}");
        let zones: Vec<Zone> = group.voters().iter().map(|d| zone_of(d, 3)).collect();
        for zone in &zones {
            assert!(zones.iter().filter(|z| *z == zone).count() <= 2, "seed {seed}: a zone holds a majority: {zones:?}");
        }
        let leader = group.leader().unwrap();
        let other = group.voters().into_iter().find(|d| *d != leader).unwrap();
        group.remove(&leader);
        group.remove(&other);
        group.run(4_000);
        assert!(group.propose(1), "seed {seed}");
        group.run(4_000);
        assert_eq!(group.voters().len(), 5, "seed {seed}: learners become voters");
        assert!(!group.voters().contains(&leader) && !group.voters().contains(&other));
    }
}

#[test]
fn a_spare_takes_no_seat_while_all_voters_answer() {
    let mut group = Group::new(5);
    group.start_empty(&name(4), false);
    group.run(10_000);
    assert_eq!(group.voters(), (1..=3).map(name).collect::<Vec<_>>());
    assert_eq!(group.nodes[&name(4)].replica.role(), Role::Learner);
    assert!(group.propose(1));
    group.run(1_000);
    assert_eq!(group.applied(&name(4)), [1]);
}

#[test]
fn a_voter_that_stops_waits_until_another_holds_its_vote() {
    for seed in 1..30 {
        for leader_leaves in [false, true] {
            let mut group = Group::new(seed);
            group.start_empty(&name(4), false);
            group.run(2_000);
            assert!(group.propose(1));
            let leaving = if leader_leaves { group.leader().unwrap() } else { group.follower() };
            let leaving = if leaving == name(4) { name(2) } else { leaving };
            let now = group.now;
            let actions = group.nodes.get_mut(&leaving).unwrap().replica.leave(now);
            group.execute(&leaving, actions);
            let mut waited_ms = 0;
            while !group.nodes[&leaving].replica.can_stop(group.now) {
                group.run(50);
                waited_ms += 50;
                assert!(waited_ms <= 3_000, "seed {seed}");
            }
            group.remove(&leaving);
            group.run(200);
            // Another voter is lost right after: the group still has a majority.
            let second = group.nodes.keys().find(|d| **d != name(4)).cloned().unwrap();
            group.stop(&second);
            group.run(4_000);
            assert!(group.propose(2), "seed {seed}, leader leaves: {leader_leaves}, waited {waited_ms} ms");
        }
    }
}

#[test]
fn a_voter_that_nobody_can_replace_stops_at_once() {
    let mut group = Group::new(9);
    let leaving = group.follower();
    let now = group.now;
    let actions = group.nodes.get_mut(&leaving).unwrap().replica.leave(now);
    group.execute(&leaving, actions);
    assert!(group.nodes[&leaving].replica.can_stop(group.now));
}

#[test]
fn an_old_voter_that_comes_back_can_neither_vote_nor_lead_nor_disturb() {
    for seed in 1..30 {
        let mut group = Group::new(seed);
        let old = name(1);
        let disk = group.disks[&old].clone();
        group.remove(&old);
        group.run(500);
        group.start_empty(&name(4), false);
        group.run(REPLACEMENT_TIME_MS + 2_000);
        let (leader, term) = (group.leader().unwrap(), group.nodes[&group.leader().unwrap()].replica.term());
        // The old voter comes back with its old disk and address.
        group.disks.insert(old.clone(), disk);
        group.start(&old, false);
        group.run(8_000);
        assert_eq!(group.leader(), Some(leader.clone()), "seed {seed}: the old voter replaced the leader");
        assert_eq!(group.nodes[&leader].replica.term(), term, "seed {seed}: the old voter raised the term");
        assert_eq!(group.nodes[&old].replica.role(), Role::Learner, "seed {seed}");
    }
}

/// The old leader is isolated from two voters and a learner, and replaced as a
/// voter. Its lease expires long before that. When it is reconnected it follows
/// the new leader.
#[test]
fn a_leader_that_was_cut_off_for_twenty_seconds_comes_back_as_a_learner() {
    for seed in 1..20 {
        let mut group = Group::new(seed);
        group.start_empty(&name(4), false);
        group.run(2_000);
        let old = group.leader().unwrap();
        assert!(group.propose(1));
        group.isolate(&old);
        group.run(20_000);
        assert!(group.propose(2), "seed {seed}");
        assert!(!group.nodes[&old].replica.is_active_leader(group.now));
        group.blocked_links.clear();
        group.run(6_000);
        assert!(group.propose(3));
        group.run(1_000);
        assert_eq!(group.applied(&old), [1, 2, 3], "seed {seed}");
        assert_eq!(group.voters().len(), 3);
    }
}

/// All machines that bootstrapped the group are gone, the settings still list
/// them as seeds, and all replicas restart at once. They reconnect through the
/// addresses in the configuration.
#[test]
fn a_group_whose_seeds_are_all_gone_finds_itself_after_a_total_restart() {
    let mut group = Group::new(21);
    for number in 1..=3 {
        group.remove(&name(number));
        group.run(500);
        if number == 3 {
            group.seeds = vec![name(3), name(2), name(5)];
        }
        group.start_empty(&name(number + 3), false);
        group.run(REPLACEMENT_TIME_MS);
    }
    assert!(group.propose(1));
    group.run(500);
    for number in 4..=6 {
        group.stop(&name(number));
    }
    for number in 4..=6 {
        group.start(&name(number), false);
    }
    group.run(5_000);
    assert!(group.propose(2));
    group.run(500);
    assert_eq!(group.applied(&name(5)), [1, 2]);
}

/// A joint configuration that makes a learner a voter has reached the one
/// remaining voter but not the learner. The learner still has to grant its vote.
#[test]
fn a_learner_that_does_not_know_yet_that_it_votes_still_grants_its_vote() {
    let mut group = Group::new(2);
    group.start_empty(&name(4), false);
    group.run(2_000);
    let now = group.now + Span::secs(60);
    let learner = &mut group.nodes.get_mut(&name(4)).unwrap().replica;
    let (term, last_index) = (Term(learner.term().0 + 1), learner.commit_index() + 1);
    let request = Message::VoteRequest { pre_vote: false, term, last_index, last_term: term };
    let actions = learner.receive(name(2), request, now);
    let granted = actions.iter().any(|action| matches!(action, Action::Persist(_, state) if state.vote == Some(name(2))));
    assert!(granted, "{actions:?}");
}

/// A response of a lost data directory arrives after one of the new directory.
#[test]
fn a_late_answer_of_a_lost_disk_does_not_count_again() {
    let mut group = Group::new(4);
    let leader = group.leader().unwrap();
    let wiped = group.follower();
    let old_disk_id = group.disks[&wiped].disk_id;
    assert!(group.propose(1));
    let sent = group.now;
    group.run(500);
    let disk_id = group.start_empty(&wiped, false);
    group.run(4_000);
    let term = group.nodes[&leader].replica.term();
    let late = Message::AppendResponse {
        term,
        outcome: AppendOutcome::Accepted { match_index: 1_000 },
        disk_id: old_disk_id,
        sent_at: sent,
    };
    let now = group.now;
    let actions = group.nodes.get_mut(&leader).unwrap().replica.receive(wiped.clone(), late, now);
    group.execute(&leader, actions);
    group.run(2_000);
    assert_eq!(group.leader(), Some(leader.clone()));
    assert!(group.nodes[&leader].replica.configuration().is_voter(&wiped, disk_id));
}

/// A voter is replaced during its planned stop and comes back with its disk
/// under the same leader. It has to become a voter again when the next voter is
/// lost.
#[test]
fn a_replaced_voter_that_came_back_replaces_the_next_lost_voter() {
    for seed in 1..30 {
        let mut group = Group::new(seed);
        group.start_empty(&name(4), false);
        group.run(2_000);
        let leader = group.leader().unwrap();
        let mut others = (1..=3).map(name).filter(|daemon| *daemon != leader);
        let (replaced, lost) = (others.next().unwrap(), others.next().unwrap());
        let now = group.now;
        let actions = group.nodes.get_mut(&replaced).unwrap().replica.leave(now);
        group.execute(&replaced, actions);
        group.run(1_000);
        assert!(!group.voters().contains(&replaced), "seed {seed}");
        group.stop(&replaced);
        group.start(&replaced, false);
        group.run(6_000);
        group.remove(&lost);
        // Possibly no replacement keeps the voters in different zones, so that the
        // longer delay applies.
        group.run(12_000);
        assert!(group.voters().contains(&replaced), "seed {seed}: {:?}", group.voters());
        group.stop(&leader);
        group.run(5_000);
        assert!(group.propose(1), "seed {seed}: one more loss is not tolerated");
    }
}

/// The learners to which these actions send entries or a snapshot, one item for each message.
fn learners_sent_entries(group: &Group, actions: &[Action<u32>]) -> Vec<Daemon> {
    let voters = group.voters();
    let learner = |action: &Action<u32>| match action {
        Action::Send(to, Message::Append(request)) => {
            let carries = !request.entries.is_empty() || request.snapshot.is_some();
            (carries && !voters.contains(to)).then(|| to.clone())
        }
        _ => None,
    };
    actions.iter().filter_map(learner).collect()
}

/// If there is a learner on each of many machines, sending entries to all of
/// them at once, and again before they could answer, would take more memory
/// than the leader has.
#[test]
fn few_learners_are_sent_entries_at_one_time_and_all_get_them() {
    let mut group = Group::new(3);
    group.policy = MembershipPolicy::tolerating(1);
    let learners: Vec<Daemon> = (4..=24).map(name).collect();
    for learner in &learners {
        group.start_empty(learner, false);
    }
    group.run(5_000);
    assert!(group.propose(1));
    group.run(3_000);
    for learner in &learners {
        assert_eq!(group.applied(learner), [1], "{learner}");
    }
    // From here on no message of the leader is delivered.
    let leader = group.leader().unwrap();
    let now = group.now;
    let replica = &mut group.nodes.get_mut(&leader).unwrap().replica;
    let mut actions = replica.propose(2, now).map(|(_, _, actions)| actions).ok().unwrap();
    for step in 1..=8 {
        let at = now + Span::millis(100 * step);
        let writes: Vec<u64> =
            actions.iter().filter_map(|action| if let Action::Persist(n, _) = action { Some(*n) } else { None }).collect();
        actions.extend(writes.into_iter().flat_map(|write| replica.persisted(write, at)));
        actions.extend(replica.tick(at));
    }
    let sent = learners_sent_entries(&group, &actions);
    let distinct: BTreeSet<&Daemon> = sent.iter().collect();
    assert!(!sent.is_empty());
    assert_eq!(sent.len(), distinct.len(), "the same learner twice before it could answer: {sent:?}");
    assert!(sent.len() <= 4, "{} learners at one time", sent.len());
}
