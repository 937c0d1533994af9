//! Where the copies of a partition lie whose keeper needs two beside its own.
mod loaded;
mod settings;
use dw_waitlist::prelude::*;
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
        let mates = all.mates();
        let near = daemon(&format!("store-{}", at + 1));
        assert!(mates.contains(&near), "{stand:?}: {mates:?}");
        assert_eq!(mates.len(), 2);
        let far = |store: &&Daemon| **store != near;
        assert_eq!(mates.iter().filter(far).count(), 1, "{stand:?}: {mates:?}");
    }
}

#[test]
fn a_keeper_alone_in_its_zone_has_both_copies_elsewhere() {
    let all = Loaded::in_zones(zones(&["a", "b", "b", "c", "c"]), 20);
    assert_eq!(all.mates().len(), 2);
}

/// One in another zone is always among them, also when the near one is gone,
/// or the far one is.
#[test]
fn a_mate_that_is_gone_gives_way_to_one_that_keeps_a_copy_in_another_zone() {
    let stand = zones(&["a", "a", "b", "b", "c"]);
    for gone_is_near in [true, false] {
        let mut all = Loaded::in_zones(stand.clone(), 20);
        let near = daemon("store-2");
        let gone = all.mates().into_iter().find(|mate| (*mate == near) == gone_is_near).expect("one of each");
        all.cut(&gone);
        all.run(Span::secs(3));
        let mates = all.mates();
        assert_eq!(mates.len(), 2);
        assert!(!mates.contains(&gone), "{mates:?}");
        assert_eq!(mates.contains(&near), !gone_is_near, "{mates:?}");
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
            "{holders} stores in {zones} zones hold a message; mates {:?}",
            all.mates()
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

/// The disk of a near mate is lost: it counts again only once its new folder is
/// seated, and is drawn in again when it is whole.
#[test]
fn a_wiped_near_mate_is_drawn_in_again_when_it_counts() {
    let mut all = Loaded::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    run_safely(&mut all, Span::secs(1), 3);
    assert!(all.mates().contains(&near));
    all.wipe(&near, IncarnationId(77));
    // What stood on it lacks one copy until it is made whole.
    run_safely(&mut all, Span::millis(500), 2);
    let before = all.accepted();
    run_safely(&mut all, Span::millis(3_500), 2);
    let taken = all.accepted() - before;
    assert!(taken > 500, "{taken} of 700 messages were accepted in 3.5 s after the loss");
    let counting: Vec<_> = all.mates().into_iter().filter(|mate| *mate != near).collect();
    assert_eq!(counting.len(), 2, "an empty folder stands in for a copy: {:?}", all.mates());
    all.seat(&near);
    run_safely(&mut all, Span::secs(8), 3);
    assert!(all.mates().contains(&near), "{:?}", all.mates());
    assert_eq!(all.mates().len(), 2);
}

/// A near mate takes the place of a far one: at no moment does a message stand
/// on fewer stores, or in the keeper's zone alone.
#[test]
fn a_far_mate_goes_only_when_the_near_one_has_all_that_stands() {
    let mut all = Loaded::in_zones(zones(&["a", "a", "b", "b", "c"]), 20);
    let near = daemon("store-2");
    for _ in 0..3 {
        all.cut(&near);
        run_safely(&mut all, Span::secs(3), 3);
        assert!(!all.mates().contains(&near));
        all.mend(&near);
        run_safely(&mut all, Span::secs(8), 3);
        let mates = all.mates();
        assert!(mates.contains(&near) && mates.len() == 2, "{mates:?}");
    }
}

/// Three stores, one mate: it comes back without its disk before anybody could
/// miss it. The third store takes its place at once.
#[test]
fn the_only_mate_without_its_disk_gives_way_to_the_third_store() {
    let mut all = Loaded::with_messages(3, 20);
    let mate = all.mates().remove(0);
    all.wipe(&mate, IncarnationId(88));
    run_safely(&mut all, Span::millis(500), 1);
    let before = all.accepted();
    run_safely(&mut all, Span::secs(2), 1);
    let taken = all.accepted() - before;
    assert!(taken > 350, "{taken} of 400 messages were accepted in 2 s after the loss");
    assert!(!all.mates().contains(&mate));
}
