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

/// The header of a message with this body.
#[allow(dead_code)]
pub fn header_of(id: &str, seq: u64, body: &[u8]) -> MessageHeader {
    MessageHeader { id: MessageId(id.into()), seq, crc: crc32(body), len: body.len() as u32, ..MessageHeader::default() }
}

/// A request that the route "bulk" of the tests matches.
#[allow(dead_code)]
pub fn caller_request() -> CallerRequest {
    CallerRequest { host: "h".into(), path: "/sheet".into(), ..CallerRequest::default() }
}

pub fn startup(me: Member) -> Startup {
    Startup {
        me,
        seeds: vec![daemon("placement-1")],
        pull_interval: Span::millis(400),
        lease_terms: LeaseTerms::default(),
        max_body_bytes: 1 << 20,
        max_disk_bytes: 1 << 20,
        max_cached_bytes: 1 << 20,
        max_messages: 1000,
        min_backoff: Span::millis(200),
        max_backoff: Span::secs(5),
        max_answer_delay: Span::millis(300),
        started_unix_micros: 0,
        rng_seed: 1,
    }
}
