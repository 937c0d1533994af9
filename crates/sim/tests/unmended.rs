//! Runs that the sweep found to break a rule, and whose fault is not mended
//! yet. Each moves to the scenarios once it holds.
mod common;

use common::all;
use dw_sim::prelude::*;

#[track_caller]
fn holds(text: &str) {
    let script = parse(text).unwrap();
    let seeds: Vec<u64> = script.all_seeds().collect();
    let bad = all(seeds.into_iter().map(|seed| (script.clone(), seed)).collect());
    assert!(bad.is_empty(), "{bad:#?}");
}

/// Two partitions are never opened again, though a whole copy is left.
#[test]
fn a_store_lost_after_everything_was_down() {
    holds(include_str!("unmended/store-lost-after-everything-was-down.txt"));
}

/// The message counts as ended, and its call-back is never made.
#[test]
fn a_call_back_owed_after_a_lapsed_lease() {
    holds(include_str!("unmended/call-back-after-a-lapsed-lease.txt"));
}
