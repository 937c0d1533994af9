//! Elections, terms, leases and the log of a group whose voters stay.
mod harness;
use harness::*;

#[test]
fn a_group_that_was_not_bootstrapped_elects_nobody_and_a_bootstrapped_one_elects_one() {
    let mut not_bootstrapped = Group::empty(1);
    for number in 1..=3 {
        not_bootstrapped.start_empty(&name(number), false);
    }
    not_bootstrapped.run(10_000);
    assert!(not_bootstrapped.leader().is_none());
    for seed in 1..50 {
        assert!(Group::new(seed).leader().is_some(), "seed {seed}");
    }
}

#[test]
fn an_isolated_leader_loses_its_lease_before_another_may_act_and_its_log_gives_way() {
    for seed in 1..50 {
        let mut group = Group::new(seed);
        assert!(group.propose(1));
        let old = group.leader().unwrap();
        for number in 1..=3 {
            group.blocked_links.insert((old.clone(), name(number)));
        }
        group.propose(2);
        group.run(5_000);
        let new = group.leader().expect("a new leader");
        assert_ne!(new, old);
        assert!(group.propose(3));
        group.blocked_links.clear();
        group.run(3_000);
        assert!(group.propose(4));
        group.run(1_000);
        for number in 1..=3 {
            assert_eq!(group.applied(&name(number)), [1, 3, 4], "seed {seed} {number}");
        }
    }
}

#[test]
fn a_lost_disk_does_not_count_until_readmitted_even_when_told_to_bootstrap_again() {
    for seed in 1..30 {
        let mut group = Group::new(seed);
        assert!(group.propose(1));
        let lost = group.follower();
        let other = (1..=3).map(name).find(|d| *d != lost && Some(d) != group.leader().as_ref()).unwrap();
        group.stop(&other);
        let disk_id = group.start_empty(&lost, true);
        // One voter and one replica without its state form no quorum: nothing
        // is committed, not even the change that would readmit the replica.
        let last = group.nodes.values().map(|node| node.replica.commit_index()).max();
        group.run(6_000);
        assert!(!group.propose(2), "seed {seed}: a lost disk counted");
        assert_eq!(group.nodes.values().map(|node| node.replica.commit_index()).max(), last, "seed {seed}");
        group.start(&other, false);
        group.run(6_000);
        assert!(group.propose(3), "seed {seed}");
        group.run(2_000);
        let replica = &group.nodes[&lost].replica;
        assert!(replica.configuration().is_voter(&lost, disk_id), "seed {seed}");
        // After it was readmitted it may even have been elected, since its log is up to date.
        assert!(matches!(replica.role(), Role::Follower | Role::Leader), "seed {seed}: {:?}", replica.role());
        assert_eq!(group.voters(), (1..=3).map(name).collect::<Vec<_>>());
    }
}

#[test]
fn a_snapshot_replaces_the_log_and_a_late_replica_is_caught_up_from_it() {
    let mut group = Group::new(7);
    let late = group.follower();
    group.stop(&late);
    for command in 0..100 {
        group.run(250);
        assert!(group.propose(command));
    }
    let leader = group.leader().unwrap();
    let actions = group.nodes.get_mut(&leader).unwrap().replica.compact(|| vec![9]);
    assert!(!actions.is_empty());
    group.execute(&leader, actions);
    group.start(&late, false);
    group.run(2_000);
    assert_eq!(group.nodes[&late].replica.commit_index(), group.nodes[&leader].replica.commit_index());
    assert_eq!(group.nodes[&late].replica.snapshot().data.as_ref(), [9]);
}

#[test]
fn a_late_bootstrap_message_is_answered_once_and_the_answer_never() {
    let mut group = Group::new(3);
    let voter = group.nodes[&name(1)].replica.configuration().voters[&name(1)].clone();
    let now = group.now;
    let second = &mut group.nodes.get_mut(&name(2)).unwrap().replica;
    let sent = second.receive(name(1), Message::Bootstrap { voter, is_reply: false }, now);
    let [Action::Send(to, answer)] = sent.as_slice() else { panic!("{sent:?}") };
    assert_eq!(*to, name(1));
    let again = group.nodes.get_mut(&name(1)).unwrap().replica.receive(name(2), answer.clone(), now);
    assert!(again.is_empty(), "{again:?}");
}

/// A follower whose log ends at index 5 installs a snapshot that ends at 3. It
/// must keep entries 4 and 5: they were acknowledged, and the leader may have
/// counted them to commit.
#[test]
fn installing_a_snapshot_keeps_acknowledged_entries_behind_it() {
    let entry = |command| Entry { term: Term(2), command: Command::Apply(command) };
    let mut state: HardState<u32> = HardState::empty(IncarnationId(1));
    state.initialized = true;
    state.log = (1..=5).map(entry).collect();
    let snapshot = Snapshot { index: 3, term: Term(2), ..Snapshot::default() };
    state.install_snapshot(snapshot.clone());
    assert_eq!(state.last_index(), 5);
    assert_eq!(state.entry(4), Some(&entry(4)));
    // A log that differs from the snapshot is dropped as a whole.
    let mut other = HardState::empty(IncarnationId(1));
    other.initialized = true;
    other.log = (1..=5).map(|n| Entry { term: Term(1), command: Command::Apply(n) }).collect();
    other.install_snapshot(snapshot);
    assert_eq!(other.last_index(), 3);
}

/// A follower gets a snapshot from the leader that it does not need any more,
/// and no further messages. It must keep all entries that it acknowledged.
#[test]
fn a_snapshot_that_arrives_twice_never_takes_entries_away() {
    let mut group = Group::new(11);
    for command in 0..70 {
        assert!(group.propose(command));
    }
    group.run(500);
    let leader = group.leader().unwrap();
    let actions = group.nodes.get_mut(&leader).unwrap().replica.compact(|| vec![1]);
    group.execute(&leader, actions);
    assert!(group.propose(71));
    group.run(500);
    let follower = group.follower();
    let before = group.disks[&follower].last_index();
    let leader_state = group.disks[&leader].clone();
    let request = AppendRequest {
        term: leader_state.term,
        previous_index: leader_state.snapshot.index,
        previous_term: leader_state.snapshot.term,
        snapshot: Some(leader_state.snapshot.clone()),
        entries: Vec::new(),
        commit_index: leader_state.snapshot.index,
        sent_at: group.now,
    };
    let now = group.now;
    let actions = group.nodes.get_mut(&follower).unwrap().replica.receive(leader, Message::Append(request), now);
    group.execute(&follower, actions);
    assert_eq!(group.disks[&follower].last_index(), before);
}

/// Of the two remaining replicas, one has the longer log and the other the
/// later term. The first can only be elected in a term after that one, which it
/// has to learn from the second.
#[test]
fn a_replica_with_the_longer_log_and_an_earlier_term_is_elected() {
    for seed in 1..50 {
        let mut group = Group::new(seed);
        assert!(group.propose(1));
        group.run(500);
        let lost = group.leader().unwrap();
        let left: Vec<Daemon> = (1..=3).map(name).filter(|daemon| *daemon != lost).collect();
        for number in 1..=3 {
            group.stop(&name(number));
        }
        let ahead = group.disks.get_mut(&left[0]).unwrap();
        let term = ahead.term;
        ahead.log.push(Entry { term, command: Command::Apply(2) });
        let campaigned = group.disks.get_mut(&left[1]).unwrap();
        campaigned.term = Term(term.0 + 1);
        campaigned.vote = Some(left[1].clone());
        for daemon in &left {
            group.start(daemon, false);
        }
        group.run(8_000);
        assert_eq!(group.leader(), Some(left[0].clone()), "seed {seed}");
        assert_eq!(group.applied(&left[1]), [1, 2], "seed {seed}");
    }
}
