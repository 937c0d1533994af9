//! Keeps partitions of waitlists.
use dahliawick::prelude::*;
use dw_waitlist::prelude::{Startup as Keep, Store};

fn main() -> ExitCode {
    start("store", Face::Status, Startup::seeds, |s, _, seeds, parts| {
        let t = &s.times;
        let keep = Keep {
            me: parts.me,
            seeds: seeds.iter().map(|n| n.id.clone()).collect(),
            pull: Span::millis(t.pull),
            terms: t.terms(),
            bytes_max: s.bounds.bytes,
            count_max: s.bounds.messages,
            backoff: Span::millis(t.backoff),
            backoff_max: Span::millis(t.backoff_max),
            seed: parts.seed,
        };
        Store::new(keep, parts.files, parts.fresh, parts.now)
    })
}
