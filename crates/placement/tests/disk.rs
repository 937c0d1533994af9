//! A replica's files after a loss of power, and a disk that takes no writes.
mod fleet;
use fleet::*;

/// The files a replica of a served fleet would find at its next start.
fn saved_files(fleet: &Fleet, id: &Daemon) -> Vec<(String, Bytes)> {
    let files = fleet.files(id);
    assert_eq!(files.len(), 1);
    files
}

#[test]
fn an_older_file_that_came_back_torn_does_not_cost_the_vote() {
    let mut fleet = Fleet::whole();
    let standby = fleet.standby();
    let mut files = saved_files(&fleet, &standby);
    files.insert(0, ("hard-0000000000000001".to_string(), Bytes::new()));
    fleet.restart_from(&standby, files);
    assert_eq!(fleet.cores[&standby].election.role(), Role::Follower);
    assert_eq!(fleet.put(0, &first()).code, 200);
    fleet.run(2_000);
    assert_eq!(fleet.files(&standby).len(), 1, "the older file is removed behind the next save");
}

#[test]
fn a_newest_file_that_is_torn_makes_the_replica_one_with_a_lost_disk_at_each_start() {
    let mut fleet = Fleet::whole();
    let standby = fleet.standby();
    let mut files = saved_files(&fleet, &standby);
    files.push(("hard-00000000ffffffff".to_string(), Bytes::new()));
    for _ in 0..2 {
        fleet.restart_from(&standby, files.clone());
        assert_eq!(fleet.cores[&standby].election.role(), Role::Learner);
        // Neither file may go before a newer one is saved.
        assert_eq!(fleet.files(&standby).len(), 2);
    }
}

#[test]
fn a_primary_whose_disk_is_stuck_for_longer_than_its_lease_hands_over() {
    let mut fleet = Fleet::whole();
    let primary = fleet.primary().unwrap();
    fleet.stick(&primary);
    fleet.run(6_000);
    let next = fleet.primary().unwrap();
    assert_ne!(next, primary);
    assert_eq!(fleet.put(0, &first()).code, 200);
    fleet.free(&primary);
    fleet.run(3_000);
    assert_eq!(fleet.cores[&primary].election.role(), Role::Follower);
}

#[test]
fn a_standby_whose_disk_is_stuck_holds_nothing_up_and_asks_for_one_save_at_a_time() {
    let mut fleet = Fleet::whole();
    let standby = fleet.standby();
    fleet.stick(&standby);
    fleet.run(2_000);
    assert_eq!(fleet.put(0, &first()).code, 200);
    for n in 4..8 {
        fleet.add(&format!("delivery-{n}"), "z1");
        fleet.run(1_000);
    }
    assert!(fleet.waiting_saves(&standby) <= 1, "{}", fleet.waiting_saves(&standby));
    fleet.free(&standby);
    fleet.run(3_000);
    let primary = fleet.primary().unwrap();
    let commit = fleet.cores[&primary].election.commit_index();
    assert_eq!(fleet.cores[&standby].election.commit_index(), commit);
}
