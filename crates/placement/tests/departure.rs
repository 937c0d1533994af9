//! Stores that are shut down: if a successor has joined, their seats move to it, and
//! they are told to wait until that is done; otherwise nothing moves.
mod fleet;
use fleet::*;

/// A store that is shut down ends after this time, whatever it is told.
const MAX_SHUTDOWN_MS: u64 = 5_000;

/// Three stores and, in the zone of the first, a store without a seat that has just
/// joined.
fn with_successor() -> Fleet {
    let mut f = serving_with_stores(3);
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
    set_copying(&mut f, false);
    stop(&mut f, "store-1");
    f.run_until(800, |f| told_to_wait(f, "store-1") == Some(true));
    f.run_until(2_000, |f| replacement_count(f) == 6);
    assert_eq!(told_to_wait(&f, "store-1"), Some(true), "no seat has moved");
    set_copying(&mut f, true);
    f.run_until(MAX_SHUTDOWN_MS - 3_000, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (0, 6));
}

#[test]
fn the_seats_go_on_moving_after_the_store_has_gone() {
    let mut f = with_successor();
    set_copying(&mut f, false);
    stop(&mut f, "store-1");
    f.run_until(2_000, |f| replacement_count(f) == 6);
    f.fakes.remove(&daemon("store-1"));
    set_copying(&mut f, true);
    f.run_until(1_500, |f| seat_count(f, "store-4") == 6);
}

#[test]
fn a_restart_without_a_successor_moves_nothing_and_waits_for_nothing() {
    let mut f = serving_with_stores(6);
    // A spare that joined long ago does not count as a successor.
    f.add("store-7", "z1");
    f.run(40_000);
    assert_eq!(seat_count(&f, "store-7"), 0);
    let before = state(&f).layout.clone();
    stop(&mut f, "store-1");
    f.run_until(800, |f| told_to_wait(f, "store-1") == Some(false));
    for _ in 0..20 {
        f.run(50);
        assert_eq!(replacement_count(&f), 0);
    }
    assert_eq!(state(&f).layout, before);
}

#[test]
fn a_store_that_is_back_before_its_seats_moved_keeps_them() {
    let mut f = with_successor();
    set_copying(&mut f, false);
    stop(&mut f, "store-1");
    f.run_until(2_000, |f| replacement_count(f) == 6);
    let mut fake = f.fakes.remove(&daemon("store-1")).unwrap();
    f.run(600);
    fake.member.incarnation = IncarnationId(2);
    fake.stopping = false;
    f.fakes.insert(daemon("store-1"), fake);
    f.run_until(1_500, |f| replacement_count(f) == 0);
    set_copying(&mut f, true);
    f.run(2_000);
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (6, 0));
}

#[test]
fn the_seats_of_one_zone_do_not_move_into_another_for_a_stop() {
    let mut f = serving_with_stores(3);
    f.add("store-4", "z2");
    f.run(1_500);
    stop(&mut f, "store-1");
    f.run_until(800, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-4")), (6, 0));
}

#[test]
fn two_stores_that_stop_at_once_each_get_a_successor() {
    let mut f = serving_with_stores(3);
    f.add("store-4", "z1");
    f.add("store-5", "z2");
    f.run(1_500);
    stop(&mut f, "store-1");
    stop(&mut f, "store-2");
    f.run_until(MAX_SHUTDOWN_MS, |f| told_to_wait(f, "store-1") == Some(false) && told_to_wait(f, "store-2") == Some(false));
    assert_eq!((seat_count(&f, "store-1"), seat_count(&f, "store-2")), (0, 0));
}

#[test]
fn a_new_primary_without_all_reports_lets_the_store_wait() {
    let mut f = with_successor();
    set_copying(&mut f, false);
    stop(&mut f, "store-1");
    f.run(500);
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.fakes.get_mut(&daemon("store-1")).unwrap().told_to_wait = None;
    f.run_until(9_000, |f| told_to_wait(f, "store-1").is_some());
    assert_eq!(told_to_wait(&f, "store-1"), Some(true));
    set_copying(&mut f, true);
    f.run_until(4_000, |f| told_to_wait(f, "store-1") == Some(false));
    assert_eq!(seat_count(&f, "store-4"), 6);
}
