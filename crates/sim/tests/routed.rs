//! Routed messages: a fixed part of the sweep holds, and each rule's watch
//! catches a deliberate breakage.
mod common;

use common::{all, alter_config_updates};
use dw_sim::prelude::*;

#[test]
fn a_fixed_part_of_the_routed_sweep_holds() {
    let bad = all((0..45).map(|seed| (routed_schedule(seed), seed)).collect());
    assert!(bad.is_empty(), "{bad:#?}");
}

#[test]
fn the_same_seed_runs_the_same() {
    let s = routed_schedule(40);
    let (a, b) = (run(&s, 40, false, None), run(&s, 40, false, None));
    assert_eq!(a.trace, b.trace);
    assert!(a.trace.len() > 100);
}

/// Runs a script with one breakage in the daemons' effects; the watch of
/// `rule` must say `says`.
fn caught(text: &str, breakage: Breakage, rule: &str, says: &str) {
    let script = parse(&format!("name broken\nroutes\nrate 60\n{}", text.replace("; ", "\n"))).unwrap();
    common::caught(&script, 1, breakage, |b| b.starts_with(&format!("{rule}: ")) && b.contains(says));
}

fn runs(e: &mut Effect) -> Option<&mut Call> {
    match e {
        Effect::Call(_, c) if matches!(c.kind, CallKind::RunMessage { .. }) => Some(c),
        _ => None,
    }
}

fn listed(e: &mut Effect, change: fn(&mut Worker)) {
    if let Effect::Send(_, PeerMessage::PullResponse { updates: items, .. }) = e {
        for (_, i) in items {
            if let Update::Workers(all) = i {
                all.iter_mut().for_each(change);
            }
        }
    }
}

fn one_in(n: u8, rng: &mut fastrand::Rng) -> bool {
    rng.u8(..n) == 0
}

/// Daemons hear the configuration anew, so that a breakage reaches them.
const ANEW: &str = "at 0.5s alloff; at 1s allon";

#[test]
fn a_false_refusal_is_caught() {
    let b: Breakage = |e, rng| {
        if let Effect::Respond(_, v) = e {
            if v.code == 202 && one_in(40, rng) {
                *v = ApiResponse { retry_after: Some(Span::millis(100)), ..ApiResponse::json(503, "{\"taken\":false}".into()) };
            }
        }
        false
    };
    caught("run 8s", b, "refused", "Refused(503)");
}

#[test]
fn altered_requests_are_caught() {
    let bytes: Breakage = |e, rng| {
        if let Some(c) = runs(e).filter(|_| one_in(60, rng)) {
            c.body = Bytes::from_static(b"other");
        }
        false
    };
    caught("run 8s", bytes, "sent", "altered");
    let path: Breakage = |e, rng| {
        if let Effect::Call(_, Call { kind: CallKind::RunMessage { caller_request: parcel, .. }, .. }) = e {
            if one_in(60, rng) {
                parcel.path.push_str("/more");
            }
        }
        false
    };
    caught("run 8s", path, "sent", "altered");
    let id: Breakage = |e, rng| {
        if let Effect::Call(_, Call { kind: CallKind::RunMessage { caller_request: parcel, .. }, .. }) = e {
            if one_in(60, rng) {
                parcel.id = "ghost".into();
            }
        }
        false
    };
    caught("run 8s", id, "sent", "which nobody sent");
}

#[test]
fn a_run_at_another_services_worker_is_caught() {
    // No worker is named or asked who it is, so whoever listens at an address
    // runs the message.
    let b: Breakage = |e, _| {
        alter_config_updates(e, "\"health\":\"/health\"", "\"health\":\"\"");
        if let Effect::Call(_, Call { kind: CallKind::RunMessage { worker, .. }, .. }) = e {
            *worker = None;
        }
        false
    };
    caught("run 20s; at 0.5s alloff; at 1s allon; at 8s list down; at 9s crash sheets; at 14s list well", b, "allowed", "ran at");
}

#[test]
fn overtaking_is_caught() {
    // The key that the worker sees is the caller's; the one that orders messages is not.
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::Submit { header, .. }) = e {
            header.key.clear();
        }
        false
    };
    caught(
        &format!("keys 10; run 16s; rate 120; {ANEW}; at 6s fail records 20; at 12s fail records 3"),
        b,
        "order",
        "had not ended",
    );
}

#[test]
fn a_success_forgotten_is_caught() {
    let b: Breakage = |e, rng| {
        if let Effect::Send(_, PeerMessage::AttemptResults { entries: all }) = e {
            all.iter_mut()
                .filter(|s| s.outcome == AttemptOutcome::Success && one_in(30, rng))
                .for_each(|s| s.outcome = AttemptOutcome::Unknown);
        }
        false
    };
    caught("run 8s", b, "twice", "had said done");
}

#[test]
fn failures_that_are_not_counted_are_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::AttemptResults { entries: all }) = e {
            all.iter_mut().filter(|s| s.outcome == AttemptOutcome::Failed).for_each(|s| s.outcome = AttemptOutcome::NotStarted);
        }
        false
    };
    caught("run 20s", b, "budget", "failures and");
    let never: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::AttemptResults { entries: all }) = e {
            all.iter_mut()
                .filter(|s| s.outcome == AttemptOutcome::PermanentFailure)
                .for_each(|s| s.outcome = AttemptOutcome::NotStarted);
        }
        false
    };
    caught("run 20s; at 1s poison 10", never, "budget", "refusals for good");
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
    caught("run 16s; delayed 60; at 6s alloff; at 9s allon", b, "finished", "bytes back: false");
}

#[test]
fn one_copy_instead_of_two_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::Append { ops, .. }) = e {
            for op in ops.iter_mut() {
                if let PartitionOp::Put(h, _, _) = op {
                    *op = PartitionOp::Remove(h.id.clone());
                }
            }
        }
        false
    };
    caught("run 16s; delayed 60; at 8s kill store-1; at 12s start store-1", b, "finished", "not known");
}

#[test]
fn a_message_left_lying_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::Offers { entries: all, .. }) = e {
            all.retain(|o| o.header.route != "push-3");
        }
        false
    };
    // Until its end it is told as waiting, and its bytes come back.
    let script = parse("name lying\nroutes\nrate 60\nrun 8s").unwrap();
    let r = run(&script, 1, false, Some(b));
    assert!(r.found.broken.is_empty(), "mended in time: {:?}", r.found.broken);
    let r = run(
        &script,
        1,
        false,
        Some(|e, _| {
            if let Effect::Send(_, PeerMessage::Submit { header: head, .. }) = e {
                if head.route == "push-3" {
                    head.delay = Span::secs(80);
                }
            }
            false
        }),
    );
    assert!(r.found.broken.iter().any(|b| b.contains("is stuck")), "{:?}", r.found.broken);
}

#[test]
fn a_false_end_is_caught() {
    let done: Breakage = |e, _| {
        if let Effect::Respond(_, v) = e {
            if v.message_status == Some(RoutedMessageStatus::Waiting) {
                v.message_status = Some(RoutedMessageStatus::Done("made.up".into()));
            }
        }
        false
    };
    caught("run 8s; delayed 60", done, "told", "which no successful run gave");
    let dead: Breakage = |e, _| {
        if let Effect::Respond(_, v) = e {
            if v.message_status == Some(RoutedMessageStatus::Waiting) {
                v.message_status = Some(RoutedMessageStatus::Dead);
            }
        }
        false
    };
    caught("run 8s; delayed 60", dead, "told", "dead, and it had not ended");
    let seal: Breakage = |e, _| {
        if let Effect::Call(_, Call { kind: CallKind::Callback { message_status: standing, .. }, .. }) = e {
            *standing = RoutedMessageStatus::Done(String::new());
        }
        false
    };
    caught("run 8s", seal, "told", "called back as done with seal ''");
}

#[test]
fn call_backs_left_out_or_late_are_caught() {
    let none: Breakage = |e, rng| matches!(e, Effect::Call(_, Call { kind: CallKind::Callback { .. }, .. }) if rng.u8(..) < 250);
    caught("run 16s", none, "backs", "was never told");
    let astray: Breakage = |e, rng| {
        if let Effect::Call(_, c @ Call { kind: CallKind::Callback { .. }, .. }) = e {
            if rng.u8(..) < 225 {
                c.addr = "10.9.2.99:80".into();
            }
        }
        false
    };
    caught("run 16s", astray, "backs", "after its end");
}

#[test]
fn a_rate_not_kept_is_caught() {
    let b: Breakage = |e, _| {
        alter_config_updates(e, "\"rate\":20.0", "\"rate\":2000.0");
        false
    };
    caught(&format!("run 16s; rate 320; {ANEW}"), b, "rate", "in 5 s");
}

#[test]
fn a_cold_worker_taken_for_a_warm_one_is_caught() {
    let b: Breakage = |e, _| {
        listed(e, |w| w.remaining_warm_up = Span::ZERO);
        alter_config_updates(e, "\"cold_rate\":6.0", "\"cold_rate\":600.0");
        false
    };
    let text = "run 16s; rate 400; at 5s slow sheets 150ms; at 6s release sheets; at 15s slow sheets 0ms";
    caught(&text.replace("at 5s", &format!("{ANEW}; at 5s")), b, "cold", "while cold");
}

#[test]
fn work_for_the_draining_is_caught() {
    let b: Breakage = |e, _| {
        listed(e, |w| w.draining = false);
        false
    };
    caught("run 20s; rate 160; at 3s release sheets", b, "drained", "listed as draining");
}

#[test]
fn work_for_the_emptied_zone_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::PullResponse { updates: items, .. }) = e {
            items.retain(|i| i.1.topic() != Topic::Orders);
        }
        false
    };
    caught("run 14s; at 2s empty z1", b, "emptied", "was emptied");
}

#[test]
fn a_message_run_before_its_delay_is_caught() {
    let b: Breakage = |e, _| {
        if let Effect::Send(_, PeerMessage::Submit { header: head, .. }) = e {
            head.delay = Span::ZERO;
        }
        false
    };
    caught("run 8s", b, "early", "before its delay was over");
}

#[test]
fn a_config_kept_from_a_daemon_is_caught() {
    let proxy: Breakage = |e, _| {
        if let Effect::Send(to, PeerMessage::PullResponse { updates: items, .. }) = e {
            if to.as_str() == "proxy-1" {
                items.retain(|i| i.1.topic() != Topic::Config);
            }
        }
        false
    };
    caught("run 14s; at 2s changes 700ms", proxy, "charters", "as only an older charter has it");
    let delivery: Breakage = |e, _| {
        if let Effect::Send(to, PeerMessage::PullResponse { updates: items, .. }) = e {
            if to.as_str() == "delivery-1" {
                items.retain(|i| i.1.topic() != Topic::Config);
            }
        }
        false
    };
    caught("run 20s; at 2s changes 500ms", delivery, "charters", "as only an older charter has it");
}

#[test]
fn a_wrong_word_on_a_config_is_caught() {
    let losing: Breakage = |e, _| {
        if let Effect::Respond(_, v) = e {
            if v.code == 409 {
                v.code = 200;
            }
        }
        false
    };
    caught("run 8s; at 2s twins", losing, "charters", "were both acknowledged");
    let invalid: Breakage = |e, _| {
        if let Effect::Respond(_, v) = e {
            if v.code == 400 {
                v.code = 200;
            }
        }
        false
    };
    caught("run 8s; at 2s badcharter", invalid, "charters", "is invalid and was acknowledged");
    // Acknowledged and never written.
    let lost: Breakage = |e, _| {
        if let Effect::Respond(_, v) = e {
            if v.code == 503 && v.json.contains("not the primary") {
                *v = ApiResponse::json(200, "{}".into());
            }
        }
        false
    };
    caught("run 8s; at 2s changes 500ms", lost, "charters", "is read back");
}

#[test]
fn a_connection_broken_off_at_a_planned_end_is_caught() {
    // A proxy that was told to leave ends with the next request it reads.
    let b: Breakage = |e, _| {
        if matches!(e, Effect::Send(_, PeerMessage::Submit { .. })) {
            *e = Effect::Exit;
        }
        false
    };
    let script = parse("name broken\nroutes\nrate 60\nrun 10s\nat 4s leave proxy-1\nat 8s start proxy-1").unwrap();
    let r = run(&script, 1, false, Some(b));
    assert!(r.found.broken.iter().any(|b| b.starts_with("answered: ")), "{:?}", r.found.broken);
}
