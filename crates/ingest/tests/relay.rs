//! Around a cut between two zones a proxy asks a store of the third zone.
mod settings;
use dw_ingest::prelude::*;
use settings::*;

const CONFIG: &str = r#"{
  "templates":[{"name":"house","waitlists":[{"name":"w","partitions":1,"service":"s","attempts":3,"attempt_ms":1000}]}],
  "tenants":[{"name":"t","template":"house","share":100}],
  "services":[{"name":"s"}]}"#;

/// A proxy of `z1`, with one partition kept by a store of `z2`. By name, the
/// stores of its own zone and of the leader's come before those of `z3`.
fn proxy(now: Time) -> Proxy {
    let mut proxy = Proxy::new(Startup { limit: Span::secs(4), ..startup(now) });
    let version = Version { term: Term(1), count: 1 };
    let stores =
        [("store-1", "z1"), ("store-2", "z2"), ("store-3", "z1"), ("store-4", "z2"), ("store-5", "z3"), ("store-6", "z3")];
    let place = PartitionId { tenant: "t".into(), queue: "w".into(), number: 0 };
    let placing = PartitionLocation { leader: Daemon("store-2".into()), epoch: version };
    let items = vec![
        (version, Update::Config(CONFIG.into())),
        (version, Update::Members(stores.iter().map(|(id, zone)| member(id, zone)).collect())),
        (version, Update::Partitions(vec![(place, placing)])),
    ];
    proxy.step(Event::Tick, now);
    let fresh = Some(Span::secs(60));
    let news = PeerMessage::PullResponse {
        requested_at: now,
        term: Term(1),
        config_valid_for: fresh,
        updates: items,
        grants: Vec::new(),
        late_stores: Vec::new(),
    };
    proxy.step(Event::MessageReceived { from: Daemon("agent-1".into()), message: news }, now);
    proxy
}

fn hand() -> Event {
    let ask = ApiRequest::Submit {
        tenant: "t".into(),
        queue: "w".into(),
        id: MessageId("m".into()),
        key: String::new(),
        callback: String::new(),
        ttl: None,
        declared_new: true,
        body: Bytes::from_static(b"b"),
    };
    Event::Request(RequestId(1), ask)
}

fn look() -> Event {
    let ask = ApiRequest::Lookup {
        tenant: "t".into(),
        queue: "w".into(),
        id: MessageId("m".into()),
        key: String::new(),
        with_body: false,
    };
    Event::Request(RequestId(2), ask)
}

/// The stores that are asked one after the other while none answers.
fn asked(proxy: &mut Proxy, first: Event, turns: u64, now: Time) -> Vec<String> {
    let mut out = proxy.step(first, now);
    for turn in 1..=turns {
        out.extend(proxy.step(Event::Tick, now + SECOND.times(turn)));
    }
    let store = |effect: &Effect| match effect {
        Effect::Send(to, PeerMessage::Submit { .. } | PeerMessage::Lookup { .. }) => Some(to.to_string()),
        _ => None,
    };
    out.iter().filter_map(store).collect()
}

#[test]
fn a_message_goes_around_a_cut_by_a_third_zone() {
    let now = Time::millis(1_000_000);
    assert_eq!(asked(&mut proxy(now), hand(), 1, now), ["store-2", "store-5"]);
}

#[test]
fn a_question_goes_around_a_cut_by_a_third_zone() {
    let now = Time::millis(1_000_000);
    assert_eq!(asked(&mut proxy(now), look(), 2, now), ["store-2", "store-5", "store-6"]);
}
