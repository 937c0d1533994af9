//! Startup settings of a store under test; tests change what they need.
use dw_queue::prelude::*;

pub fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

pub fn member(name: &str, zone: &str) -> Member {
    Member {
        id: daemon(name),
        zone: Zone(zone.to_string()),
        addr: format!("{name}:1"),
        http: String::new(),
        incarnation: IncarnationId(1),
        disk_id: IncarnationId(0),
        machine: String::new(),
    }
}

pub fn startup(me: Member) -> Startup {
    Startup {
        me,
        seeds: vec![daemon("placement-1")],
        pull: Span::millis(400),
        terms: LeaseTerms::default(),
        bytes_max: 1 << 20,
        disk_max: 1 << 20,
        cache_max: 1 << 20,
        count_max: 1000,
        backoff: Span::millis(200),
        backoff_max: Span::secs(5),
        word: Span::millis(300),
        wall: 0,
        seed: 1,
    }
}
