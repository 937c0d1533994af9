//! Schedules of planned work alone, drawn from a seed: stores with their
//! placement daemons, and deliveries, are restarted in turns that overlap,
//! while the configuration changes all day. Nothing excuses a broken rule.
use crate::prelude::*;

const RUN: Span = Span::secs(50);
/// No turn begins after this.
const LAST_TURN: Time = Time::millis(36_000);
const FIRST_TURN: Time = Time::millis(6_000);
/// Kinds of daemon that have so many of each.
const EACH: u64 = 3;

/// A restart in turn of all daemons of one kind, and what stands beside them.
struct Turn {
    kinds: &'static [&'static str],
    from: Time,
    /// Between one and the next.
    gap: Span,
    /// From being told to end to the next start.
    away: Span,
}

pub fn roll_schedule(seed: u64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x2011);
    let mut steps = Vec::new();
    let mut act = |at: Time, act: Act| steps.push(Step { at, act });
    act(Time::millis(1000), Act::Slow("sheets".into(), Span::millis(rng.u64(100..400))));
    act(Time::millis(1000), Act::Slow("ledgers".into(), Span::millis(rng.u64(20..100))));
    act(Time::millis(2000), Act::Changes(Span::millis(rng.u64(300..600))));
    let mut at = FIRST_TURN;
    while at < LAST_TURN {
        let stores: &[&str] = if rng.u8(..5) > 0 { &["store", "placement"] } else { &["store"] };
        let gap = Span::millis(rng.u64(1000..5000));
        let away = Span::millis(rng.u64(800..2500));
        roll(Turn { kinds: stores, from: at, gap, away }, &mut rng, &mut act);
        let from = at + Span::millis(rng.u64(..5000));
        let (gap, away) = (Span::millis(rng.u64(1000..3000)), Span::millis(rng.u64(500..1500)));
        roll(Turn { kinds: &["delivery"], from, gap, away }, &mut rng, &mut act);
        at += Span::millis(rng.u64(10_000..18_000));
    }
    steps.sort_by_key(|step| step.at);
    let rate = rng.u64(60..100);
    let routing = Some(Routing { delayed: 10, ..Routing::default() });
    Script { name: format!("rolls {seed}"), seeds: 1, run: RUN, rate, steps, routing, ..Script::default() }
}

/// Each daemon is told to end once, in an order that is drawn.
fn roll(turn: Turn, rng: &mut fastrand::Rng, act: &mut impl FnMut(Time, Act)) {
    let mut order: Vec<u64> = (1..=EACH).collect();
    rng.shuffle(&mut order);
    let mut at = turn.from;
    for n in order {
        for kind in turn.kinds {
            act(at, Act::Leave(format!("{kind}-{n}")));
            act(at + turn.away, Act::Start(format!("{kind}-{n}")));
        }
        at += turn.gap;
    }
}
