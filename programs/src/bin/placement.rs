//! One primary and warm standbys that hold the map of places.
use dahliawick::prelude::*;
use dw_placement::prelude::{ElectionPace, Placement, Startup as Place};

fn main() -> ExitCode {
    start("placement", Face::Operators, Startup::seeds, |s, flags, seeds, parts| {
        let t = &s.times;
        let place = Place {
            me: parts.me,
            siblings: seeds.iter().map(|n| n.id.clone()).filter(|d| d.as_str() != s.id).collect(),
            terms: t.terms(),
            election: ElectionPace {
                beat: Span::millis(t.election_beat),
                still: Span::millis(t.election_still),
                drift: t.drift_percent,
                ..ElectionPace::default()
            },
            window: Span::millis(t.window),
            hold: Span::millis(t.hold),
            charter_lease: Span::millis(t.charter_lease),
            platform: s.platform.clone().unwrap_or_default(),
            poll: Span::millis(t.poll),
            seed: parts.seed,
        };
        Placement::new(place, parts.files, parts.fresh, flags.bootstrap, parts.now)
    })
}
