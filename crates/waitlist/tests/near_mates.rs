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
