//! One run of one script under one seed.
use crate::prelude::*;

#[derive(Clone, Debug)]
pub struct Ran {
    pub seed: u64,
    pub found: Found,
    pub trace: Vec<String>,
    pub counts: BTreeMap<&'static str, u64>,
}

/// More events than this in one run are a storm, and a fault.
const STORM: u64 = 2_000_000;

/// How long after the load everything accepted may take to end.
const SETTLE: Span = Span::secs(90);

pub fn run(script: &Script, seed: u64, loud: bool, mutate: Option<fn(&mut Effect, &mut fastrand::Rng) -> bool>) -> Ran {
    let mut w = World::new(seed, script.steps.clone(), script.run, script.rate);
    w.loud = loud;
    w.bounds = (script.messages, script.seats);
    for id in names() {
        w.start(&id, id.kind() == Kind::Placement);
    }
    // The house comes up before the script's clock starts.
    let mut stated = Time(0);
    while w.now < Time::millis(30_000) {
        let Some(ev) = w.pop() else { break };
        w.handle(ev);
        if w.acked.is_none() && w.now.since(stated) > Span::millis(500) {
            stated = w.now;
            let shares = w.shares.clone();
            w.state_charter("first", &shares, "0.0");
        }
        if w.acked.is_some() && w.now.since(stated) > Span::millis(200) {
            stated = w.now;
            if w.ready() {
                break;
            }
        }
    }
    if !w.ready() {
        w.check.flag("the house did not come up".into());
    }
    w.mutate = mutate;
    let zero = w.now;
    w.begin_load();
    for n in 0..script.steps.len() {
        let at = Time(zero.0 + script.steps[n].at.0);
        w.at(at, Ev::Act(n));
    }
    let end = zero + script.run;
    while w.now < end && w.popped < STORM {
        let Some(ev) = w.pop() else { break };
        w.handle(ev);
    }
    w.stopped = true;
    w.mutate = None;
    w.soon(Span::millis(500), Ev::Settle);
    let last = end + SETTLE;
    while !w.over && w.now < last {
        let Some(ev) = w.pop() else { break };
        w.handle(ev);
        if w.popped > STORM {
            w.check.flag(format!("a storm: over {STORM} events"));
            break;
        }
    }
    if w.open > 0 {
        let open = w.open;
        w.check.flag(format!("{open} messages left open {SETTLE:?} after the load"));
    }
    // The charter, read back at day's end.
    for _ in 0..10 {
        w.operate(Ask::CharterShow, "", "show");
        let next = w.now + Span::secs(1);
        while w.now < next {
            let Some(ev) = w.pop() else { break };
            w.handle(ev);
        }
        if w.counts.contains_key("shown") {
            break;
        }
    }
    if !w.counts.contains_key("shown") {
        w.check.flag("the charter could not be read back".into());
    }
    if let Some(d) = &script.retired {
        let done = (1..=3).any(|n| {
            let s = w.status(&Daemon(format!("placement-{n}"))).unwrap_or_default();
            s["retiring"][d]["state"] == "done"
        });
        // What the planner said is what came.
        let asked = script.steps.iter().any(|s| matches!(s.act, Act::PlanRetire(_)));
        if asked && w.planned.is_empty() {
            w.check.flag("the planner named no seats".into());
        }
        let s = w.status(&Daemon("placement-1".into())).unwrap_or_default();
        for p in w.planned.clone() {
            let set = s["layout"][p["place"].as_str().unwrap_or_default()].as_array().cloned().unwrap_or_default();
            if !set.contains(&p["to"]) || set.contains(&p["from"]) {
                w.check.flag(format!("planned {p}, and the write set is {set:?}"));
            }
        }
        if !done {
            w.check.flag(format!("{d} is not retired"));
        }
    }
    let now = w.now;
    for (_, since) in std::mem::take(&mut w.broken) {
        w.check.fault(since, now);
    }
    let mut found = w.check.finish(now);
    for (what, (span, from)) in &found.idle_at_end {
        if *span > Limits::default().back {
            let from = from.since(zero);
            found.broken.push(format!("{what}: not back for {span:?} from {from:?}, the last act being over"));
        }
    }
    for (what, (span, from)) in &found.idle {
        if script.back.is_some_and(|b| *span > b) {
            found.broken.push(format!("{what}: stood still for {span:?} from {:?}", from.since(zero)));
        }
    }
    for (who, most) in &script.waits {
        let waited = found.fair.waits.get(who).copied().unwrap_or(Span::ZERO);
        if waited > *most {
            found.broken.push(format!("{who}: one waited {waited:?}, at most {most:?}"));
        }
    }
    if found.fair.windows < script.contended {
        found.broken.push(format!("shares were judged over {} windows, {} wanted", found.fair.windows, script.contended));
    }
    if let Some(gap) = script.gap {
        if found.outage > gap {
            let (who, from) = w.check.outage_at().clone();
            found.broken.push(format!(
                "{who} had no receipt for {:?} from {:?}, at most {gap:?}",
                found.outage,
                from.since(zero)
            ));
        }
        if found.longest_gap > gap {
            let from = w.check.gap_from().since(zero);
            found.broken.push(format!("no receipt for {:?} from {from:?}, at most {gap:?}", found.longest_gap));
        }
    }
    let mates = w.counts.get("mates").copied().unwrap_or(0);
    if script.mates.is_some_and(|m| mates > m) {
        found.broken.push(format!("second copies moved {mates} times"));
    }
    if found.not_taken < script.refused {
        found.broken.push(format!("{} refused, {} expected", found.not_taken, script.refused));
    }
    if found.accepted < script.accepted {
        found.broken.push(format!("{} accepted, {} expected", found.accepted, script.accepted));
    }
    Ran { seed, found, trace: w.trace.into(), counts: w.counts }
}
