//! Messages of one ordering key while routes are split and merged: those that were accepted
//! under an order scope that was replaced since come first.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::daemon;
use store_pair::*;

const SERVICES: [&str; 2] = ["ledger", "gateway"];
/// A repeated query is sent after this at the latest.
const QUERY_INTERVAL: Span = Span::millis(420);

/// A configuration with these routes: prefix, service and the text of the order scope.
fn config(revision: u64, spool: u32, routes: &[(&str, &str, &str)]) -> String {
    let route = |(prefix, service, scope): &(&str, &str, &str)| {
        let name = format!("r{prefix}");
        serde_json::json!({"name": name, "host": "h", "prefix": prefix, "service": service, "ordered": true,
            "attempts": 3, "attempt_ms": 1000, "worth_ms": 60000, "order_scope": scope})
    };
    let routes: Vec<serde_json::Value> = routes.iter().map(route).collect();
    serde_json::json!({"revision": revision, "spool": spool, "routes": routes,
        "services": [{"name": "ledger", "slots": 4}, {"name": "gateway", "slots": 4}]})
    .to_string()
}

const BEFORE: [(&str, &str, &str); 2] = [("/a/", "ledger", "s-1"), ("/a/b/", "gateway", "s-2")];
/// Both routes' requests come under one route, with a scope that replaces theirs.
const MERGED_SCOPE: &str = "s-3\u{1d}s-1\u{1e}s-2\u{1c}";
const MERGED: [(&str, &str, &str); 1] = [("/a/", "ledger", MERGED_SCOPE)];

/// A message with the key "sheet" under this scope, accepted by the route of `prefix`.
fn message(id: &str, prefix: &str, scope: &str) -> MessageHeader {
    MessageHeader {
        id: MessageId(id.into()),
        key: OrderScope::parse(scope).scoped_key("sheet"),
        route: format!("r{prefix}"),
        route_pattern: format!("h{prefix}"),
        caller_request: Some(Box::new(CallerRequest {
            host: "h".into(),
            path: format!("{prefix}7"),
            ..CallerRequest::default()
        })),
        ..MessageHeader::default()
    }
}

fn accept(stores: &mut StorePair, header: MessageHeader) {
    assert_eq!(stores.submit_header(header), [SubmitOutcome::Accepted { stage: Stage::Pending }]);
}

/// Reports free workers; returns the ids of the messages that are offered to them.
fn offered(stores: &mut StorePair) -> Vec<String> {
    stores.report_capacity_for(&SERVICES, FIRST_INCARNATION, stores.now);
    stores.run(QUERY_INTERVAL);
    stores.report_capacity_for(&SERVICES, FIRST_INCARNATION, stores.now);
    stores.offers.iter().map(|offer| offer.header.id.0.clone()).collect()
}

fn succeed_first(stores: &mut StorePair) {
    let offer = stores.offers.remove(0);
    stores.succeed(&offer);
}

/// Issue 56, ORDER: a message of a route that was split off overtook one of its key that
/// waited under the route from before. Both have one scope.
#[test]
fn a_message_of_a_split_off_route_waits_for_its_key() {
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &[("/a/", "ledger", "s-1")]));
    accept(&mut stores, message("0-1", "/a/", "s-1"));
    stores.configure(&config(3, 1, &[("/a/", "ledger", "s-1"), ("/a/b/", "gateway", "s-1")]));
    accept(&mut stores, message("0-2", "/a/b/", "s-1"));
    assert_eq!(offered(&mut stores), ["0-1"]);
    succeed_first(&mut stores);
    assert_eq!(offered(&mut stores), ["0-2"]);
}

/// Stores where a message waits under each of two scopes, and one under the scope that has
/// replaced both.
fn stores_with_merged_scopes() -> StorePair {
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &BEFORE));
    accept(&mut stores, message("0-1", "/a/", "s-1"));
    stores.configure(&config(3, 1, &MERGED));
    accept(&mut stores, message("0-3", "/a/", MERGED_SCOPE));
    stores
}

/// The earlier messages are in a partition of the same store.
#[test]
fn a_message_waits_for_its_key_in_the_scopes_that_were_merged() {
    let mut stores = stores_with_merged_scopes();
    assert_eq!(offered(&mut stores), ["0-1"]);
    assert_eq!(offered(&mut stores), ["0-1"]);
    succeed_first(&mut stores);
    assert_eq!(offered(&mut stores), ["0-3"]);
}

/// What a leader knows of other scopes is not stored: the next one asks again.
#[test]
fn a_message_waits_for_merged_scopes_after_a_restart() {
    let mut stores = stores_with_merged_scopes();
    stores.restart_leader(&config(4, 1, &MERGED));
    stores.run(Span::secs(10));
    assert_eq!(offered(&mut stores), ["0-1"]);
    assert_eq!(offered(&mut stores), ["0-1"]);
    succeed_first(&mut stores);
    assert_eq!(offered(&mut stores), ["0-3"]);
}

/// Messages of other keys, and later messages of the same key, are not held for longer.
#[test]
fn only_messages_whose_key_waits_are_held() {
    let mut stores = stores_with_merged_scopes();
    let other = MessageHeader { key: OrderScope::parse(MERGED_SCOPE).scoped_key("other"), ..message("0-4", "/a/", MERGED_SCOPE) };
    accept(&mut stores, other);
    accept(&mut stores, message("0-5", "/a/", MERGED_SCOPE));
    assert_eq!(offered(&mut stores), ["0-1", "0-4"]);
    succeed_first(&mut stores);
    succeed_first(&mut stores);
    assert_eq!(offered(&mut stores), ["0-3"]);
    succeed_first(&mut stores);
    assert_eq!(offered(&mut stores), ["0-5"]);
}

/// A proxy that does not know the change yet: its message would be stored under the earlier
/// scope, behind messages that were accepted under the new one. Nothing is written.
#[test]
fn a_message_under_a_replaced_scope_is_refused() {
    let mut stores = stores_with_merged_scopes();
    let outcomes = stores.submit_header(message("0-6", "/a/", "s-1"));
    assert!(matches!(outcomes[..], [SubmitOutcome::Rejected { code: 503, .. }]), "{outcomes:?}");
    assert!(!stores.cores[0].partitions[&partition()].records.contains_key(&MessageId("0-6".into())));
}

/// The partition that this store does not lead, of two.
fn other_partition() -> PartitionId {
    PartitionId { number: 1, ..partition() }
}

/// Two predecessor scopes whose messages with the key "sheet" are in that partition.
fn remote_scopes() -> [String; 2] {
    let rules = Rules { spool_partitions: 2, ..Rules::default() };
    let names = (0..).map(|number: u64| format!("remote-{number}"));
    let is_remote = |scope: &String| rules.spool_partition_of_key(&OrderScope::parse(scope).scoped_key("sheet")) == 1;
    let mut remote = names.filter(is_remote);
    std::array::from_fn(|_| remote.next().unwrap_or_default())
}

/// The scope that replaced them.
fn remote_successor() -> String {
    format!("s-3\u{1d}{}\u{1c}", remote_scopes().join("\u{1e}"))
}

/// Stores of two partitions. The other one has another leader, or none.
fn stores_with_remote_predecessors(has_other_leader: bool) -> StorePair {
    let mut stores = StorePair::new();
    if has_other_leader {
        set_other_leader(&mut stores);
    }
    stores.configure(&config(2, 2, &[("/a/", "ledger", &remote_successor())]));
    stores
}

/// What the other leader tells of the scope.
fn tell_state(stores: &mut StorePair, pending: &[&str]) {
    let pending = pending.iter().map(|scope| scope.to_string()).collect();
    let state = ReplacedScopesState { partition: other_partition(), scope: remote_successor(), pending };
    let message = PeerMessage::ReplacedScopes { states: vec![state] };
    stores.step(0, Event::MessageReceived { from: daemon("store-9"), message });
}

fn set_other_leader(stores: &mut StorePair) {
    stores.other_locations = vec![(other_partition(), PartitionLocation { leader: daemon("store-9"), epoch: epoch() })];
    stores.run(Span::millis(600));
}

fn answer(stores: &mut StorePair, query: &KeyQuery, is_pending: bool) {
    let message = PeerMessage::KeyAnswer { query: query.clone(), is_pending };
    stores.step(0, Event::MessageReceived { from: daemon("store-9"), message });
}

/// The earlier messages are in a partition with another leader: the message waits until that one
/// has answered for each scope, however long it takes.
#[test]
fn a_message_waits_for_the_answers_of_the_other_leader() {
    let mut stores = stores_with_remote_predecessors(true);
    tell_state(&mut stores, &remote_scopes().each_ref().map(String::as_str));
    accept(&mut stores, message("0-3", "/a/", &remote_successor()));
    assert_eq!(offered(&mut stores), [""; 0]);
    let queries = std::mem::take(&mut stores.key_queries);
    let keys: std::collections::BTreeSet<&str> = queries.iter().map(|query| query.key.as_str()).collect();
    assert_eq!(keys.len(), 2);
    assert!(queries.iter().all(|query| query.partition == other_partition()));
    answer(&mut stores, &queries[0], true);
    answer(&mut stores, &queries[1], false);
    assert_eq!(offered(&mut stores), [""; 0]);
    let queries = std::mem::take(&mut stores.key_queries);
    assert!(queries.iter().all(|query| query.key == queries[0].key), "what was answered is not asked again: {queries:?}");
    answer(&mut stores, &queries[0], false);
    assert_eq!(offered(&mut stores), ["0-3"]);
}

/// Answers to a leader of an earlier epoch, and repeated ones, change nothing.
#[test]
fn answers_to_an_earlier_epoch_are_ignored() {
    let mut stores = stores_with_remote_predecessors(true);
    tell_state(&mut stores, &remote_scopes().each_ref().map(String::as_str));
    accept(&mut stores, message("0-3", "/a/", &remote_successor()));
    offered(&mut stores);
    let queries = std::mem::take(&mut stores.key_queries);
    stores.restart_leader(&config(4, 2, &[("/a/", "ledger", &remote_successor())]));
    stores.run(Span::secs(10));
    offered(&mut stores);
    stores.key_queries.clear();
    for query in &queries {
        answer(&mut stores, query, false);
    }
    assert_eq!(offered(&mut stores), [""; 0]);
    for query in std::mem::take(&mut stores.key_queries) {
        answer(&mut stores, &query, false);
    }
    assert_eq!(offered(&mut stores), ["0-3"]);
}

/// Issue 56, ORDER: a leader that does not know the change yet may accept a message under a
/// replaced scope, and attempt it before one that was accepted under the new scope.
#[test]
fn nothing_is_accepted_while_a_replaced_scope_may_be_in_use() {
    let mut stores = stores_with_remote_predecessors(true);
    assert_eq!(stores.scope_queries[0], [remote_successor()]);
    let header = message("0-3", "/a/", &remote_successor());
    // The submission waits for the other leader, for a moment.
    assert_eq!(stores.submit_header(header.clone()), []);
    stores.run(Span::millis(100));
    assert_eq!(stores.responses, []);
    tell_state(&mut stores, &[]);
    stores.run(Span::millis(20));
    assert_eq!(stores.responses, [SubmitOutcome::Accepted { stage: Stage::Pending }]);
    // Nothing is under way in the replaced scopes: no key is asked about.
    assert_eq!(offered(&mut stores), ["0-3"]);
    assert_eq!(stores.key_queries, []);
    stores.scope_queries.clear();
    stores.run(Span::secs(5));
    assert_eq!(stores.scope_queries, [[""; 0]; 0]);
}

/// The other partition has no leader. A store with an earlier configuration loses the lease on
/// it, and then nothing is accepted under the replaced scopes.
#[test]
fn messages_are_accepted_once_earlier_configurations_are_not_confirmed_any_more() {
    let mut stores = stores_with_remote_predecessors(false);
    let header = message("0-3", "/a/", &remote_successor());
    assert_eq!(stores.submit_header(header.clone()), []);
    stores.run(Span::millis(400));
    let outcomes = std::mem::take(&mut stores.responses);
    assert!(matches!(outcomes[..], [SubmitOutcome::Rejected { code: 503, .. }]), "{outcomes:?}");
    stores.run(Span::secs(2));
    accept(&mut stores, MessageHeader { id: MessageId("0-4".into()), ..header });
    assert_eq!(offered(&mut stores), [""; 0]);
}

/// A proxy knows the change before the store does.
#[test]
fn a_message_under_a_scope_that_is_not_known_yet_waits_for_the_configuration() {
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &BEFORE));
    let header = message("0-3", "/a/", MERGED_SCOPE);
    assert_eq!(stores.submit_of_version(header, stores.next_config_version()), []);
    stores.configure(&config(3, 1, &MERGED));
    assert_eq!(stores.responses, [SubmitOutcome::Accepted { stage: Stage::Pending }]);
}

/// A store tells of the partitions that it leads, once the scope is in force there.
#[test]
fn a_leader_tells_which_replaced_scopes_have_messages() {
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &BEFORE));
    accept(&mut stores, message("0-1", "/a/", "s-1"));
    let ask = |stores: &mut StorePair| -> Vec<ReplacedScopesState> {
        let message = PeerMessage::ReplacedScopesQuery { scopes: vec![MERGED_SCOPE.into()] };
        let effects = stores.cores[0].step(Event::MessageReceived { from: daemon("store-9"), message }, stores.now);
        let answers = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send(_, PeerMessage::ReplacedScopes { states }) => Some(states),
            _ => None,
        });
        answers.flatten().collect()
    };
    assert_eq!(ask(&mut stores), []);
    stores.configure(&config(3, 1, &MERGED));
    let state = |pending: &[&str]| ReplacedScopesState {
        partition: partition(),
        scope: MERGED_SCOPE.into(),
        pending: pending.iter().map(|scope| scope.to_string()).collect(),
    };
    assert_eq!(ask(&mut stores), [state(&["s-1"])]);
    assert_eq!(offered(&mut stores), ["0-1"]);
    assert_eq!(ask(&mut stores), [state(&["s-1"])]);
    succeed_first(&mut stores);
    assert_eq!(ask(&mut stores), [state(&[])]);
}

/// Messages behind others of their key, whose route was dropped, end one after the other
/// without a pause: those of the key under another route wait for them.
#[test]
fn all_messages_of_a_dropped_route_end_soon() {
    const SUCCESSOR: &str = "s-3\u{1d}s-1\u{1e}\u{18}s-2\u{1c}";
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &BEFORE));
    for number in 1..=20 {
        accept(&mut stores, message(&format!("0-{number}"), "/a/b/", "s-2"));
    }
    stores.configure(&config(3, 1, &[("/a/", "ledger", SUCCESSOR)]));
    accept(&mut stores, message("0-99", "/a/", SUCCESSOR));
    stores.report_capacity_for(&SERVICES, FIRST_INCARNATION, stores.now);
    stores.run(Span::secs(1));
    assert_eq!(offered(&mut stores), ["0-99"]);
}

/// Issue 56, LOST: what a route was called meanwhile is not stored. After a restart its waiting
/// messages were taken for those of a dropped route, and ended as dead letters.
#[test]
fn a_restarted_store_finds_a_route_that_was_renamed_and_then_got_another_prefix() {
    let mut stores = StorePair::new();
    stores.configure(&config(2, 1, &BEFORE));
    accept(&mut stores, message("0-1", "/a/", "s-1"));
    // The route is "r/a/" with that prefix before, and "r/a/7" with that one now.
    stores.restart_leader(&config(3, 1, &[("/a/7", "gateway", "s-1")]));
    stores.run(Span::secs(10));
    assert_eq!(offered(&mut stores), ["0-1"]);
}

/// A store answers for a partition that it leads, and is silent about any other.
#[test]
fn a_leader_tells_whether_a_key_waits() {
    let mut stores = stores_with_merged_scopes();
    let ask = |stores: &mut StorePair, partition: PartitionId, scope: &str| -> Vec<bool> {
        let query = KeyQuery {
            partition,
            key: OrderScope::parse(scope).scoped_key("sheet"),
            waiting_partition: other_partition(),
            waiting_epoch: epoch(),
            waiting_seq: 1,
        };
        let event = Event::MessageReceived { from: daemon("store-9"), message: PeerMessage::KeyQuery { query } };
        let effects = stores.cores[0].step(event, stores.now);
        let answers = effects.into_iter().filter_map(|effect| match effect {
            Effect::Send(_, PeerMessage::KeyAnswer { is_pending, .. }) => Some(is_pending),
            _ => None,
        });
        answers.collect()
    };
    assert_eq!(ask(&mut stores, partition(), "s-1"), [true]);
    assert_eq!(ask(&mut stores, partition(), "s-2"), [false]);
    assert_eq!(ask(&mut stores, other_partition(), "s-1"), [false; 0]);
    // An attempt is under way: the message has not ended.
    assert_eq!(offered(&mut stores), ["0-1"]);
    assert_eq!(ask(&mut stores, partition(), "s-1"), [true]);
    succeed_first(&mut stores);
    assert_eq!(ask(&mut stores, partition(), "s-1"), [false]);
}
