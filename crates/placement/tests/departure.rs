//! Stores that are told to stop: where a successor is there their seats move
//! before they go, and they are told to wait for it; else nothing moves.
mod fleet;
use fleet::*;

/// A store that stops goes after this, whatever it is told.
const GONE_WITHIN_MS: u64 = 5_000;

/// Three stores and, in the first one's zone, one without a seat that just
/// came up.
fn with_successor() -> Fleet {
    let mut f = spooled(3);
    f.add("store-4", "z1");
    f.run(1_500);
    f
}

fn stop(f: &mut Fleet, store: &str) {
    f.fakes.get_mut(&daemon(store)).expect("a daemon").stopping = true;
}

fn told_to_wait(f: &Fleet, store: &str) -> Option<bool> {
    f.fakes[&daemon(store)].told_to_wait
}

#[test]
fn a_store_that_stops_waits_until_its_successor_has_its_seats() {
    let mut f = with_successor();
    copying(&mut f, false);
    stop(&mut f, "store-1");
    f.until(800, |f| told_to_wait(f, "store-1") == Some(true));
    f.until(2_000, |f| swaps(f) == 6);
    assert_eq!(told_to_wait(&f, "store-1"), Some(true), "no seat has moved");
    copying(&mut f, true);
    f.until(GONE_WITHIN_MS - 3_000, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (0, 6));
}

#[test]
fn the_seats_go_on_moving_after_the_store_has_gone() {
    let mut f = with_successor();
    copying(&mut f, false);
    stop(&mut f, "store-1");
    f.until(2_000, |f| swaps(f) == 6);
    f.fakes.remove(&daemon("store-1"));
    copying(&mut f, true);
    f.until(1_500, |f| seats(f, "store-4") == 6);
}

#[test]
fn a_restart_without_a_successor_moves_nothing_and_waits_for_nothing() {
    let mut f = spooled(6);
    // A spare that has been there for long is nobody's successor.
    f.add("store-7", "z1");
    f.run(40_000);
    assert_eq!(seats(&f, "store-7"), 0);
    let before = hard(&f).layout.clone();
    stop(&mut f, "store-1");
    f.until(800, |f| told_to_wait(f, "store-1") == Some(false));
    for _ in 0..20 {
        f.run(50);
        assert_eq!(swaps(&f), 0);
    }
    assert_eq!(hard(&f).layout, before);
}

#[test]
fn a_store_that_is_back_before_its_seats_moved_keeps_them() {
    let mut f = with_successor();
    copying(&mut f, false);
    stop(&mut f, "store-1");
    f.until(2_000, |f| swaps(f) == 6);
    let mut fake = f.fakes.remove(&daemon("store-1")).unwrap();
    f.run(600);
    fake.me.incarnation = IncarnationId(2);
    fake.stopping = false;
    f.fakes.insert(daemon("store-1"), fake);
    f.until(1_500, |f| swaps(f) == 0);
    copying(&mut f, true);
    f.run(2_000);
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (6, 0));
}

#[test]
fn the_seats_of_one_zone_do_not_move_into_another_for_a_stop() {
    let mut f = spooled(3);
    f.add("store-4", "z2");
    f.run(1_500);
    stop(&mut f, "store-1");
    f.until(800, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-4")), (6, 0));
}

#[test]
fn two_stores_that_stop_at_once_share_what_is_there() {
    let mut f = spooled(3);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.run(1_500);
    stop(&mut f, "store-1");
    stop(&mut f, "store-2");
    f.until(GONE_WITHIN_MS, |f| told_to_wait(f, "store-1") == Some(false) && told_to_wait(f, "store-2") == Some(false));
    assert_eq!((seats(&f, "store-1"), seats(&f, "store-2")), (0, 0));
}

#[test]
fn a_new_primary_that_has_not_heard_all_lets_the_store_wait() {
    let mut f = with_successor();
    copying(&mut f, false);
    stop(&mut f, "store-1");
    f.run(500);
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.fakes.get_mut(&daemon("store-1")).unwrap().told_to_wait = None;
    f.until(9_000, |f| told_to_wait(f, "store-1").is_some());
    assert_eq!(told_to_wait(&f, "store-1"), Some(true));
    copying(&mut f, true);
    f.until(4_000, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!(seats(&f, "store-4"), 6);
}
