//! What a proxy may respond to a routed message, depending on the outcome of its copies.
mod settings;
use dw_ingest::prelude::*;
use settings::*;

const CONFIG: &str = r#"{"revision":1,"spool":2,
  "services":[{"name":"s"}],
  "routes":[{"name":"r","host":"h","prefix":"/a/","service":"s","attempts":3,"attempt_ms":1000,"verdict_ms":80},
            {"name":"o","host":"h","prefix":"/o/","service":"s","ordered":true,"attempts":3,"attempt_ms":1000,"verdict_ms":80}]}"#;

fn proxy(now: Time) -> Proxy {
    proxy_with(CONFIG, now)
}

/// A proxy that knows this configuration.
fn proxy_with(config: &str, now: Time) -> Proxy {
    let mut p = Proxy::new(startup(now));
    let v = Version { term: Term(1), count: 1 };
    let location = |d: &str| PartitionLocation { leader: Daemon(d.into()), epoch: v };
    let partitions = vec![(Rules::spool_partition(0), location("store-1")), (Rules::spool_partition(1), location("store-2"))];
    let updates = vec![
        (v, Update::Config(config.into())),
        (v, Update::Members(vec![member("store-1", "z1"), member("store-2", "z1"), member("store-3", "z2")])),
        (v, Update::Partitions(partitions)),
    ];
    let config_valid_for = Some(Span::secs(60));
    // A pull response counts only if a pull was sent.
    p.step(Event::Tick, now);
    let msg = PeerMessage::PullResponse {
        requested_at: now,
        term: Term(1),
        config_valid_for,
        updates,
        grants: Vec::new(),
        late_stores: Vec::new(),
    };
    p.step(Event::MessageReceived { from: Daemon("agent-1".into()), message: msg }, now);
    p
}

/// The copies sent: their request ids, the stores and the message's id.
fn copies(out: &[Effect]) -> Vec<(u64, Daemon, MessageId)> {
    let one = |e: &Effect| match e {
        Effect::Send(to, PeerMessage::Submit { request_id, header, .. }) => Some((*request_id, to.clone(), header.id.clone())),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

/// The status code of the response to the caller, if there is one.
fn response_code(out: &[Effect]) -> Option<u16> {
    out.iter().find_map(|e| match e {
        Effect::Respond(_, v) => Some(v.code),
        _ => None,
    })
}

/// A caller submits a routed message.
fn submit(p: &mut Proxy, path: &str, key: &str, now: Time) -> Vec<Effect> {
    let caller_request = CallerRequest {
        method: "POST".into(),
        path: path.into(),
        host: "h".into(),
        id: "x".into(),
        key: key.into(),
        ..CallerRequest::default()
    };
    let request = ApiRequest::SubmitRouted {
        caller_request: Box::new(caller_request),
        delay: Span::ZERO,
        callback: String::new(),
        body: Bytes::from_static(b"b"),
    };
    p.step(Event::Request(RequestId(1), request), now)
}

/// The store answers a copy.
fn answer(p: &mut Proxy, copy: &(u64, Daemon, MessageId), outcome: SubmitOutcome, now: Time) -> Vec<Effect> {
    let msg = PeerMessage::SubmitResponse {
        request_id: copy.0,
        proxy: Daemon("proxy-1".into()),
        relayed_by: None,
        outcome,
        clock: None,
    };
    p.step(Event::MessageReceived { from: copy.1.clone(), message: msg }, now)
}

#[test]
fn a_copy_with_an_unknown_outcome_is_never_reported_as_not_taken() {
    let now = Time::millis(1_000_000);
    for path in ["/a/1", "/o/1"] {
        let mut p = proxy(now);
        let out = submit(&mut p, path, "k", now);
        let first = copies(&out);
        assert_eq!(first.len(), 1);
        let out = answer(&mut p, &first[0], SubmitOutcome::Unknown, now);
        assert_eq!(response_code(&out), Some(504), "{path}");
    }
}

#[test]
fn an_unknown_outcome_stays_unknown_after_another_copy_was_not_written() {
    let now = Time::millis(1_000_000);
    for last in [SubmitOutcome::NotLeader, SubmitOutcome::Rejected { reason: "full".into(), retry_after: Span::ZERO, code: 503 }]
    {
        let mut p = proxy(now);
        let first = copies(&submit(&mut p, "/a/1", "", now));
        // No answer for a while: a second copy is sent on another path.
        let later = now + Span::millis(200);
        let second = copies(&p.step(Event::Tick, later));
        assert_eq!(second.len(), 1);
        assert_eq!(response_code(&answer(&mut p, &first[0], SubmitOutcome::Unknown, later)), None);
        let out = answer(&mut p, &second[0], last, later);
        assert_eq!(response_code(&out), Some(504));
        assert!(copies(&out).is_empty(), "sent under another id though it may be written");
    }
}

#[test]
fn a_message_that_was_not_written_goes_to_another_partition_under_another_id() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&submit(&mut p, "/a/1", "", now));
    let again = copies(&answer(&mut p, &first[0], SubmitOutcome::NotLeader, now));
    assert_eq!(again.len(), 1);
    assert_ne!((&first[0].1, &first[0].2), (&again[0].1, &again[0].2));
    let out = answer(&mut p, &again[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    assert_eq!(response_code(&out), Some(202));
}

#[test]
fn a_rejection_of_the_only_copy_is_passed_on() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&submit(&mut p, "/a/1", "", now));
    let out =
        answer(&mut p, &first[0], SubmitOutcome::Rejected { reason: "full".into(), retry_after: Span::secs(1), code: 503 }, now);
    assert_eq!(response_code(&out), Some(503));
}

/// Advances the clock until there is a response, and returns its code and time.
fn run_until_response(p: &mut Proxy, mut now: Time, span: Span) -> Option<(u16, Span)> {
    let start = now;
    while now.since(start) < span {
        now += Span::millis(20);
        let out = p.step(Event::Tick, now);
        if let Some(code) = response_code(&out) {
            return Some((code, now.since(start)));
        }
        for copy in copies(&out) {
            if let Some(code) = response_code(&answer(p, &copy, SubmitOutcome::NotLeader, now)) {
                return Some((code, now.since(start)));
            }
        }
    }
    None
}

/// The response is due within 80 ms. A message is rejected early, but a handover that has
/// just begun is waited for.
#[test]
fn a_message_is_rejected_early_once_its_partition_has_long_had_no_leader() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&submit(&mut p, "/o/1", "k", now));
    assert_eq!(response_code(&answer(&mut p, &first[0], SubmitOutcome::NotLeader, now)), None);
    assert_eq!(run_until_response(&mut p, now, Span::secs(2)), Some((503, Span::millis(160))));
    now += Span::millis(400);
    let later = copies(&submit(&mut p, "/o/1", "k", now));
    assert_eq!(response_code(&answer(&mut p, &later[0], SubmitOutcome::NotLeader, now)), None);
    assert_eq!(run_until_response(&mut p, now, Span::secs(2)), Some((503, Span::millis(20))));
}

#[test]
fn a_message_waits_for_a_handover() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&submit(&mut p, "/o/1", "k", now));
    assert_eq!(response_code(&answer(&mut p, &first[0], SubmitOutcome::NotLeader, now)), None);
    now += Span::millis(140);
    let again = copies(&p.step(Event::Tick, now));
    assert_eq!(again.len(), 1);
    assert_eq!(first[0].2, again[0].2, "sent under another id");
    let out = answer(&mut p, &again[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    assert_eq!(response_code(&out), Some(202));
}

#[test]
fn a_message_that_only_a_lost_leader_may_accept_is_rejected_at_once() {
    let mut now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let first = copies(&submit(&mut p, "/o/1", "k", now));
    let leader = first[0].1.clone();
    answer(&mut p, &first[0], SubmitOutcome::Accepted { stage: Stage::Pending }, now);
    p.step(Event::PeerDisconnected(leader.clone()), now);
    // The leader may be back at once, or be reached on another path.
    now += Span::millis(100);
    assert_eq!(copies(&submit(&mut p, "/o/1", "k", now)).len(), 1);
    now += Span::millis(250);
    let probe = copies(&submit(&mut p, "/o/1", "k", now));
    assert_eq!(probe.len(), 1);
    for _ in 0..3 {
        now += Span::millis(20);
        let out = submit(&mut p, "/o/1", "k", now);
        assert_eq!((response_code(&out), copies(&out).len()), (Some(503), 0));
    }
    // An answer of the leader ends the rejections.
    let reading = ClockReading { incarnation: IncarnationId(7), at: now };
    let clock = Some((leader.clone(), reading));
    let msg = PeerMessage::SubmitResponse {
        request_id: probe[0].0,
        proxy: Daemon("proxy-1".into()),
        relayed_by: None,
        outcome: SubmitOutcome::NotLeader,
        clock,
    };
    p.step(Event::MessageReceived { from: leader, message: msg }, now);
    assert_eq!(copies(&submit(&mut p, "/o/1", "k", now)).len(), 1);
}

/// The partition and the scoped key of the copies sent.
fn ordering(out: &[Effect]) -> Vec<(PartitionId, String)> {
    let one = |e: &Effect| match e {
        Effect::Send(_, PeerMessage::Submit { partition, header, .. }) => Some((partition.clone(), header.key.clone())),
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

/// Issue 56, ORDER: messages of one key were stored apart once a route was split off.
#[test]
fn messages_of_one_key_are_stored_together_under_all_routes_of_a_scope() {
    let now = Time::millis(1_000_000);
    let routes = r#""service":"s","ordered":true,"attempts":3,"attempt_ms":1000,"order_scope":"o-2\u001do\u001eo-1\u001c""#;
    let config = format!(
        r#"{{"revision":2,"spool":2,"services":[{{"name":"s"}}],
            "routes":[{{"name":"o","host":"h","prefix":"/o/",{routes}}},{{"name":"p","host":"h","prefix":"/o/p/",{routes}}}]}}"#
    );
    let mut p = proxy_with(&config, now);
    for key in ["k", "l", "m", "n"] {
        let (first, second) = (ordering(&submit(&mut p, "/o/1", key, now)), ordering(&submit(&mut p, "/o/p/1", key, now)));
        assert_eq!(first, second);
        assert_eq!(first[0].1, OrderScope::parse("o-2\u{1d}o\u{1e}o-1\u{1c}").scoped_key(key));
    }
}

/// A route that is not ordered may become so while messages wait: a key is heeded.
#[test]
fn a_key_is_stored_though_the_route_is_not_ordered() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    assert_eq!(ordering(&submit(&mut p, "/a/1", "k", now))[0].1, OrderScope::parse("r").scoped_key("k"));
    assert_eq!(ordering(&submit(&mut p, "/a/1", "", now))[0].1, "");
}

/// Issue 56, related: a copy that is sent again after a change names the configuration under
/// which the message was made, as it has the route of that one.
#[test]
fn a_copy_names_the_configuration_under_which_its_message_was_made() {
    let now = Time::millis(1_000_000);
    let mut p = proxy(now);
    let versions = |out: &[Effect]| -> Vec<Version> {
        let version = |effect: &Effect| match effect {
            Effect::Send(_, PeerMessage::Submit { version, .. }) => Some(*version),
            _ => None,
        };
        out.iter().filter_map(version).collect()
    };
    let first = versions(&submit(&mut p, "/o/1", "k", now));
    assert_eq!(first, [Version { term: Term(1), count: 1 }]);
    let message = PeerMessage::PullResponse {
        requested_at: now,
        term: Term(1),
        config_valid_for: Some(Span::secs(60)),
        updates: vec![(Version { term: Term(1), count: 2 }, Update::Config(CONFIG.replace("\"revision\":1", "\"revision\":2")))],
        grants: Vec::new(),
        late_stores: Vec::new(),
    };
    p.step(Event::MessageReceived { from: Daemon("agent-1".into()), message }, now);
    let mut again = Vec::new();
    for tick in 1..=20 {
        again.extend(versions(&p.step(Event::Tick, now + Span::millis(20 * tick))));
    }
    assert!(!again.is_empty() && again.iter().all(|version| *version == first[0]), "{again:?}");
}
