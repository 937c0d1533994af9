//! How soon a backup is replaced when it falls silent.
mod loaded_stores;
mod settings;
use dw_queue::prelude::*;
use loaded_stores::LoadedStores;

fn stores_under_load() -> LoadedStores {
    let zones = ["a", "a", "b", "b", "c"];
    let mut all = LoadedStores::in_zones(zones.iter().map(|zone| zone.to_string()).collect(), 20);
    all.run(Span::millis(500));
    all
}

/// Long run trouble-1: a machine that lost power closed no connection, and each partition
/// with a backup there stalled for half a second.
#[test]
fn a_backup_that_was_fast_is_replaced_within_a_fifth_of_a_second() {
    for at in 0..2 {
        let mut all = stores_under_load();
        let stopped = all.backups()[at].clone();
        all.disconnect(&stopped);
        all.run(Span::millis(200));
        let backups = all.backups();
        assert!(!backups.contains(&stopped), "{backups:?}");
        assert_eq!(backups.len(), 2);
    }
}

/// The leader was stalled: what the backups sent meanwhile is still unread.
#[test]
fn no_backup_is_replaced_because_the_leader_was_stalled() {
    let mut all = stores_under_load();
    let before = all.backups();
    all.stall(Span::secs(1));
    all.run(Span::millis(400));
    assert_eq!(all.backups(), before);
}

/// Acknowledgements become slower and slower: the slowest recent one sets the limit.
#[test]
fn the_limit_of_a_backup_follows_its_own_acknowledgements() {
    let mut peer = PeerProgress::default();
    peer.synced_op = Some(0);
    let limits = SilenceLimits { min: Span::millis(150), max: Span::millis(480) };
    let mut now = Time::millis(10_000);
    for (upto, took) in [(1, 10), (2, 30), (3, 50)] {
        peer.record_sent(upto, now);
        now += Span::millis(took);
        peer.synced_op = Some(upto);
        peer.record_ack(upto, now);
    }
    peer.record_sent(4, now);
    assert!(peer.update_behind(4, now));
    assert!(!peer.is_silent(Time(0), limits, now + Span::millis(390)));
    assert!(peer.is_silent(Time(0), limits, now + Span::millis(410)));
    // A peer that fetches a copy, or has not acknowledged as a backup, gets the maximum.
    let joined = now + Span::millis(1);
    assert!(!peer.is_silent(joined, limits, joined + Span::millis(470)));
    let mut copying = peer;
    copying.synced_op = None;
    assert!(!copying.is_silent(Time(0), limits, now + Span::millis(470)));
    assert!(copying.is_silent(Time(0), limits, now + Span::millis(490)));
}

/// Found by a soak with far too high a load: backups were replaced hundreds of times a
/// second, and each replacement was a copy of a partition.
#[test]
fn the_minimum_grows_with_each_replacement_and_shrinks_again() {
    let (max, mut now) = (Span::millis(900), Time::millis(10_000));
    let mut min_silence = AdaptiveMinSilence::new(now);
    let mut all = vec![min_silence.current(now)];
    for _ in 0..4 {
        now += Span::millis(500);
        min_silence.record_replacement(max, now);
        all.push(min_silence.current(now));
    }
    assert_eq!(all, [150, 300, 600, 900, 900].map(Span::millis));
    assert_eq!(min_silence.current(now + Span::secs(10)), Span::millis(450));
    assert_eq!(min_silence.current(now + Span::secs(60)), Span::millis(150));
}

/// All peers answer late from some time on, as under a load that is too high: backups are
/// replaced a few times, not on and on.
#[test]
fn a_load_that_slows_all_peers_does_not_replace_backups_on_and_on() {
    let mut all = stores_under_load();
    all.delay(Span::millis(400));
    all.run(Span::secs(6));
    let changes = all.event_count(LogEvent::BackupChosen);
    assert!(changes <= 4, "{changes} changes");
}
