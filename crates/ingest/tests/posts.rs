//! What a proxy may tell of a routed message, by what its copies came to.
mod settings;
use dw_ingest::prelude::*;
use settings::*;

const CONFIG: &str = r#"{"revision":1,"spool":2,
  "services":[{"name":"s"}],
  "routes":[{"name":"r","host":"h","prefix":"/a/","service":"s","attempts":3,"attempt_ms":1000,"verdict_ms":80},
            {"name":"o","host":"h","prefix":"/o/","service":"s","ordered":true,"attempts":3,"attempt_ms":1000,"verdict_ms":80}]}"#;

fn proxy(now: Time) -> Proxy {
    let mut p = Proxy::new(startup(now));
    let v = Version { term: Term(1), count: 1 };
    let placing = |d: &str| PartitionLocation { leader: Daemon(d.into()), epoch: v };
    let places = vec![(Rules::spool_partition(0), placing("store-1")), (Rules::spool_partition(1), placing("store-2"))];
    let items = vec![
        (v, Update::Config(CONFIG.into())),
        (v, Update::Members(vec![member("store-1", "z1"), member("store-2", "z1"), member("store-3", "z2")])),
        (v, Update::Partitions(places)),
    ];
    let fresh = Some(Span::secs(60));
    // News counts only when it was asked for.
    p.step(Event::Tick, now);
    let msg = PeerMessage::PullResponse {
        requested_at: now,
        term: Term(1),
        config_valid_for: fresh,
        updates: items,
        grants: Vec::new(),
        late_stores: Vec::new(),
    };
    p.step(Event::MessageReceived { from: Daemon("agent-1".into()), message: msg }, now);
    p
}

/// The copies sent: their numbers, the stores, and the message's name.
fn copies(out: &[Effect]) -> Vec<(u64, Daemon, MessageId)> {
    let one = |e: &Effect| match e {
        Effect::Send(to, PeerMessage::Submit { request_id: ask, header: head, .. }) => Some((*ask, to.clone(), head.id.clone())),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

fn told(out: &[Effect]) -> Option<u16> {
    out.iter().find_map(|e| match e {
        Effect::Respond(_, v) => Some(v.code),
        _ => None,
    })
}

fn post(p: &mut Proxy, path: &str, key: &str, now: Time) -> Vec<Effect> {
    let parcel = CallerRequest {
        method: "POST".into(),
        path: path.into(),
        host: "h".into(),
        id: "x".into(),
        key: key.into(),
        ..CallerRequest::default()
    };
    let ask = ApiRequest::SubmitRouted {
        caller_request: Box::new(parcel),
        delay: Span::ZERO,
        callback: String::new(),
        body: Bytes::from_static(b"b"),
    };
    p.step(Event::Request(RequestId(1), ask), now)
}

fn word(p: &mut Proxy, copy: &(u64, Daemon, MessageId), word: SubmitOutcome, now: Time) -> Vec<Effect> {
    let msg = PeerMessage::SubmitResponse {
        request_id: copy.0,
        proxy: Daemon("proxy-1".into()),
        via: None,
        outcome: word,
        clock: None,
    };
    p.step(Event::MessageReceived { from: copy.1.clone(), message: msg }, now)
}

#[test]
fn a_copy_of_which_nobody_knows_is_never_called_not_taken() {
    let now = Time::millis(1_000_000);
    for path in ["/a/1", "/o/1"] {
        let mut p = proxy(now);
        let out = post(&mut p, path, "k", now);
        let first = copies(&out);
        assert_eq!(first.len(), 1);
        let out = word(&mut p, &first[0], SubmitOutcome::Unknown, now);
        assert_eq!(told(&out), Some(504), "{path}");
    }
}

#[test]
fn nor_after_another_copy_was_written_nowhere() {
    let now = Time::millis(1_000_000);
    for last in [SubmitOutcome::NotLeader, SubmitOutcome::Rejected { reason: "full".into(), retry_after: Span::ZERO, code: 503 }]
    {
        let mut p = proxy(now);
        let first = copies(&post(&mut p, "/a/1", "", now));
        // No word for a while: a second copy goes another way.
        let later = now + Span::millis(200);
        let second = copies(&p.step(Event::Tick, later));
        assert_eq!(second.len(), 1);
        assert_eq!(told(&word(&mut p, &first[0], SubmitOutcome::Unknown, later)), None);
        let out = word(&mut p, &second[0], last, later);
        assert_eq!(told(&out), Some(504));
        assert!(copies(&out).is_empty(), "sent under another name though it may be written");
    }
}

#[test]
fn what_was_written_nowhere_goes_to_another_partition_under_another_name() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&post(&mut p, "/a/1", "", now));
    let again = copies(&word(&mut p, &first[0], SubmitOutcome::NotLeader, now));
    assert_eq!(again.len(), 1);
    assert_ne!((&first[0].1, &first[0].2), (&again[0].1, &again[0].2));
    let out = word(&mut p, &again[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    assert_eq!(told(&out), Some(202));
}

#[test]
fn a_refusal_of_the_only_copy_is_told_as_it_is() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&post(&mut p, "/a/1", "", now));
    let out =
        word(&mut p, &first[0], SubmitOutcome::Rejected { reason: "full".into(), retry_after: Span::secs(1), code: 503 }, now);
    assert_eq!(told(&out), Some(503));
}

/// Runs the clock on, and gives the verdict that came, with its time.
fn run_until_told(p: &mut Proxy, mut now: Time, span: Span) -> Option<(u16, Span)> {
    let begun = now;
    while now.since(begun) < span {
        now += Span::millis(20);
        let out = p.step(Event::Tick, now);
        if let Some(code) = told(&out) {
            return Some((code, now.since(begun)));
        }
        for copy in copies(&out) {
            if let Some(code) = told(&word(p, &copy, SubmitOutcome::NotLeader, now)) {
                return Some((code, now.since(begun)));
            }
        }
    }
    None
}

/// The verdict is wanted within 80 ms. What is refused is refused early, but a
/// hand-over that has just begun is waited for.
#[test]
fn a_message_whose_partition_has_no_leader_is_refused_early_once_that_lasts() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&post(&mut p, "/o/1", "k", now));
    assert_eq!(told(&word(&mut p, &first[0], SubmitOutcome::NotLeader, now)), None);
    assert_eq!(run_until_told(&mut p, now, Span::secs(2)), Some((503, Span::millis(160))));
    now += Span::millis(400);
    let later = copies(&post(&mut p, "/o/1", "k", now));
    assert_eq!(told(&word(&mut p, &later[0], SubmitOutcome::NotLeader, now)), None);
    assert_eq!(run_until_told(&mut p, now, Span::secs(2)), Some((503, Span::millis(20))));
}

#[test]
fn a_message_waits_through_a_hand_over() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&post(&mut p, "/o/1", "k", now));
    assert_eq!(told(&word(&mut p, &first[0], SubmitOutcome::NotLeader, now)), None);
    now += Span::millis(140);
    let again = copies(&p.step(Event::Tick, now));
    assert_eq!(again.len(), 1);
    assert_eq!(first[0].2, again[0].2, "under another name");
    let out = word(&mut p, &again[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    assert_eq!(told(&out), Some(202));
}

#[test]
fn a_message_that_only_a_lost_leader_may_take_is_refused_at_once() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&post(&mut p, "/o/1", "k", now));
    let leader = first[0].1.clone();
    word(&mut p, &first[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    p.step(Event::PeerDisconnected(leader.clone()), now);
    // It may be back at once, or be reached by another way.
    now += Span::millis(100);
    assert_eq!(copies(&post(&mut p, "/o/1", "k", now)).len(), 1);
    now += Span::millis(250);
    let probe = copies(&post(&mut p, "/o/1", "k", now));
    assert_eq!(probe.len(), 1);
    for _ in 0..3 {
        now += Span::millis(20);
        let out = post(&mut p, "/o/1", "k", now);
        assert_eq!((told(&out), copies(&out).len()), (Some(503), 0));
    }
    // Its word ends that.
    let reading = ClockReading { incarnation: IncarnationId(7), at: now };
    let clock = Some((leader.clone(), reading));
    let msg = PeerMessage::SubmitResponse {
        request_id: probe[0].0,
        proxy: Daemon("proxy-1".into()),
        via: None,
        outcome: SubmitOutcome::NotLeader,
        clock,
    };
    p.step(Event::MessageReceived { from: leader, message: msg }, now);
    assert_eq!(copies(&post(&mut p, "/o/1", "k", now)).len(), 1);
}
