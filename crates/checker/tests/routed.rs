//! Each rule of routed messages is shown able to fail, and a sound day to
//! break none.
use dw_checker::prelude::*;

fn at(ms: u64) -> Time {
    Time::millis(ms)
}

fn route(name: &str, service: &str, ordered: bool) -> RouteSeen {
    RouteSeen {
        name: name.into(),
        prefix: format!("/{name}/"),
        service: service.into(),
        ordered,
        attempts: 2,
        attempt: Span::secs(1),
        worth: Span::secs(90),
        call_back: true,
    }
}

fn stated(revision: u64, base: u64, sent: u64, acked: Option<u64>, routes: Vec<RouteSeen>) -> Stated {
    let text = format!("{revision} {routes:?}");
    Stated { revision, base, valid: true, sent: at(sent), acked: acked.map(at), refused: false, routes, text }
}

fn run(worker: &str, service: &str, ms: u64, over: Over) -> PostRun {
    PostRun {
        worker: worker.into(),
        service: service.into(),
        zone: "z1".into(),
        sender: "delivery-1".into(),
        life: 1,
        sum: 7,
        same: true,
        span: Span::secs(1),
        arrived: at(ms),
        began: Some(at(ms)),
        over: Some((at(ms + 10), over)),
        read: Some(at(ms + 11)),
    }
}

fn done(worker: &str, ms: u64) -> PostRun {
    run(worker, "s", ms, Over::Done("seal".into()))
}

fn post(id: &str, key: &str, ms: u64) -> Post {
    Post {
        id: id.into(),
        path: "/turns/x".into(),
        key: key.into(),
        sum: 7,
        sent: at(ms),
        proxy: "proxy-1".into(),
        life: 1,
        word: Some((at(ms + 5), PostWord::Accepted)),
        ..Post::default()
    }
}

/// Two messages of one key, run one after the other, with nothing wrong.
fn day() -> Seen {
    let mut s = Seen::default();
    s.configs.push(stated(2, 0, 0, Some(10), vec![route("turns", "s", true), route("bulk", "s", false)]));
    s.services.insert("s".into(), Pace { rate: 0.0, cold: 2.0 });
    for (n, id) in ["a", "b"].into_iter().enumerate() {
        let ms = 10_000 + 1000 * n as u64;
        let mut p = post(id, "k", ms);
        p.desk = "d".into();
        p.runs.push(done("s-1", ms + 10));
        p.sought.push(Sought { at: at(ms + 100), state: State::Done("seal".into()), body: None });
        p.backs.push(Back { desk: "d".into(), at: at(ms + 50), state: State::Done("seal".into()), good: true });
        s.post(p);
    }
    s.stopped = Some(at(20_000));
    s
}

fn broken(s: &Seen) -> Vec<String> {
    judge(s, &RoutedLimits::default(), at(60_000))
}

#[track_caller]
fn says(change: impl Fn(&mut Seen), what: &str) {
    let mut s = day();
    change(&mut s);
    let all = broken(&s);
    assert!(all.iter().any(|b| b.contains(what)), "{what}: {all:?}");
}

#[test]
fn a_sound_day_breaks_nothing() {
    assert_eq!(broken(&day()), Vec::<String>::new());
}

#[test]
fn refused_is_never_run() {
    says(|s| s.posts[0].word = Some((at(10_005), PostWord::Refused(503))), "refused: a was told");
}

#[test]
fn run_as_sent_and_where_allowed() {
    says(|s| s.posts[0].runs[0].sum = 8, "sent: a reached s-1 altered");
    says(|s| s.posts[0].runs[0].same = false, "sent: a reached s-1 altered");
    says(|s| s.posts[0].sought.push(Sought { at: at(11_000), state: State::Waiting, body: Some(9) }), "other bytes");
    says(|s| s.posts[0].runs[0].service = "t".into(), "allowed: a /turns/x ran at s-1 of t");
}

#[test]
fn one_key_in_order() {
    // The second begins while the first, accepted before it was sent, runs.
    says(|s| s.posts[0].runs[0].over = Some((at(11_500), Over::Done("seal".into()))), "order: b began");
    says(|s| s.posts[0].runs.clear(), "order: b began");
}

#[test]
fn a_success_that_was_read_is_the_last_run() {
    says(|s| s.posts[0].runs.push(done("s-2", 12_000)), "twice: a ran at s-2");
    // Trouble near it excuses it, and so does an answer that nobody read.
    let mut s = day();
    s.posts[0].runs.push(done("s-2", 12_000));
    s.troubles.push(Trouble { from: at(9000), to: at(9000), who: None, sort: Sort::Struck });
    assert_eq!(broken(&s), Vec::<String>::new());
    let mut s = day();
    s.posts[0].runs[0].read = None;
    s.posts[0].runs.push(done("s-2", 10_500));
    assert_eq!(broken(&s), Vec::<String>::new());
}

#[test]
fn accepted_ends_or_comes_back() {
    says(|s| s.posts[1].runs.clear(), "finished: b was accepted and has not ended");
    says(|s| s.posts[1].runs.clear(), "is stuck");
    says(|s| s.posts[1].sought.push(Sought { at: at(30_000), state: State::None, body: None }), "and not known at 30000 ms");
    // Never asked to end before its time: it lies there, whole.
    let mut s = day();
    let p = &mut s.posts[1];
    (p.runs, p.backs, p.delay) = (Vec::new(), Vec::new(), Span::secs(40));
    p.sought = vec![
        Sought { at: at(50_000), state: State::Waiting, body: None },
        Sought { at: at(50_000), state: State::Waiting, body: Some(7) },
    ];
    assert_eq!(broken(&s), Vec::<String>::new());
}

#[test]
fn nobody_is_told_an_untrue_end() {
    says(|s| s.posts[0].sought[0].state = State::Done(String::new()), "told: a was sought as done with seal ''");
    says(|s| s.posts[0].backs[0].at = at(10_012), "told: a was called back as done");
    says(|s| s.posts[1].runs[0].over = Some((at(11_020), Over::Failed)), "told: b was sought as done");
    let early = |s: &mut Seen| {
        s.posts[0].runs[0].over = Some((at(10_020), Over::Failed));
        s.posts[0].sought[0].state = State::Dead;
    };
    says(early, "told: a was sought as dead, and it had not ended");
    says(|s| s.posts[0].sought.push(Sought { at: at(15_000), state: State::Waiting, body: None }), "and later Waiting");
}

#[test]
fn call_backs_in_time() {
    says(|s| s.posts[0].backs.clear(), "backs: a ended");
    says(|s| s.posts[0].backs[0].at = at(16_000), "backs: a was called back");
    let mut s = day();
    s.posts[0].backs[0].at = at(16_000);
    s.shut.insert("d".into(), vec![(at(10_000), Some(at(14_000)))]);
    assert_eq!(broken(&s), Vec::<String>::new());
    // Given up is an end too.
    let given_up = |s: &mut Seen| {
        let p = &mut s.posts[0];
        p.runs = vec![run("s-1", "s", 10_010, Over::Failed), run("s-2", "s", 10_100, Over::Failed)];
        p.sought.clear();
        p.backs.clear();
    };
    says(given_up, "backs: a ended");
}

#[test]
fn rates_and_cold_workers() {
    let flood = |s: &mut Seen| {
        s.services.insert("t".into(), Pace { rate: 2.0, cold: 0.0 });
        s.arrivals.insert("t".into(), (0..17).map(|n| at(n * 290)).collect());
    };
    says(flood, "rate: t got 17 in 5 s");
    let cold = |s: &mut Seen| {
        let w = WorkerSeen { service: "s".into(), cold: vec![(at(0), at(60_000))], ..WorkerSeen::default() };
        s.workers.insert("s-9".into(), w);
        for n in 0..9 {
            let mut p = post(&format!("c{n}"), "", 5000);
            p.path = "/bulk/x".into();
            p.runs.push(done("s-9", 5010 + n * 100));
            s.post(p);
        }
    };
    says(cold, "cold: s-9 got Some(9)");
}

#[test]
fn the_draining_and_the_emptied_are_left_alone() {
    let drained = |s: &mut Seen| {
        s.workers.insert("s-1".into(), WorkerSeen { drained: Some(at(8000)), ..WorkerSeen::default() });
    };
    says(drained, "drained: b reached s-1");
    says(|s| s.zones.push(("z1".into(), at(6000), None)), "emptied: b reached s-1");
    let mut s = day();
    drained(&mut s);
    s.zones.push(("z1".into(), at(4000), Some(at(9000))));
    s.troubles.push(Trouble { from: at(7000), to: at(7000), who: Some("delivery-1".into()), sort: Sort::Struck });
    assert_eq!(broken(&s), Vec::<String>::new());
}

#[test]
fn configs_come_into_force_and_stay() {
    let newer = |s: &mut Seen| {
        let moved = route("turns", "t", true);
        s.configs.push(stated(5, 2, 6000, Some(6010), vec![moved, route("bulk", "s", false)]));
    };
    says(newer, "as only an older charter has it");
    let back = |s: &mut Seen| {
        let slower = RouteSeen { attempt: Span::secs(2), ..route("turns", "s", true) };
        s.configs.push(stated(5, 2, 9000, Some(9010), vec![slower]));
        s.posts[0].runs[0].span = Span::secs(2);
    };
    says(back, "after it acted by 5");
    says(|s| s.posts[0].word = Some((at(10_005), PostWord::Refused(404))), "refused as no route");
    let twins = |s: &mut Seen| {
        let routes = s.configs[0].routes.clone();
        s.configs.push(stated(5, 2, 15_000, Some(15_010), routes.clone()));
        s.configs.push(stated(6, 2, 15_000, Some(15_010), routes));
    };
    says(twins, "were both acknowledged on top of 2");
    says(|s| s.configs[0].valid = false, "is invalid and was acknowledged");
}

#[test]
fn a_delay_is_kept_and_a_request_answered() {
    says(|s| s.posts[0].delay = Span::millis(500), "early: a began");
    says(|s| s.posts[0].word = Some((at(10_005), PostWord::Broken)), "answered: a was read by proxy-1");
}
