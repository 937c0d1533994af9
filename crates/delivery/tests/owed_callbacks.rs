//! Call-backs that are owed when the last route is removed.
mod harness;
use dw_delivery::prelude::*;
use harness::Harness;

/// Review case 5, LOST: with the last route a delivery stopped telling the stores which
/// addresses it calls back, and call-backs that were owed were never made.
#[test]
fn a_delivery_reports_the_addresses_it_calls_back_without_any_route() {
    let mut harness = Harness::new();
    harness.remove_all_routes();
    assert!(harness.capacity_reports > 0);
    let addresses = harness.routed_capacity.map(|capacity| capacity.addresses).unwrap_or_default();
    assert!(matches!(addresses[..], [Duty::TargetShard(_)]), "{addresses:?}");
}
