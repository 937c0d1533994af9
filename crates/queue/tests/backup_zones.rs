//! In which zones the backups of a partition are when its leader needs two.
mod loaded_stores;
mod settings;
use dw_queue::prelude::*;
use loaded_stores::LoadedStores;
use settings::daemon;

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Each operation is sent to another zone only once, and is safe there.
#[test]
fn one_copy_stays_in_the_zone_where_another_store_is() {
    for at in 1..5 {
        let mut placed_in = zones(&["a", "b", "b", "c", "c"]);
        placed_in[at] = "a".into();
        let all = LoadedStores::in_zones(placed_in.clone(), 20);
        let backups = all.backups();
        let near = daemon(&format!("store-{}", at + 1));
        assert!(backups.contains(&near), "{placed_in:?}: {backups:?}");
        assert_eq!(backups.len(), 2);
        let far = |store: &&Daemon| **store != near;
        assert_eq!(backups.iter().filter(far).count(), 1, "{placed_in:?}: {backups:?}");
    }
}

#[test]
fn a_leader_alone_in_its_zone_has_both_copies_elsewhere() {
    let all = LoadedStores::in_zones(zones(&["a", "b", "b", "c", "c"]), 20);
    assert_eq!(all.backups().len(), 2);
}

/// One backup is always in another zone, also when the one in the leader's zone stops, or
/// the one in the other zone does.
#[test]
fn a_backup_that_stops_is_replaced_so_that_a_copy_is_in_another_zone() {
    let placed_in = zones(&["a", "a", "b", "b", "c"]);
    for near_stops in [true, false] {
        let mut all = LoadedStores::in_zones(placed_in.clone(), 20);
        let near = daemon("store-2");
        let stopped = all.backups().into_iter().find(|backup| (*backup == near) == near_stops).expect("one of each");
        all.disconnect(&stopped);
        all.run(Span::secs(3));
        let backups = all.backups();
        assert_eq!(backups.len(), 2);
        assert!(!backups.contains(&stopped), "{backups:?}");
        assert_eq!(backups.contains(&near), !near_stops, "{backups:?}");
    }
}

const STEP: Span = Span::millis(20);

/// Lets time pass, and checks in each step that every accepted message is held by so many
/// stores, in at least two zones.
fn run_safely(all: &mut LoadedStores, span: Span, stores: usize) {
    for _ in 0..span.0 / STEP.0 {
        all.run(STEP);
        let (holders, zones) = all.fewest_holders();
        assert!(
            holders >= stores && zones >= stores.min(2),
            "{holders} stores in {zones} zones hold a message; backups {:?}",
            all.backups()
        );
    }
}

/// A zone becomes unreachable, and in the same moment the disks of another are lost. What
/// was accepted is on three stores in two zones before, so a store that is neither
/// unreachable nor empty has it, or it is back once the zone is reachable again.
#[test]
fn an_unreachable_zone_and_two_lost_disks_lose_no_accepted_message() {
    for (unreachable, lost) in [("a", "b"), ("b", "a"), ("b", "c"), ("c", "a"), ("c", "b"), ("a", "c")] {
        let placed_in = zones(&["a", "a", "b", "b", "c", "c"]);
        let mut all = LoadedStores::in_zones(placed_in.clone(), 20);
        run_safely(&mut all, Span::secs(1), 3);
        let stores_of = |zone: &str| -> Vec<_> {
            let numbers = (1..=placed_in.len()).filter(|n| placed_in[*n - 1] == zone);
            numbers.map(|n| daemon(&format!("store-{n}"))).collect()
        };
        let mut disk_id = 100;
        for store in stores_of(lost) {
            disk_id += 1;
            all.replace_disk(&store, IncarnationId(disk_id));
        }
        let (holders, _) = all.fewest_holders();
        assert!(holders >= 1, "{unreachable} unreachable, disks of {lost} lost: a message is lost");
    }
}

/// A backup in the leader's zone loses its disk: it counts again only once its new disk id
/// is in the write set, and is a backup again once its copy is complete.
#[test]
fn a_near_backup_that_lost_its_disk_is_a_backup_again_when_it_counts() {
    let mut all = LoadedStores::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    run_safely(&mut all, Span::secs(1), 3);
    assert!(all.backups().contains(&near));
    all.replace_disk(&near, IncarnationId(77));
    // Messages that were on it lack one copy until its new copy is complete.
    run_safely(&mut all, Span::millis(500), 2);
    let before = all.accepted();
    run_safely(&mut all, Span::millis(3_500), 2);
    let accepted = all.accepted() - before;
    assert!(accepted > 500, "{accepted} of 700 messages were accepted in 3.5 s after the loss");
    let counting: Vec<_> = all.backups().into_iter().filter(|backup| *backup != near).collect();
    assert_eq!(counting.len(), 2, "an empty folder counts as a copy: {:?}", all.backups());
    all.count_new_disk(&near);
    run_safely(&mut all, Span::secs(8), 3);
    assert!(all.backups().contains(&near), "{:?}", all.backups());
    assert_eq!(all.backups().len(), 2);
}

/// A backup in the leader's zone replaces one in another: at no time is a message on fewer
/// stores, or in the leader's zone alone.
#[test]
fn a_far_backup_is_removed_only_when_the_near_one_has_all_committed_ops() {
    let mut all = LoadedStores::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    for _ in 0..3 {
        all.disconnect(&near);
        run_safely(&mut all, Span::secs(3), 3);
        assert!(!all.backups().contains(&near));
        all.reconnect(&near);
        run_safely(&mut all, Span::secs(8), 3);
        let backups = all.backups();
        assert!(backups.contains(&near) && backups.len() == 2, "{backups:?}");
    }
}

/// Three stores, one backup, which restarts without its disk before it is missed. The
/// third store replaces it at once.
#[test]
fn an_only_backup_that_lost_its_disk_is_replaced_by_the_third_store() {
    let mut all = LoadedStores::with_messages(3, 20);
    let backup = all.backups().remove(0);
    all.replace_disk(&backup, IncarnationId(88));
    run_safely(&mut all, Span::millis(500), 1);
    let before = all.accepted();
    run_safely(&mut all, Span::secs(2), 1);
    let accepted = all.accepted() - before;
    assert!(accepted > 350, "{accepted} of 400 messages were accepted in 2 s after the loss");
    assert!(!all.backups().contains(&backup));
}
