//! Every scenario file under its fixed seeds; a fixed part of the sweep; and
//! each checker shown able to fail by one deliberate breakage.
use dw_sim::prelude::*;
use expect_test::expect;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

fn all(jobs: Vec<(Script, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let bad = Mutex::new(Vec::new());
    let hands = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|s| {
        for _ in 0..hands {
            s.spawn(|| loop {
                let Some((script, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let r = run(script, *seed, false, None);
                for b in r.found.broken {
                    bad.lock().unwrap().push(format!("{} seed {seed}: {b}", script.name));
                }
            });
        }
    });
    let mut bad = bad.into_inner().unwrap();
    bad.sort();
    bad
}

fn scripts() -> Vec<Script> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let mut files: Vec<_> = std::fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()).collect();
    files.sort();
    files.iter().map(|f| parse(&std::fs::read_to_string(f).unwrap()).unwrap_or_else(|e| panic!("{f:?}: {e}"))).collect()
}

#[test]
fn scenarios_hold() {
    let jobs: Vec<(Script, u64)> =
        scripts().into_iter().flat_map(|s| s.all_seeds().collect::<Vec<_>>().into_iter().map(move |n| (s.clone(), n))).collect();
    assert!(jobs.len() > 60);
    let bad = all(jobs);
    assert!(bad.is_empty(), "{bad:#?}");
}

#[test]
fn a_fixed_part_of_the_sweep_holds() {
    let bad = all((1..=60).map(|n| (schedule(n), n)).collect());
    assert!(bad.is_empty(), "{bad:#?}");
}

#[test]
fn the_same_seed_runs_the_same() {
    let s = schedule(7);
    let (a, b) = (run(&s, 7, false, None), run(&s, 7, false, None));
    assert_eq!(a.trace, b.trace);
    assert!(a.trace.len() > 100);
}

#[test]
fn faulty_scripts_are_refused_with_their_line() {
    let mut out = String::new();
    for text in ["name x\nat 5s smash store-1", "name x\nat 5s kill a\nat 4s kill b", "name x\nrun soon", "run 5s", "name x\nhop"]
    {
        out.push_str(&format!("{}\n", parse(text).unwrap_err()));
    }
    expect![[r#"
        line 2: 'smash store-1' is no act; the words are in docs/scenarios.md
        line 3: 4s comes after a later time; the words are in docs/scenarios.md
        line 2: 'soon' is no time; write 5s or 250ms; the words are in docs/scenarios.md
        line 1: no name is given; the words are in docs/scenarios.md
        line 2: 'hop' is no word here; the words are in docs/scenarios.md
    "#]]
    .assert_eq(&out);
}

type Breakage = fn(&mut Effect, &mut fastrand::Rng) -> bool;

/// Runs a script with one breakage in the daemons' effects; the checker must
/// name the rule it breaks.
fn caught(text: &str, breakage: Breakage, says: &str) {
    let script = parse(&format!("name broken\n{text}")).unwrap();
    let sound = run(&script, 1, false, None);
    assert!(sound.found.broken.is_empty(), "sound: {:?}", sound.found.broken);
    let r = run(&script, 1, false, Some(breakage));
    assert!(r.found.broken.iter().any(|b| b.contains(says)), "'{says}' not caught: {:?}", r.found.broken);
}

fn calls(e: &mut Effect) -> Option<&mut Call> {
    match e {
        Effect::Call(_, c) if c.post => Some(c),
        _ => None,
    }
}

fn charter_news(e: &mut Effect, from: &str, to: &str) {
    if let Effect::Say(_, Msg::News { items, .. }) = e {
        for (_, i) in items {
            if let Item::Charter(json) = i {
                *json = json.replace(from, to);
            }
        }
    }
}

#[test]
fn altered_bytes_are_caught() {
    let b: Breakage = |e, rng| {
        if let Some(c) = calls(e) {
            if rng.u8(..) < 3 {
                c.body = Bytes::from_static(b"other");
            }
        }
        false
    };
    caught("run 10s", b, "altered");
}

#[test]
fn a_message_nobody_sent_is_caught() {
    let b: Breakage = |e, rng| {
        if let Some(c) = calls(e) {
            if rng.u8(..) < 3 {
                c.headers.iter_mut().filter(|h| h.0 == "dahliawick-id").for_each(|h| h.1 = "ghost".into());
            }
        }
        false
    };
    caught("run 10s", b, "which no caller sent");
}

#[test]
fn a_false_refusal_is_caught() {
    let b: Breakage = |e, rng| {
        if let Effect::Tell(_, v) = e {
            if v.code == 202 && rng.u8(..) < 5 {
                (v.code, v.json) = (503, "{\"taken\":false}".into());
            }
        }
        false
    };
    caught("run 10s", b, "told not taken");
}

#[test]
fn a_false_success_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Tell(_, v) = e {
            v.json = v.json.replace("\"waiting\"", "\"succeeded\"");
        }
        false
    };
    caught("run 16s\nrate 20\nat 2s slow library-1 1200ms\nat 10s slow library-1 0ms", b, "no target had said so");
}

#[test]
fn a_disk_that_does_not_keep_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Save { name, .. } = e {
            if name.starts_with("lines") {
                *name = "nowhere".into();
            }
        }
        false
    };
    caught("run 20s\nat 6s alloff\nat 9s allon", b, "never read back");
}

#[test]
fn one_copy_instead_of_two_is_caught() {
    // Siblings acknowledge everything at once and keep nothing.
    let b: Breakage = |e, _| match e {
        Effect::Say(_, Msg::Append { ops, .. }) => {
            for op in ops.iter_mut() {
                if let Op::Put(h, _, _) = op {
                    *op = Op::Drop(h.id.clone());
                }
            }
            false
        }
        _ => false,
    };
    caught("run 20s\nat 8s kill store-1\nat 14s start store-1", b, "accepted, and then not known");
}

#[test]
fn overtaking_is_caught() {
    let b: Breakage = |e, _| {
        charter_news(e, "\"ordered\":true", "\"ordered\":false");
        false
    };
    // The daemons have to hear the charter anew for the breakage to reach them.
    let text = "run 24s\nrate 80\nat 0.5s alloff\nat 1s allon\nat 8s lose records-1 40\nat 8s lose records-2 40\nat 18s lose records-1 0\nat 18s lose records-2 0";
    caught(text, b, "came later for its key");
}

#[test]
fn sends_over_the_allowance_are_caught() {
    let b: Breakage = |e, _| {
        charter_news(e, "\"allowance\":39", "\"allowance\":3900");
        charter_news(e, "\"allowance\":0", "\"allowance\":3900");
        false
    };
    caught("run 20s\nrate 500\nat 0s share curators 50", b, "in 5 s");
}

#[test]
fn work_for_the_drained_and_the_emptied_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Say(_, Msg::News { items, .. }) = e {
            items.retain(|i| i.1.source() != Source::Orders);
        }
        false
    };
    caught("run 14s\nat 2s order-drain sheets-2", b, "although draining");
    caught("run 14s\nat 2s empty z1", b, "is emptied");
}

#[test]
fn a_losing_charter_acknowledged_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Tell(_, v) = e {
            if v.code == 409 {
                v.code = 200;
            }
        }
        false
    };
    caught("run 8s\nat 2s race 10 90", b, "was acknowledged over");
}

#[test]
fn a_call_back_that_never_comes_is_caught() {
    let b: Breakage = |e, _| matches!(e, Effect::Call(_, c) if c.addr.starts_with("10.9.0.3"));
    caught("run 8s", b, "called back");
}

#[test]
fn a_charter_that_is_not_in_force_in_time_is_caught() {
    // News that claims to be fresh and leaves the charter out.
    let b: Breakage = |e, _| {
        if let Effect::Say(to, Msg::News { items, .. }) = e {
            if to.as_str() == "delivery-1" {
                items.retain(|i| i.1.source() != Source::Charter);
            }
        }
        false
    };
    caught("run 10s\nat 2s share curators 20", b, "acts by charter");
}

#[test]
fn an_edge_that_refuses_by_itself_is_caught() {
    // What is not known is told as not taken.
    let b: Breakage = |e, _| {
        if let Effect::Tell(_, v) = e {
            if v.code == 504 && v.json.contains("unknown") {
                (v.code, v.json) = (503, "{\"taken\":false}".into());
            }
        }
        false
    };
    caught("run 20s\nat 4s loss 100\nat 16s loss 0", b, "not taken");
}

#[test]
fn a_keeper_that_forgets_what_it_refused_is_caught() {
    // Copies that don't show their age are refused and not remembered.
    let b: Breakage = |e, _| {
        if let Effect::Say(_, Msg::Carry { stamp, again, .. }) = e {
            (*stamp, *again) = (None, false);
        }
        false
    };
    let text = "run 30s\nrate 150\nmessages 700\nseats 8\nat 2s delay 900ms\nat 8s kill store-1\nat 11s start store-1\nat 12s kill store-2\nat 15s start store-2\nat 16s kill store-3\nat 20s start store-3\nat 24s delay 0ms";
    caught(text, b, "not taken");
}

/// A backlog of two tenants over slow workers.
const FLOOD: &str = "run 24s\nrate 500\nat 0.5s alloff\nat 1s allon\nat 6s slow sheets-1 250ms\nat 6s slow sheets-2 250ms\nat 6s slow sheets-3 250ms\nat 6s slow sheets-4 250ms\nat 6s slow sheets-5 250ms\nat 6s slow sheets-6 250ms\nat 24s slow sheets-1 0ms\nat 24s slow sheets-2 0ms\nat 24s slow sheets-3 0ms\nat 24s slow sheets-4 0ms\nat 24s slow sheets-5 0ms\nat 24s slow sheets-6 0ms\nexpect contended 4";

#[test]
fn a_warm_up_left_out_is_caught() {
    let b: Breakage = |e, _| {
        charter_news(e, "\"warm_ms\":8000", "\"warm_ms\":100");
        false
    };
    caught("run 20s\nrate 300\nat 0.5s alloff\nat 1s allon\nat 8s crash sheets-1\nat 10s revive sheets-1", b, "flooded");
}

#[test]
fn a_fresh_worker_taken_for_an_old_one_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Say(_, Msg::News { items, .. }) = e {
            for (_, i) in items {
                if let Item::Workers(all) = i {
                    all.iter_mut().for_each(|w| w.age = Span::secs(3600));
                }
            }
        }
        if let Effect::Say(_, Msg::Need { report: Some(r), .. }) = e {
            r.warming.clear();
        }
        false
    };
    // The deliveries are restarted, so that they have no list of their own.
    let text = "run 20s\nrate 400\nat 3s crash sheets-1\nat 6s kill delivery-1\nat 6s kill delivery-2\nat 6s kill delivery-3\nat 7s revive sheets-1\nat 9s start all";
    caught(text, b, "flooded");
}

#[test]
fn shares_that_are_not_the_stated_ones_are_caught() {
    let b: Breakage = |e, _| {
        charter_news(e, "\"share\":60", "\"share\":10");
        if let Effect::Say(_, Msg::News { grants, .. }) = e {
            grants.iter_mut().for_each(|g| g.slice = None);
        }
        false
    };
    caught(FLOOD, b, "starved");
}

#[test]
fn a_tenant_without_a_slice_is_caught() {
    // All of a service's slots go to one tenant's partitions.
    let b: Breakage = |e, _| {
        if let Effect::Say(_, Msg::News { grants, .. }) = e {
            for g in grants {
                if matches!(&g.duty, Duty::Deliver(p) if p.tenant == "partners") {
                    g.slice = Some(Slice::default());
                }
            }
        }
        false
    };
    caught(FLOOD, b, "partners/sheets: starved");
}

#[test]
fn call_backs_that_come_late_are_caught() {
    // Most of them go astray and are tried again.
    let b: Breakage = |e, rng| {
        if let Some(c) = calls(e).filter(|c| c.addr.starts_with("10.9.0.3")) {
            if rng.u8(..) < 220 {
                c.addr = "10.9.0.99:80".into();
            }
        }
        false
    };
    caught("run 16s", b, "after its success");
}
