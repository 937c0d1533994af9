//! Startup files where the platform's words are spoken.
use dw_shell::prelude::*;
use serde_json::{json, Value};

fn base() -> Value {
    json!({
        "cluster": "c", "id": "placement-10.0.0.1", "zone": "z", "listen": "10.0.0.1:7000", "speech": "platform",
        "fronts": ["10.0.0.1:8000"], "sibling_port": 7000, "seeds": ["10.0.0.2:8000", "10.0.0.1:8000"],
        "data": "data", "limits": {"memory_mb": 200, "disk_mb": 300, "fds": 1000},
    })
}

fn read(v: Value) -> Result<Startup, StartupError> {
    Startup::parse(&v.to_string(), "startup.json".as_ref())
}

fn with(key: &str, v: Value) -> Value {
    let mut b = base();
    b[key] = v;
    b
}

#[test]
fn seeds_by_address_become_peers() {
    let s = read(base()).unwrap();
    s.check("placement").unwrap();
    let seeds = s.seeds().unwrap();
    assert_eq!(seeds[0].id.as_str(), "placement-10.0.0.2");
    assert_eq!(seeds[0].addr, "10.0.0.2:7000");
    assert_eq!(s.member(IncarnationId(1)).http, "10.0.0.1:8000");
}

#[test]
fn bounds_follow_from_limits_unless_set() {
    let s = read(base()).unwrap();
    assert_eq!((s.bounds.disk >> 20, s.bounds.bytes >> 20), (239, 95));
    assert_eq!(s.bounds.cache >> 20, 19);
    assert_eq!(s.bounds.messages, 102_400 - 1);
    assert_eq!(s.intake.connections, 400);
    let s = read(with("bounds", json!({"disk": 5, "seats": 7}))).unwrap();
    assert_eq!((s.bounds.disk, s.bounds.seats, s.bounds.bytes >> 20), (5, 7, 95));
    let s = read(with("limits", json!({"disk_mb": 0}))).unwrap();
    assert_eq!(s.bounds.disk, Bounds::default().disk);
}

#[test]
fn what_is_wrong_is_named_with_its_remedy() {
    let cases = [
        (with("seeds", json!([])), "'seeds' names 0"),
        (with("seeds", json!(["here"])), "'seeds' is 'here'"),
        (with("sibling_port", json!(0)), "'sibling_port' is missing"),
        (with("fronts", json!(["x"])), "'fronts' is 'x'"),
        (with("http", json!("x")), "'http' is 'x'"),
        (with("speech", json!("own")), "'http' is ''"),
    ];
    for (v, says) in cases {
        let e = read(v).unwrap().check("placement").unwrap_err().to_string();
        assert!(e.contains(says), "wanted '{says}', got '{e}'");
    }
    let mut own = with("speech", json!("own"));
    own["http"] = json!("10.0.0.1:8000");
    assert!(read(own).unwrap().check("placement").unwrap_err().to_string().contains("'fronts' serve"));
    for (key, v) in [("spech", json!(1)), ("speech", json!("loud")), ("limits", json!({"cpu": 1}))] {
        assert!(read(with(key, v)).is_err(), "{key}");
    }
}

#[test]
fn usual_values_are_not_written_out() {
    let text = r#"{"cluster":"c","id":"store-1","zone":"z","listen":"10.0.0.1:7000","http":"10.0.0.1:8000"}"#;
    let s = Startup::parse(text, "s".as_ref()).unwrap();
    let v = serde_json::to_value(&s).unwrap();
    for key in ["speech", "bootstrap", "fronts", "machine", "sibling_port", "limits", "intake"] {
        assert!(v.get(key).is_none(), "{key} is written out");
    }
}

#[test]
fn what_may_be_lost_is_taken_and_one_machine_and_zone_by_default() {
    let s = read(base()).unwrap();
    assert_eq!(s.tolerates, Tolerance { machines: 1, zones: 1, regions: 0 });
    let s = read(with("tolerates", json!({"machines": 2, "zones": 1, "regions": 0}))).unwrap();
    assert_eq!(s.tolerates.machines, 2);
    assert!(read(with("tolerates", json!({"machine": 2}))).is_err());
}

#[test]
fn a_member_names_its_machine() {
    let s = read(with("machine", json!("storage-akl-a-1"))).unwrap();
    assert_eq!(s.member(IncarnationId(1)).machine, "storage-akl-a-1");
}
