//! One run of routed messages, under one seed.
use crate::prelude::*;

/// After the load, everything accepted may take so long to end.
const SETTLE: Span = Span::secs(45);
/// Ended messages are known so long, and some more.
const KNOWN: Span = Span::secs(118);

fn pass(w: &mut World, until: Time) {
    while w.now < until && !w.over && w.popped < STORM {
        let Some(ev) = w.pop() else { return };
        w.handle(ev);
    }
}

/// Whether the spool is served and every proxy takes callers.
fn ready(w: &mut World) -> bool {
    let mut serving = 0;
    for id in founders().into_iter().filter(|d| d.kind() == DaemonKind::Store) {
        let Some(j) = w.status(&id) else { return false };
        serving += j["places"].as_array().into_iter().flatten().filter(|p| p["phase"] == "serving").count();
    }
    let fronts = (1..=3).filter(|n| w.mail.missed.get(&Daemon(format!("proxy-{n}"))) == Some(&0)).count();
    serving == 6 && fronts == 3
}

pub fn run_day(script: &Script, seed: u64, loud: bool, mutate: Option<Breakage>) -> Ran {
    let mut w = World::new(seed, script.steps.clone(), script.run, script.rate);
    w.loud = loud;
    let usual = script.routing.as_ref().is_some_and(|r| r.usual);
    let paces = if usual { Paces::usual() } else { Paces::short() };
    w.bounds = Bounds { list_rate: LIST_RATE, paces, ..script.bounds.clone() };
    w.body = script.body;
    w.mail.on = true;
    w.mail.routing = script.routing.clone().unwrap_or_default();
    for id in founders() {
        w.start(&id, id.kind() == DaemonKind::Placement);
    }
    w.state_routes();
    w.handle(Ev::Routed(Turn::Probe));
    w.handle(Ev::Routed(Turn::List));
    while w.now < Time::millis(30_000) {
        let soon = w.now + Span::millis(200);
        pass(&mut w, soon);
        if w.mail.acked > 0 && ready(&mut w) {
            break;
        }
    }
    if !ready(&mut w) {
        w.seen.flag("the house did not come up".into());
    }
    w.mutate = mutate;
    let zero = w.now;
    w.begin_routed();
    if script.reread {
        w.soon(Span::secs(1), Ev::Routed(Turn::Again));
    }
    for n in 0..script.steps.len() {
        let at = Time(zero.0 + script.steps[n].at.0);
        w.at(at, Ev::Act(n));
    }
    pass(&mut w, zero + script.run);
    w.stopped = true;
    w.seen.stopped = Some(w.now);
    w.mutate = None;
    w.soon(Span::millis(500), Ev::Routed(Turn::Settle));
    let last = w.now + SETTLE;
    pass(&mut w, last);
    w.over = false;
    if script.reread {
        let last = w.now + KNOWN;
        pass(&mut w, last);
        w.over = false;
    }
    if w.popped >= STORM {
        w.seen.flag(format!("a storm: over {STORM} events"));
    }
    w.show_routed();
    let last = w.now + Span::secs(10);
    while w.now < last && !w.mail.read_back {
        let soon = w.now + Span::millis(200);
        pass(&mut w, soon);
        w.over = false;
    }
    if !w.mail.read_back {
        w.seen.flag("charters: none could be read back at the end".into());
    }
    w.close_troubles();
    let mut found = Found { broken: judge(&w.seen, &RoutedLimits::default(), w.now), ..Found::default() };
    found.sent = w.seen.posts.len();
    found.accepted = w.mail.names.len();
    found.not_taken = w.counts.get("refused").copied().unwrap_or(0) as usize;
    found.unknown = w.counts.get("unknown").copied().unwrap_or(0) as usize;
    found.receipts = w.seen.posts.iter().map(|p| p.runs.len()).sum();
    found.reruns = w.seen.posts.iter().map(|p| p.runs.len().saturating_sub(1)).sum();
    found.call_backs = w.seen.posts.iter().map(|p| p.backs.len()).sum();
    found.broken.extend(w.control.violations().into_iter().map(|violation| format!("control: {violation}")));
    w.count("operations of operators", w.control.operations.len() as u64);
    let changes = w.counts.get("charters").copied().unwrap_or(0);
    if changes < script.changes {
        found.broken.push(format!("{changes} configurations acknowledged, {} expected", script.changes));
    }
    if found.accepted < script.accepted {
        found.broken.push(format!("{} accepted, {} expected", found.accepted, script.accepted));
    }
    if found.not_taken < script.refused {
        found.broken.push(format!("{} refused, {} expected", found.not_taken, script.refused));
    }
    let begun = |p: &Post| p.runs.iter().filter_map(|r| r.began).min().map(|b| b.since(p.sent + p.delay));
    let started: Vec<Span> =
        w.seen.posts.iter().filter(|p| p.accepted().is_some() && p.key.is_empty()).filter_map(begun).collect();
    let late = started.iter().filter(|s| **s > Span::millis(1200)).count();
    w.count("begun late", late as u64);
    let longest = started.iter().max().copied().unwrap_or_default();
    w.count("longest until begun, ms", longest.as_millis());
    if script.begun.is_some_and(|most| longest > most) {
        found.broken.push(format!("one waited {longest:?} for its first run, at most {:?}", script.begun));
    }
    Ran { seed, found, trace: w.trace.into(), counts: w.counts }
}
