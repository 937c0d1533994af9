//! What a store does whose disk accepts no writes, and what the other stores do
//! meanwhile.
mod settings;
mod three_stores;
use dw_queue::prelude::*;
use three_stores::*;

#[test]
fn new_messages_are_refused_at_once_while_the_disk_is_stuck() {
    let mut cluster = Cluster::new();
    cluster.submit(1, 1);
    assert!(cluster.accepted(1), "{:?}", cluster.responses);
    cluster.block_disk(1);
    cluster.submit(2, 1);
    assert!(matches!(cluster.responses.get(&2), Some(SubmitOutcome::Rejected { code: 503, .. })), "{:?}", cluster.responses);
    assert!(!cluster.stores[&store(1)].partitions[&partition()].records.contains_key(&MessageId("m2".into())));
    cluster.unblock_disk(1);
    cluster.submit(3, 1);
    assert!(cluster.accepted(3), "{:?}", cluster.responses);
}

#[test]
fn a_leader_with_a_stuck_disk_gives_its_partition_up_to_a_store_whose_disk_works() {
    let mut cluster = Cluster::new();
    cluster.submit(1, 1);
    cluster.block_disk(1);
    cluster.run(Span::secs(2));
    assert_eq!(cluster.leader, 2);
    assert_eq!(cluster.phase(1), None);
    assert_eq!(cluster.phase(2), Some(Phase::Serving));
    assert!(cluster.reports[&store(1)].leaving);
    cluster.submit(2, 2);
    cluster.run(Span::secs(1));
    assert!(cluster.accepted(2), "{:?}", cluster.responses);
    assert!(cluster.stores[&store(2)].partitions[&partition()].records.contains_key(&MessageId("m1".into())));
    cluster.unblock_disk(1);
    cluster.run(Span::secs(1));
    assert!(!cluster.reports[&store(1)].leaving);
}

#[test]
fn a_short_pause_of_the_disk_moves_no_partition() {
    let mut cluster = Cluster::new();
    cluster.block_disk(1);
    cluster.run(Span::millis(300));
    cluster.unblock_disk(1);
    cluster.run(Span::secs(3));
    assert_eq!((cluster.leader, cluster.phase(1)), (1, Some(Phase::Serving)));
}

#[test]
fn a_backup_with_a_stuck_disk_is_replaced_in_time() {
    let mut cluster = Cluster::new();
    let backup = cluster.leader_state(1).unwrap().backups.keys().next().cloned().unwrap();
    let number = (1..=3).find(|n| store(*n) == backup).unwrap();
    cluster.block_disk(number);
    cluster.submit(1, 1);
    assert!(!cluster.accepted(1));
    cluster.run(LeaseTerms::default().length.percent(50));
    assert!(cluster.accepted(1), "{:?}", cluster.responses);
    cluster.submit(2, 1);
    assert!(cluster.accepted(2), "{:?}", cluster.responses);
    cluster.unblock_disk(number);
    cluster.run(Span::secs(1));
    assert_eq!(cluster.leader, 1);
}

#[test]
fn a_torn_file_empties_the_folder_only_after_the_new_disk_id_is_saved() {
    let torn = ("lines-0000000000000002-0000000000000002".to_string(), Bytes::new());
    let entries = vec![JournalEntry::DiskId(IncarnationId(5))];
    let complete = ("lines-0000000000000001-0000000000000001".to_string(), Bytes::from(encode(&entries)));
    let (store, out) = Store::new(startup_of(1), &vec![complete, torn], IncarnationId(9), Time::millis(1));
    assert_eq!(store.disk_id, IncarnationId(9));
    let saved = out.iter().position(|e| matches!(e, Effect::Save { .. })).unwrap();
    let removed: Vec<usize> = (0..out.len()).filter(|at| matches!(out[*at], Effect::Remove(_))).collect();
    assert_eq!(removed.len(), 2);
    assert!(removed.iter().all(|at| *at > saved), "{out:?}");
    let Effect::Save { name, .. } = &out[saved] else { unreachable!() };
    assert_eq!(name, "lines-0000000000000003-0000000000000003");
}

/// The replica that holds the most fenced lower epochs and then stopped for good: the
/// other majority holds everything acknowledged, too.
#[test]
fn a_leader_whose_source_of_a_copy_stopped_takes_another() {
    let mut cluster = Cluster::new();
    cluster.submit(1, 1);
    assert!(cluster.accepted(1), "{:?}", cluster.responses);
    let backup = cluster.leader_state(1).unwrap().backups.keys().next().cloned().unwrap();
    let third = (2..=3).find(|n| store(*n) != backup).unwrap();
    cluster.leader = third;
    cluster.epoch += 1;
    while cluster.phase(third) != Some(Phase::Fetching) {
        if !cluster.deliver_one() {
            cluster.now += STEP;
            cluster.queue.extend((1..=3).map(|n| (store(n), Event::Tick)));
        }
        assert!(cluster.now < Time(10_000_000), "it fetched no copy");
    }
    let source = cluster.stores[&store(third)].partitions[&partition()].copy_fetch.as_ref().unwrap().source.clone();
    cluster.stores.remove(&source);
    cluster.run(Span::secs(4));
    assert_eq!(cluster.phase(third), Some(Phase::Serving));
    assert!(cluster.stores[&store(third)].partitions[&partition()].records.contains_key(&MessageId("m1".into())));
}
