//! How soon a peer that gets every operation gives way when it falls silent.
mod loaded;
mod settings;
use dw_queue::prelude::*;
use loaded::Loaded;

fn busy() -> Loaded {
    let zones = ["a", "a", "b", "b", "c"];
    let mut all = Loaded::in_zones(zones.iter().map(|zone| zone.to_string()).collect(), 20);
    all.run(Span::millis(500));
    all
}

/// Day trouble-1: a machine that lost power closed no line, and each partition
/// of which its store was backup stood still for half a second.
#[test]
fn one_that_used_to_be_fast_gives_way_within_a_fifth_of_a_second() {
    for at in 0..2 {
        let mut all = busy();
        let gone = all.backups()[at].clone();
        all.cut(&gone);
        all.run(Span::millis(200));
        let backups = all.backups();
        assert!(!backups.contains(&gone), "{backups:?}");
        assert_eq!(backups.len(), 2);
    }
}

/// What they sent meanwhile lies unread: it was the leader that stood still.
#[test]
fn none_gives_way_because_the_leader_stood_still() {
    let mut all = busy();
    let before = all.backups();
    all.stand_still(Span::secs(1));
    all.run(Span::millis(400));
    assert_eq!(all.backups(), before);
}

/// The same acknowledgements, slower and slower: what is usual of late counts.
#[test]
fn one_that_is_slow_is_waited_for_by_its_own_measure() {
    let mut peer = PeerProgress::default();
    peer.synced_op = Some(0);
    let patience = SilenceLimits { min: Span::millis(150), max: Span::millis(480) };
    let mut now = Time::millis(10_000);
    for (upto, took) in [(1, 10), (2, 30), (3, 50)] {
        peer.record_sent(upto, now);
        now += Span::millis(took);
        peer.synced_op = Some(upto);
        peer.record_ack(upto, now);
    }
    peer.record_sent(4, now);
    assert!(peer.update_behind(4, now));
    assert!(!peer.is_silent(Time(0), patience, now + Span::millis(390)));
    assert!(peer.is_silent(Time(0), patience, now + Span::millis(410)));
    // One that copies the whole, or has shown nothing as a backup, has longest.
    let joined = now + Span::millis(1);
    assert!(!peer.is_silent(joined, patience, joined + Span::millis(470)));
    let mut copying = peer;
    copying.synced_op = None;
    assert!(!copying.is_silent(Time(0), patience, now + Span::millis(470)));
    assert!(copying.is_silent(Time(0), patience, now + Span::millis(490)));
}

/// Finding of a soak with far too high a load: backups changed hundreds of times
/// a second, and each change was a copy of a partition.
#[test]
fn patience_grows_each_time_one_gives_way_and_comes_back() {
    let (longest, mut now) = (Span::millis(900), Time::millis(10_000));
    let mut least = AdaptiveMinSilence::new(now);
    let mut all = vec![least.current(now)];
    for _ in 0..4 {
        now += Span::millis(500);
        least.record_replacement(longest, now);
        all.push(least.current(now));
    }
    assert_eq!(all, [150, 300, 600, 900, 900].map(Span::millis));
    assert_eq!(least.current(now + Span::secs(10)), Span::millis(450));
    assert_eq!(least.current(now + Span::secs(60)), Span::millis(150));
}

/// All peers answer late from some moment on, as under a load that is too
/// high: backups change a few times, not on and on.
#[test]
fn a_load_that_slows_all_peers_does_not_make_backups_change_on_and_on() {
    let mut all = busy();
    all.delay(Span::millis(400));
    all.run(Span::secs(6));
    let changes = all.notes_of(LogEvent::BackupChosen);
    assert!(changes <= 4, "{changes} changes");
}
