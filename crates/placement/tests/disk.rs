//! A replica's files after a loss of power, and a disk that takes no writes.
mod fleet;
use fleet::*;

/// The files that a replica would find at its next start; there is exactly one.
fn saved_files(fleet: &Fleet, id: &Daemon) -> Vec<(String, Bytes)> {
    let files = fleet.files(id);
    assert_eq!(files.len(), 1);
    files
}

#[test]
fn a_torn_older_file_does_not_cost_the_replica_its_vote() {
    let mut fleet = Fleet::serving();
    let standby = fleet.standby();
    let mut files = saved_files(&fleet, &standby);
    files.insert(0, ("hard-0000000000000001".to_string(), Bytes::new()));
    fleet.restart_from(&standby, files);
    assert_eq!(fleet.cores[&standby].election.role(), Role::Follower);
    assert_eq!(fleet.put_config(0, &first_config()).code, 200);
    fleet.run(2_000);
    assert_eq!(fleet.files(&standby).len(), 1, "the older file is removed after the next save");
}

#[test]
fn a_torn_newest_file_counts_as_a_lost_disk_at_each_start() {
    let mut fleet = Fleet::serving();
    let standby = fleet.standby();
    let mut files = saved_files(&fleet, &standby);
    files.push(("hard-00000000ffffffff".to_string(), Bytes::new()));
    for _ in 0..2 {
        fleet.restart_from(&standby, files.clone());
        assert_eq!(fleet.cores[&standby].election.role(), Role::Learner);
        // Neither file may be removed before a newer one is saved.
        assert_eq!(fleet.files(&standby).len(), 2);
    }
}

#[test]
fn a_primary_whose_disk_is_stuck_for_longer_than_its_lease_hands_over() {
    let mut fleet = Fleet::serving();
    let primary = fleet.primary().unwrap();
    fleet.block_disk(&primary);
    fleet.run(6_000);
    let next = fleet.primary().unwrap();
    assert_ne!(next, primary);
    assert_eq!(fleet.put_config(0, &first_config()).code, 200);
    fleet.unblock_disk(&primary);
    fleet.run(3_000);
    assert_eq!(fleet.cores[&primary].election.role(), Role::Follower);
}

#[test]
fn a_standby_whose_disk_is_stuck_delays_nothing_and_asks_for_one_save_at_a_time() {
    let mut fleet = Fleet::serving();
    let standby = fleet.standby();
    fleet.block_disk(&standby);
    fleet.run(2_000);
    assert_eq!(fleet.put_config(0, &first_config()).code, 200);
    for n in 4..8 {
        fleet.add(&format!("delivery-{n}"), "z1");
        fleet.run(1_000);
    }
    assert!(fleet.waiting_saves(&standby) <= 1, "{}", fleet.waiting_saves(&standby));
    fleet.unblock_disk(&standby);
    fleet.run(3_000);
    let primary = fleet.primary().unwrap();
    let commit = fleet.cores[&primary].election.commit_index();
    assert_eq!(fleet.cores[&standby].election.commit_index(), commit);
}
