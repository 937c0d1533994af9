//! Messages that wait while a configuration gives their route's name to another route,
//! renames their route, or changes what it matches.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use store_pair::*;

const SERVICES: [&str; 2] = ["ledger", "gateway"];
const DELAY: Span = Span::secs(2);

/// A configuration with these routes: name, prefix and service.
fn config(revision: u64, routes: &[(&str, &str, &str)]) -> String {
    let route = |(name, prefix, service): &(&str, &str, &str)| {
        format!(
            r#"{{"name": "{name}", "host": "h", "prefix": "{prefix}", "service": "{service}", "ordered": true,
                "attempts": 3, "attempt_ms": 1000, "worth_ms": 60000}}"#
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"revision": {revision}, "spool": 1, "services": [{{"name": "ledger", "slots": 4}}, {{"name": "gateway", "slots": 4}}],
            "routes": [{}]}}"#,
        routes.join(",")
    )
}

const FIRST: [(&str, &str, &str); 2] = [("r-1", "/orders/", "ledger"), ("r-2", "/notices/", "gateway")];

/// A message to `/orders/` that was accepted under the route "r-1" and waits for its delay.
fn order(id: &str) -> MessageHeader {
    MessageHeader {
        id: MessageId(id.into()),
        key: OrderScope::parse("r-1").scoped_key("supplier"),
        route: "r-1".into(),
        route_pattern: "h/orders/".into(),
        caller_request: Some(Box::new(CallerRequest {
            host: "h".into(),
            path: "/orders/7?x=/a".into(),
            ..CallerRequest::default()
        })),
        delay: DELAY,
        ..MessageHeader::default()
    }
}

/// Stores under the first configuration, with an order that waits.
fn stores_with(header: MessageHeader) -> StorePair {
    let mut stores = StorePair::new();
    stores.configure(&config(2, &FIRST));
    assert_eq!(stores.submit_header(header), [SubmitOutcome::Accepted { stage: Stage::Pending }]);
    stores
}

/// Lets the delay pass while workers of all services are free; returns the services that
/// messages were offered to, and the route names that the offers carry.
fn offered(stores: &mut StorePair) -> Vec<(Destination, String)> {
    stores.run(DELAY);
    stores.report_capacity_for(&SERVICES, FIRST_INCARNATION, stores.now);
    stores.run(Span::millis(100));
    let offers = std::mem::take(&mut stores.offers);
    offers.into_iter().filter_map(|offer| Some((offer.destination?, offer.header.route))).collect()
}

fn to_service(service: &str, route: &str) -> Vec<(Destination, String)> {
    vec![(Destination::Service(service.into()), route.into())]
}

fn stage(stores: &StorePair, id: &str) -> Stage {
    stores.cores[0].partitions[&partition()].records[&MessageId(id.into())].stage
}

/// Issue 48, ROUTE: the operator's tool numbers routes by their place, and a route that was
/// added at the top took the name of the orders' route. They were run by its service.
#[test]
fn messages_follow_their_route_when_its_name_is_given_to_another() {
    let mut stores = stores_with(order("m1"));
    let inserted = [("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger"), ("r-3", "/notices/", "gateway")];
    stores.configure(&config(3, &inserted));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// Two routes swap their names.
#[test]
fn messages_follow_their_route_when_names_are_swapped() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("r-2", "/orders/", "ledger"), ("r-1", "/notices/", "gateway")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// Issue 48: a message whose route got another name and nothing else ended as a dead letter.
#[test]
fn a_renamed_route_keeps_its_messages() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("orders", "/orders/", "ledger")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "orders"));
}

/// The name of a dropped route goes to a route that its messages do not match.
#[test]
fn messages_of_a_dropped_route_end_though_its_name_is_used() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("r-1", "/alerts/", "gateway")]));
    assert_eq!(offered(&mut stores), []);
    assert_eq!(stage(&stores, "m1"), Stage::Ended(Outcome::Expired));
}

/// A route that matches everything is no substitute for one that was dropped.
#[test]
fn messages_of_a_dropped_route_do_not_go_to_a_shorter_prefix() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("r-9", "/", "gateway")]));
    assert_eq!(offered(&mut stores), []);
    assert_eq!(stage(&stores, "m1"), Stage::Ended(Outcome::Expired));
}

/// A route keeps its name, and its new prefix still matches the message.
#[test]
fn messages_stay_with_a_route_whose_prefix_changes_and_still_matches() {
    for prefix in ["/", "/orders/7"] {
        let mut stores = stores_with(order("m1"));
        stores.configure(&config(3, &[("r-1", prefix, "gateway"), ("r-2", "/notices/", "ledger")]));
        assert_eq!(offered(&mut stores), to_service("gateway", "r-1"), "{prefix}");
    }
}

/// With its new prefix, requests like the message's go to another route.
#[test]
fn messages_leave_a_route_whose_new_prefix_does_not_win() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("r-1", "/", "gateway"), ("r-2", "/order", "ledger")]));
    assert_eq!(offered(&mut stores), []);
    assert_eq!(stage(&stores, "m1"), Stage::Ended(Outcome::Expired));
}

/// Several configurations pass while the message waits; its store sees each.
#[test]
fn a_name_that_wanders_takes_no_messages_along() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger")]));
    stores.configure(&config(4, &[("r-2", "/alerts/", "gateway"), ("r-1", "/orders/", "gateway")]));
    stores.configure(&config(5, &[("r-2", "/notices/", "gateway"), ("r-7", "/orders/", "ledger")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-7"));
}

/// An attempt is under way while the name is given away; the retry goes to the right service.
#[test]
fn a_retry_follows_the_route() {
    let mut stores = stores_with(order("m1"));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-1"));
    stores.configure(&config(3, &[("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger")]));
    // The deadline of the first attempt passes.
    stores.run(Span::secs(6));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// The second message of an ordering key goes on after the first, under the new name.
#[test]
fn the_next_of_a_key_follows_the_route() {
    let mut stores = stores_with(order("m1"));
    stores.submit_header(order("m2"));
    stores.run(DELAY);
    stores.report_capacity_for(&SERVICES, FIRST_INCARNATION, stores.now);
    let first = stores.offers.pop().expect("no offer");
    assert_eq!((first.header.id.as_str(), first.header.route.as_str()), ("m1", "r-1"));
    stores.configure(&config(3, &[("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger")]));
    stores.succeed(&first);
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// A message that a store of the version before kept has no pattern. It is matched anew,
/// whether its store learns of the new configuration or opens the partition under it.
#[test]
fn a_message_without_a_pattern_is_matched_anew() {
    let mut without_pattern = order("m1");
    without_pattern.route_pattern.clear();
    let mut stores = stores_with(without_pattern);
    forget_pattern(&mut stores);
    stores.configure(&config(3, &[("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// As in a record that was written before patterns were recorded.
fn forget_pattern(stores: &mut StorePair) {
    let part = stores.cores[0].partitions.get_mut(&partition()).unwrap();
    let lead = part.leader_state.as_mut().unwrap();
    let record = part.records.get_mut(&MessageId("m1".into())).unwrap();
    let not_before = lead.queues.routed.get_mut(record.header.route_queue()).unwrap().remove(record.header.seq).unwrap();
    record.header.route_pattern.clear();
    lead.queues.enqueue_routed(record.header.route_queue(), &record.header.key, not_before, record.header.seq);
}

/// The leader restarts, and reads its messages back under the new configuration.
#[test]
fn a_restarted_store_finds_the_route() {
    let mut stores = stores_with(order("m1"));
    stores.restart_leader(&config(3, &[("r-1", "/alerts/", "gateway"), ("r-2", "/orders/", "ledger")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "r-2"));
}

/// Issue 56, related: a proxy that did not know a change yet took a message by the route's
/// earlier prefix. It waited in a queue that no route had, and ended as a dead letter.
#[test]
fn a_message_taken_under_an_earlier_prefix_belongs_to_its_route() {
    let mut stores = StorePair::new();
    stores.configure(&config(2, &FIRST));
    stores.configure(&config(3, &[("r-1", "/", "ledger"), ("r-2", "/notices/", "gateway")]));
    assert_eq!(stores.submit_header(order("m1")), [SubmitOutcome::Accepted { stage: Stage::Pending }]);
    assert_eq!(offered(&mut stores), to_service("ledger", "r-1"));
}

/// The route gets another name, and then another prefix under it.
#[test]
fn messages_follow_a_route_that_is_renamed_and_then_changes_its_prefix() {
    let mut stores = stores_with(order("m1"));
    stores.configure(&config(3, &[("orders", "/orders/", "ledger"), ("r-2", "/notices/", "gateway")]));
    stores.configure(&config(4, &[("orders", "/", "ledger"), ("r-2", "/notices/", "gateway")]));
    assert_eq!(offered(&mut stores), to_service("ledger", "orders"));
}
