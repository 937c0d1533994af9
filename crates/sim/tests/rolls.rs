//! Planned work alone breaks no rule, however its turns overlap.
mod common;

use common::all;
use dw_sim::prelude::*;

/// Incident TWICE: messages ran again up to 21 s after a success that was
/// read, on calm days with planned restarts only.
#[test]
fn restarts_in_turns_that_overlap_repeat_no_success() {
    let bad = all((0..32).map(|seed| (roll_schedule(seed), seed)).collect());
    assert!(bad.is_empty(), "{bad:#?}");
}
