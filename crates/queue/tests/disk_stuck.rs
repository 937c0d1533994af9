//! What a store does whose disk takes no writes, and what the others do
//! meanwhile.
mod settings;
mod trio;
use dw_queue::prelude::*;
use trio::*;

#[test]
fn new_messages_are_refused_at_once_while_the_disk_is_stuck() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    fleet.stick(1);
    fleet.carry(2, 1);
    assert!(matches!(fleet.told.get(&2), Some(SubmitOutcome::Rejected { code: 503, .. })), "{:?}", fleet.told);
    assert!(!fleet.stores[&store(1)].parts[&place()].records.contains_key(&MessageId("m2".into())));
    fleet.free(1);
    fleet.carry(3, 1);
    assert!(fleet.accepted(3), "{:?}", fleet.told);
}

#[test]
fn a_leader_with_a_stuck_disk_gives_its_partition_to_a_store_whose_disk_works() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    fleet.stick(1);
    fleet.run(Span::secs(2));
    assert_eq!(fleet.leader, 2);
    assert_eq!(fleet.phase(1), None);
    assert_eq!(fleet.phase(2), Some(Phase::Serving));
    assert!(fleet.reports[&store(1)].leaving);
    fleet.carry(2, 2);
    fleet.run(Span::secs(1));
    assert!(fleet.accepted(2), "{:?}", fleet.told);
    assert!(fleet.stores[&store(2)].parts[&place()].records.contains_key(&MessageId("m1".into())));
    fleet.free(1);
    fleet.run(Span::secs(1));
    assert!(!fleet.reports[&store(1)].leaving);
}

#[test]
fn a_short_pause_of_the_disk_moves_nothing() {
    let mut fleet = Fleet::new();
    fleet.stick(1);
    fleet.run(Span::millis(300));
    fleet.free(1);
    fleet.run(Span::secs(3));
    assert_eq!((fleet.leader, fleet.phase(1)), (1, Some(Phase::Serving)));
}

#[test]
fn a_follower_with_a_stuck_disk_gives_way_to_another_in_time() {
    let mut fleet = Fleet::new();
    let backup = fleet.own(1).unwrap().backups.keys().next().cloned().unwrap();
    let number = (1..=3).find(|n| store(*n) == backup).unwrap();
    fleet.stick(number);
    fleet.carry(1, 1);
    assert!(!fleet.accepted(1));
    fleet.run(LeaseTerms::default().length.percent(50));
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    fleet.carry(2, 1);
    assert!(fleet.accepted(2), "{:?}", fleet.told);
    fleet.free(number);
    fleet.run(Span::secs(1));
    assert_eq!(fleet.leader, 1);
}

#[test]
fn a_torn_file_empties_the_folder_only_after_the_new_mark_is_saved() {
    let torn = ("lines-0000000000000002-0000000000000002".to_string(), Bytes::new());
    let line = vec![JournalEntry::DiskId(IncarnationId(5))];
    let whole = ("lines-0000000000000001-0000000000000001".to_string(), Bytes::from(encode(&line)));
    let (store, out) = Store::new(settings_of(1), &vec![whole, torn], IncarnationId(9), Time::millis(1));
    assert_eq!(store.mark, IncarnationId(9));
    let saved = out.iter().position(|e| matches!(e, Effect::Save { .. })).unwrap();
    let removed: Vec<usize> = (0..out.len()).filter(|at| matches!(out[*at], Effect::Remove(_))).collect();
    assert_eq!(removed.len(), 2);
    assert!(removed.iter().all(|at| *at > saved), "{out:?}");
    let Effect::Save { name, .. } = &out[saved] else { unreachable!() };
    assert_eq!(name, "lines-0000000000000003-0000000000000003");
}

/// The replica that holds the most answered the seal and is then gone for
/// good: the other majority holds everything acknowledged, too.
#[test]
fn a_leader_whose_source_of_the_copy_is_gone_takes_another() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    let backup = fleet.own(1).unwrap().backups.keys().next().cloned().unwrap();
    let third = (2..=3).find(|n| store(*n) != backup).unwrap();
    fleet.leader = third;
    fleet.epoch += 1;
    while fleet.phase(third) != Some(Phase::Fetching) {
        if !fleet.settle_one() {
            fleet.now += STEP;
            fleet.queue.extend((1..=3).map(|n| (store(n), Event::Tick)));
        }
        assert!(fleet.now < Time(10_000_000), "it copied from nobody");
    }
    let source = fleet.stores[&store(third)].parts[&place()].copy_fetch.as_ref().unwrap().source.clone();
    fleet.stores.remove(&source);
    fleet.run(Span::secs(4));
    assert_eq!(fleet.phase(third), Some(Phase::Serving));
    assert!(fleet.stores[&store(third)].parts[&place()].records.contains_key(&MessageId("m1".into())));
}
