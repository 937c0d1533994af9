//! What is borne now is told before a second loss comes.
mod fleet;
use fleet::*;

fn group(size: usize, present: &[&str]) -> QuorumGroup {
    QuorumGroup { size, present: present.iter().map(|zone| Zone(zone.to_string())).collect() }
}

#[test]
fn a_group_bears_what_leaves_a_majority() {
    let one = Tolerance { machines: 1, zones: 1, regions: 0 };
    let two = Tolerance { machines: 2, ..one };
    assert!(group(3, &["a", "b", "c"]).tolerates(&one));
    assert!(!group(3, &["a", "b"]).tolerates(&one), "one of three is away");
    assert!(!group(3, &["a", "b", "b"]).tolerates(&one), "zone b has a majority");
    assert!(!group(4, &["a", "b", "c", "d"]).tolerates(&two), "four bear no more than three");
    assert!(group(5, &["a", "a", "b", "b", "c"]).tolerates(&two));
    assert!(!group(5, &["a", "a", "a", "b", "c"]).tolerates(&two), "zone a has a majority");
    assert!(!group(5, &["a", "b", "c"]).tolerates(&one), "nothing more may go");
    assert!(!group(3, &["a", "b", "c"]).tolerates(&Tolerance { zones: 2, ..one }), "two of three zones");
}

#[test]
fn losses_of_regions_are_said_not_to_be_planned_for() {
    let stated = Tolerance { machines: 1, zones: 1, regions: 1 };
    let whole = group(3, &["a", "b", "c"]);
    let short = Redundancy::new(whole.clone(), vec![whole], &stated).shortfall(&stated);
    assert_eq!(short, ["the loss of 1 regions is not planned for: only zones are known"]);
}

fn status(f: &mut Fleet) -> Value {
    let primary = f.primary().unwrap();
    f.step(&primary, Event::Request(RequestId(9_000), ApiRequest::Status));
    let told = f.told.remove(&9_000).unwrap();
    serde_json::from_str::<Value>(&told.json).unwrap()["redundancy"].clone()
}

#[test]
fn a_store_in_a_zone_without_another_is_missed_in_the_status() {
    let mut f = spooled(3);
    let calm = status(&mut f);
    assert_eq!(calm["shortfall"], json!([]), "{calm}");
    assert_eq!(calm["voters"], json!({"size": 3, "present": 3, "machines": 1, "zones": true}));
    let fake = f.fakes.remove(&daemon("store-1")).unwrap();
    f.run(4_000);
    let short = status(&mut f);
    assert_eq!(short["weak_write_sets"], 6, "{short}");
    assert_eq!(short["weakest_write_set"], json!({"size": 3, "present": 2, "machines": 0, "zones": false}));
    f.fakes.insert(daemon("store-1"), fake);
    f.run(4_000);
    assert_eq!(status(&mut f)["shortfall"], json!([]));
}

#[test]
fn a_lost_voter_of_three_is_missed_in_the_status() {
    let mut f = spooled(3);
    let standby = f.standby();
    f.cut.insert(standby.clone());
    f.run(4_000);
    assert_eq!(status(&mut f)["voters"], json!({"size": 3, "present": 2, "machines": 0, "zones": false}));
    f.cut.remove(&standby);
    f.run(4_000);
    assert_eq!(status(&mut f)["shortfall"], json!([]));
}
