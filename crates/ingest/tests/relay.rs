//! When two zones can't reach each other, a proxy sends its requests through a store of the
//! third zone.
mod settings;
use dw_ingest::prelude::*;
use settings::*;

const CONFIG: &str = r#"{
  "templates":[{"name":"house","waitlists":[{"name":"w","partitions":1,"service":"s","attempts":3,"attempt_ms":1000}]}],
  "tenants":[{"name":"t","template":"house","share":100}],
  "services":[{"name":"s"}]}"#;

/// A proxy in `z1`, with one partition led by a store in `z2`. In the order of their names,
/// the stores of the proxy's and the leader's zone come before those of `z3`.
fn proxy(now: Time) -> Proxy {
    let mut proxy = Proxy::new(Startup { response_timeout: Span::secs(4), ..startup(now) });
    let version = Version { term: Term(1), count: 1 };
    let stores =
        [("store-1", "z1"), ("store-2", "z2"), ("store-3", "z1"), ("store-4", "z2"), ("store-5", "z3"), ("store-6", "z3")];
    let partition = PartitionId { tenant: "t".into(), queue: "w".into(), number: 0 };
    let location = PartitionLocation { leader: Daemon("store-2".into()), epoch: version };
    let updates = vec![
        (version, Update::Config(CONFIG.into())),
        (version, Update::Members(stores.iter().map(|(id, zone)| member(id, zone)).collect())),
        (version, Update::Partitions(vec![(partition, location)])),
    ];
    proxy.step(Event::Tick, now);
    let config_valid_for = Some(Span::secs(60));
    let response = PeerMessage::PullResponse {
        requested_at: now,
        term: Term(1),
        config_valid_for,
        updates,
        grants: Vec::new(),
        late_stores: Vec::new(),
    };
    proxy.step(Event::MessageReceived { from: Daemon("agent-1".into()), message: response }, now);
    proxy
}

fn submit() -> Event {
    let request = ApiRequest::Submit {
        tenant: "t".into(),
        queue: "w".into(),
        id: MessageId("m".into()),
        key: String::new(),
        callback: String::new(),
        ttl: None,
        declared_new: true,
        body: Bytes::from_static(b"b"),
    };
    Event::Request(RequestId(1), request)
}

fn lookup() -> Event {
    let request = ApiRequest::Lookup {
        tenant: "t".into(),
        queue: "w".into(),
        id: MessageId("m".into()),
        key: String::new(),
        with_body: false,
    };
    Event::Request(RequestId(2), request)
}

/// The stores that get the request one after the other while none answers.
fn stores_tried(proxy: &mut Proxy, first: Event, retries: u64, now: Time) -> Vec<String> {
    let mut out = proxy.step(first, now);
    for retry in 1..=retries {
        out.extend(proxy.step(Event::Tick, now + RESEND_AFTER.times(retry)));
    }
    let store = |effect: &Effect| match effect {
        Effect::Send(to, PeerMessage::Submit { .. } | PeerMessage::Lookup { .. }) => Some(to.to_string()),
        _ => None,
    };
    out.iter().filter_map(store).collect()
}

#[test]
fn a_submission_is_relayed_through_a_third_zone() {
    let now = Time::millis(1_000_000);
    assert_eq!(stores_tried(&mut proxy(now), submit(), 1, now), ["store-2", "store-5"]);
}

#[test]
fn a_lookup_is_relayed_through_a_third_zone() {
    let now = Time::millis(1_000_000);
    assert_eq!(stores_tried(&mut proxy(now), lookup(), 2, now), ["store-2", "store-5", "store-6"]);
}
