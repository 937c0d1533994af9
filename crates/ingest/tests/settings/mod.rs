//! What a proxy of zone `z1` is started with.
use dw_ingest::prelude::*;

/// After this without a word from the leader, another way is tried.
pub const SECOND: Span = Span::millis(400);

pub fn member(id: &str, zone: &str) -> Member {
    let (id, zone) = (Daemon(id.into()), Zone(zone.into()));
    Member {
        id,
        zone,
        addr: "10.0.0.1:1".into(),
        http: String::new(),
        incarnation: IncarnationId(7),
        disk_id: IncarnationId(0),
        machine: String::new(),
    }
}

pub fn startup(now: Time) -> Startup {
    Startup {
        me: member("proxy-1", "z1"),
        agent: Daemon("agent-1".into()),
        pull: Span::millis(400),
        terms: LeaseTerms::default(),
        seats: 64,
        second: SECOND,
        limit: Span::secs(2),
        wall: 1,
        now,
    }
}
