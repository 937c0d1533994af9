//! Troubles for a soak, drawn from a seed: kills, planned ends, pauses, cuts,
//! lost answers, signals and changes of the configuration, two or three of them at a
//! time; at times one strikes a daemon as soon as the last on it is over. Beside
//! them the stores lose their disks in turn.
use crate::fleet::prelude::*;
use std::ops::Range;

/// The daemons and workers that troubles are drawn from.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    pub daemons: Vec<String>,
    /// Those of the daemons that lose their disks.
    pub stores: Vec<String>,
    pub workers: Vec<String>,
}

/// Traffic alone comes first, and again at the end.
const CALM_BEFORE: f64 = 3.0;
const CALM_AFTER: f64 = 6.0;
/// Between the beginnings of two troubles: so two or three overlap.
const BETWEEN: Range<f64> = 0.8..2.5;
const LASTS: Range<f64> = 1.0..5.0;
/// In a series, the next strikes so many seconds after the one before is over.
const AT_ONCE: f64 = 0.3;
/// Between two losses of a disk. The next waits besides until every partition
/// has all its copies again: more than one at a time is not borne.
const BETWEEN_WIPES: Range<f64> = 6.0..9.0;
const WIPE_LASTS: Range<f64> = 0.5..2.0;
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

/// Draws troubles for so many seconds of load. Of one daemon or worker no two
/// overlap, and neither do two cuts.
pub fn draw(seed: u64, seconds: u64, targets: &Targets) -> Vec<Fault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut busy: Map<String, f64> = Map::new();
    let mut faults = Vec::new();
    let mut at = CALM_BEFORE;
    let last = seconds as f64 - CALM_AFTER;
    while at < last {
        let lasts = within(&mut rng, LASTS).min(last - at + 1.0);
        let (verb, who) = one(&mut rng, targets);
        let resource = if verb == Verb::Cut || verb == Verb::CutOne { "zones".to_string() } else { who.clone() };
        if busy.get(&resource).is_none_or(|until| *until < at) {
            let first = Fault { verb, who, at, back: Some(lasts) };
            let second = next_of_series(&mut rng, &first, last);
            let over = second.as_ref().unwrap_or(&first);
            busy.insert(resource, over.at + over.back.unwrap_or(0.0) + 1.0);
            faults.push(first);
            faults.extend(second);
        }
        at += within(&mut rng, BETWEEN);
    }
    let wipes = lost_disks(&mut rng, last, &targets.stores);
    faults.retain(|fault| !wipes.iter().any(|wipe| strike_together(fault, wipe)));
    faults.extend(wipes);
    faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    faults
}

/// Whether two troubles strike the same daemon at one time.
fn strike_together(one: &Fault, other: &Fault) -> bool {
    let end = |fault: &Fault| fault.at + fault.back.unwrap_or(0.0) + AT_ONCE;
    one.who == other.who && one.at < end(other) && other.at < end(one)
}

/// The stores lose their disks one after the other.
fn lost_disks(rng: &mut fastrand::Rng, last: f64, stores: &[String]) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = CALM_BEFORE + within(rng, LASTS);
    for store in stores.iter().cycle().skip(rng.usize(..stores.len().max(1))) {
        if at >= last {
            break;
        }
        faults.push(Fault { verb: Verb::Wipe, who: store.clone(), at, back: Some(within(rng, WIPE_LASTS)) });
        at += within(rng, BETWEEN_WIPES);
    }
    faults
}

/// At times a daemon that has just come back is struck once more.
fn next_of_series(rng: &mut fastrand::Rng, first: &Fault, last: f64) -> Option<Fault> {
    let strikes = [Verb::Kill, Verb::Term, Verb::Freeze, Verb::Hup];
    let at = first.at + first.back.unwrap_or(0.0) + AT_ONCE;
    let of_daemon = strikes.contains(&first.verb);
    if !of_daemon || at >= last || rng.u8(..3) > 0 {
        return None;
    }
    let verb = strikes[rng.usize(..strikes.len())];
    let lasts = within(rng, LASTS).min(last - at + 1.0);
    Some(Fault { verb, who: first.who.clone(), at, back: Some(lasts) })
}

fn within(rng: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + rng.f64() * (range.end - range.start)
}

/// A trouble and whom it strikes.
fn one(rng: &mut fastrand::Rng, targets: &Targets) -> (Verb, String) {
    let kinds = [
        Verb::Kill,
        Verb::Kill,
        Verb::Term,
        Verb::Freeze,
        Verb::Freeze,
        Verb::Lose,
        Verb::Crash,
        Verb::Cut,
        Verb::CutOne,
        Verb::Hup,
        Verb::Change,
        Verb::Change,
    ];
    let verb = kinds[rng.usize(..kinds.len())];
    let who = match verb {
        Verb::Cut | Verb::CutOne => {
            let from = rng.usize(..ZONES.len());
            let to = (from + 1 + rng.usize(..ZONES.len() - 1)) % ZONES.len();
            format!("{}/{}", ZONES[from], ZONES[to])
        }
        Verb::Change => "charter".to_string(),
        Verb::Lose | Verb::Crash => targets.workers[rng.usize(..targets.workers.len())].clone(),
        _ => targets.daemons[rng.usize(..targets.daemons.len())].clone(),
    };
    (verb, who)
}

/// The troubles as the words that `--faults` takes, to play them again.
pub fn words(faults: &[Fault]) -> String {
    let one = |fault: &Fault| {
        let verb = format!("{:?}", fault.verb).to_lowercase();
        let back = fault.back.map(|back| format!("+{back:.2}")).unwrap_or_default();
        format!("{verb}:{}@{:.2}{back}", fault.who, fault.at)
    };
    faults.iter().map(one).collect::<Vec<_>>().join(",")
}

/// What the daemons' logs tell of their own invariants: each line of an event
/// that is always a fault.
pub fn violations(folder: &Path) -> std::io::Result<Vec<String>> {
    let events = [LogEvent::AttemptOverran, LogEvent::EndedMessageDequeued, LogEvent::StrandedMessageRequeued]
        .map(|note| format!(" {} {}", note.number(), note.description()));
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        let told = |line: &&str| events.iter().any(|event| line.contains(event));
        found.extend(text.lines().filter(told).map(|line| format!("invariant: {name}: {line}")));
    }
    Ok(found)
}
