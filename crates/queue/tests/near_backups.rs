//! Where the copies of a partition lie whose leader needs two beside its own.
mod loaded;
mod settings;
use dw_queue::prelude::*;
use loaded::Loaded;
use settings::daemon;

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// Each operation leaves the zone once, and is safe there.
#[test]
fn one_copy_stays_in_the_zone_where_another_store_is() {
    for at in 1..5 {
        let mut stand = zones(&["a", "b", "b", "c", "c"]);
        stand[at] = "a".into();
        let all = Loaded::in_zones(stand.clone(), 20);
        let backups = all.backups();
        let near = daemon(&format!("store-{}", at + 1));
        assert!(backups.contains(&near), "{stand:?}: {backups:?}");
        assert_eq!(backups.len(), 2);
        let far = |store: &&Daemon| **store != near;
        assert_eq!(backups.iter().filter(far).count(), 1, "{stand:?}: {backups:?}");
    }
}

#[test]
fn a_leader_alone_in_its_zone_has_both_copies_elsewhere() {
    let all = Loaded::in_zones(zones(&["a", "b", "b", "c", "c"]), 20);
    assert_eq!(all.backups().len(), 2);
}

/// One in another zone is always among them, also when the near one is gone,
/// or the far one is.
#[test]
fn a_backup_that_is_gone_gives_way_to_one_that_keeps_a_copy_in_another_zone() {
    let stand = zones(&["a", "a", "b", "b", "c"]);
    for gone_is_near in [true, false] {
        let mut all = Loaded::in_zones(stand.clone(), 20);
        let near = daemon("store-2");
        let gone = all.backups().into_iter().find(|backup| (*backup == near) == gone_is_near).expect("one of each");
        all.cut(&gone);
        all.run(Span::secs(3));
        let backups = all.backups();
        assert_eq!(backups.len(), 2);
        assert!(!backups.contains(&gone), "{backups:?}");
        assert_eq!(backups.contains(&near), !gone_is_near, "{backups:?}");
    }
}

const STEP: Span = Span::millis(20);

/// Lets time pass; at each moment every accepted message is held by so many
/// stores, in two zones at least.
fn run_safely(all: &mut Loaded, span: Span, stores: usize) {
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

/// A zone goes dark, and disks are lost in another at the same moment: what was
/// accepted stands on three stores in two zones before, so one that is neither
/// dark nor empty has it, or the dark zone brings it back.
#[test]
fn a_dark_zone_and_two_lost_disks_leave_what_was_accepted() {
    for (dark, lost) in [("a", "b"), ("b", "a"), ("b", "c"), ("c", "a"), ("c", "b"), ("a", "c")] {
        let stand = zones(&["a", "a", "b", "b", "c", "c"]);
        let mut all = Loaded::in_zones(stand.clone(), 20);
        run_safely(&mut all, Span::secs(1), 3);
        let of = |zone: &str| -> Vec<_> {
            let numbers = (1..=stand.len()).filter(|n| stand[*n - 1] == zone);
            numbers.map(|n| daemon(&format!("store-{n}"))).collect()
        };
        let mut mark = 100;
        for store in of(lost) {
            mark += 1;
            all.wipe(&store, IncarnationId(mark));
        }
        let (holders, _) = all.fewest_holders();
        assert!(holders >= 1, "{dark} dark, disks of {lost} lost: a message is gone");
    }
}

/// The disk of a near backup is lost: it counts again only once its new folder is
/// seated, and is drawn in again when it is whole.
#[test]
fn a_wiped_near_backup_is_drawn_in_again_when_it_counts() {
    let mut all = Loaded::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    run_safely(&mut all, Span::secs(1), 3);
    assert!(all.backups().contains(&near));
    all.wipe(&near, IncarnationId(77));
    // What stood on it lacks one copy until it is made whole.
    run_safely(&mut all, Span::millis(500), 2);
    let before = all.accepted();
    run_safely(&mut all, Span::millis(3_500), 2);
    let taken = all.accepted() - before;
    assert!(taken > 500, "{taken} of 700 messages were accepted in 3.5 s after the loss");
    let counting: Vec<_> = all.backups().into_iter().filter(|backup| *backup != near).collect();
    assert_eq!(counting.len(), 2, "an empty folder stands in for a copy: {:?}", all.backups());
    all.seat(&near);
    run_safely(&mut all, Span::secs(8), 3);
    assert!(all.backups().contains(&near), "{:?}", all.backups());
    assert_eq!(all.backups().len(), 2);
}

/// A near backup takes the place of a far one: at no moment does a message stand
/// on fewer stores, or in the leader's zone alone.
#[test]
fn a_far_backup_goes_only_when_the_near_one_has_all_that_stands() {
    let mut all = Loaded::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    for _ in 0..3 {
        all.cut(&near);
        run_safely(&mut all, Span::secs(3), 3);
        assert!(!all.backups().contains(&near));
        all.mend(&near);
        run_safely(&mut all, Span::secs(8), 3);
        let backups = all.backups();
        assert!(backups.contains(&near) && backups.len() == 2, "{backups:?}");
    }
}

/// Three stores, one backup: it comes back without its disk before anybody could
/// miss it. The third store takes its place at once.
#[test]
fn the_only_backup_without_its_disk_gives_way_to_the_third_store() {
    let mut all = Loaded::with_messages(3, 20);
    let backup = all.backups().remove(0);
    all.wipe(&backup, IncarnationId(88));
    run_safely(&mut all, Span::millis(500), 1);
    let before = all.accepted();
    run_safely(&mut all, Span::secs(2), 1);
    let taken = all.accepted() - before;
    assert!(taken > 350, "{taken} of 400 messages were accepted in 2 s after the loss");
    assert!(!all.backups().contains(&backup));
}
