//! The startup settings of a proxy in zone `z1`.
use dw_ingest::prelude::*;

/// After this without an answer from the leader, a copy is sent on another path.
pub const RESEND_AFTER: Span = Span::millis(400);

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
        pull_interval: Span::millis(400),
        lease_terms: LeaseTerms::default(),
        max_submissions: 64,
        resend_after: RESEND_AFTER,
        response_timeout: Span::secs(2),
        start_unix_micros: 1,
        started_at: now,
    }
}
