//! The model check: an exhaustive search of small worlds, random histories of
//! larger ones, and tests that each injected fault is detected.
mod explorer;
use dw_election::prelude::Span;
use explorer::{random_walk, search, Bounds, Budget, InjectedFault, Reductions, SearchOutcome, Step, Violation, World};
use std::time::{Duration, Instant};

const TIME_LIMIT: Duration = Duration::from_secs(600);
const REDUCED: Reductions = Reductions { immediate_writes: true, drop_joins: true };
const NO_FAULTS: Budget =
    Budget { crashes: 0, wipes: 0, removals: 0, leaves: 0, disconnections: 0, compactions: 0, proposals: 0, ..Budget::UNBOUNDED };
const ONE_TIMEOUT: Budget = Budget {
    heartbeats: 0,
    timeouts: 1,
    duplicates: 0,
    drops: 0,
    crashes: 0,
    wipes: 0,
    removals: 0,
    disconnections: 0,
    proposals: 0,
    compactions: 0,
    leaves: 0,
};

fn bounds(states: usize) -> Bounds {
    Bounds { depth: usize::MAX, states, time: TIME_LIMIT, liveness_interval: 2_000 }
}

/// Start states that are each searched up to a given number of states, with the
/// labels under which docs/measurements lists them.
fn bounded_worlds() -> Vec<(&'static str, World)> {
    let two_campaigns = Budget { timeouts: 2, crashes: 1, ..ONE_TIMEOUT };
    let replication = Budget { heartbeats: 2, proposals: 1, crashes: 1, ..ONE_TIMEOUT };
    let one_way_disconnection = Budget { heartbeats: 2, timeouts: 2, disconnections: 1, ..ONE_TIMEOUT };
    let disk_loss = Budget { heartbeats: 2, wipes: 1, removals: 1, duplicates: 1, ..ONE_TIMEOUT };
    let catch_up = Budget { heartbeats: 1, proposals: 1, crashes: 1, ..ONE_TIMEOUT };
    vec![
        ("two campaigns and a crash", World::bootstrapped(0, 3, 1).with_reductions(REDUCED).with_budget(two_campaigns)),
        ("replication, delayed writes", World::with_leader(0, 3, 1).with_budget(replication)),
        ("a wipe or removal, a spare", World::with_leader(1, 3, 1).with_budget(disk_loss)),
        ("growth to five", World::bootstrapped(2, 5, 1).with_budget(two_campaigns)),
        ("a late follower and a snapshot", World::with_lagging_follower(1).with_reductions(REDUCED).with_budget(catch_up)),
        ("two old leaders", World::with_two_crashed_leaders(1).with_reductions(REDUCED).with_budget(two_campaigns)),
        ("a cut one way", World::with_leader(0, 3, 1).with_reductions(REDUCED).with_budget(one_way_disconnection)),
        ("an impatient voter", World::with_disconnected_candidate(1).with_budget(two_campaigns)),
    ]
}

fn search_from_each_start(states: usize) {
    for (label, world) in bounded_worlds() {
        let begin = Instant::now();
        let outcome = search(world, bounds(states));
        println!("{label}: {outcome:?} in {:.1?}", begin.elapsed());
        assert_eq!(outcome.found, None, "{label}");
    }
}

#[test]
fn all_histories_of_one_campaign_satisfy_the_invariants() {
    for start in [World::bootstrapped(0, 3, 1), World::with_leader(0, 3, 1)] {
        let outcome = search(start.with_reductions(REDUCED).with_budget(ONE_TIMEOUT), bounds(100_000));
        println!("{outcome:?}");
        assert_eq!(outcome.found, None);
        assert!(outcome.exhausted);
    }
}

#[test]
fn all_states_near_each_start_satisfy_the_invariants() {
    search_from_each_start(12_000);
}

#[test]
#[ignore = "the deeper form; its counts are in docs/measurements"]
fn all_states_farther_from_each_start_satisfy_the_invariants() {
    search_from_each_start(400_000);
}

fn random_walks_from_each_seed(seeds: std::ops::Range<u64>) {
    let mut steps = 0;
    for seed in seeds {
        let (spares, target_voters) = [(0, 3), (1, 3), (2, 3), (3, 5)][seed as usize % 4];
        let outcome = random_walk(World::with_leader(spares, target_voters, seed), seed, 400);
        assert_eq!(outcome.found, None, "seed {seed}");
        steps += outcome.steps;
    }
    println!("{steps} steps");
}

#[test]
fn random_histories_satisfy_the_invariants() {
    random_walks_from_each_seed(0..150);
}

#[test]
#[ignore = "the deeper form; its counts are in docs/measurements"]
fn many_random_histories_satisfy_the_invariants() {
    random_walks_from_each_seed(1_000..6_000);
}

/// Takes random walks from `start` until a safety violation shows the fault.
fn assert_detected_by_random_walks(fault: InjectedFault, seeds: u64, start: impl Fn(u64) -> World) {
    let walks = (0..seeds).map(|seed| (seed, random_walk(start(seed).with_fault(Some(fault)), seed, 400)));
    let mut detected = walks.filter_map(|(seed, outcome)| outcome.found.map(|(violation, trace)| (seed, violation, trace)));
    let found = detected.find(|(_, violation, _)| violation.is_safety_violation());
    let (seed, violation, trace) = found.unwrap_or_else(|| panic!("{fault:?} was not detected"));
    println!("{fault:?}: {violation:?} at seed {seed} after {} steps", trace.len());
}

/// Searches from `start` until a safety violation shows the fault.
fn assert_detected_by_search(fault: InjectedFault, start: World) {
    let bounds = Bounds { liveness_interval: 0, ..bounds(150_000) };
    let faulty: SearchOutcome = search(start.with_fault(Some(fault)), bounds);
    let (violation, trace) = faulty.found.unwrap_or_else(|| panic!("{fault:?} was not detected"));
    assert!(violation.is_safety_violation());
    println!("{fault:?}: {violation:?} after {} states by {trace:?}", faulty.states);
}

#[test]
fn a_forgotten_vote_is_detected() {
    assert_detected_by_random_walks(InjectedFault::ForgetsVote, 300, |seed| World::with_leader(0, 3, seed));
}

#[test]
fn a_message_sent_before_its_write_is_durable_is_detected() {
    assert_detected_by_random_walks(InjectedFault::SendsBeforeDurable, 20, |seed| World::with_leader(0, 3, seed));
}

#[test]
fn a_snapshot_that_clears_the_log_is_detected() {
    let budget = Budget { timeouts: 0, proposals: 1, crashes: 1, ..ONE_TIMEOUT };
    let start = World::with_lagging_follower(1).with_reductions(REDUCED).with_budget(budget);
    assert_detected_by_search(InjectedFault::ClearsLogOnSnapshot, start);
}

#[test]
fn counting_responses_of_any_data_directory_is_detected() {
    assert_detected_by_random_walks(InjectedFault::CountsAnyDiskId, 20, |seed| World::with_leader(0, 3, seed));
}

#[test]
fn committing_entries_of_earlier_terms_by_count_is_detected() {
    let fault = InjectedFault::CommitsEntriesOfEarlierTerms;
    let budget = Budget { heartbeats: 1, ..ONE_TIMEOUT };
    let start = World::with_replicated_earlier_term(1, fault);
    assert_detected_by_search(fault, start.with_reductions(REDUCED).with_budget(budget));
}

#[test]
fn a_change_without_a_joint_configuration_is_detected() {
    let fault = InjectedFault::ChangesWithoutJointConsensus;
    let start = |seed| World::with_membership_change_started(seed, fault).with_reductions(REDUCED).with_budget(NO_FAULTS);
    assert_detected_by_random_walks(fault, 300, start);
}

#[test]
fn removing_a_voter_before_adding_its_replacement_is_detected() {
    assert_detected_by_random_walks(InjectedFault::RemovesBeforeAdding, 20, |seed| World::with_leader(1, 3, seed));
}

/// Control for the two preceding faults, which restart a leader when they alter
/// its log: the restart alone violates no invariant.
#[test]
fn a_leader_that_restarts_at_each_change_satisfies_the_invariants() {
    let fault = InjectedFault::RestartsLeaderAtChange;
    for seed in 0..30 {
        let start = World::bootstrapped(2, 5, seed).with_fault(Some(fault));
        assert_eq!(random_walk(start, seed, 400).found, None, "seed {seed}");
        let change_started = World::with_membership_change_started(seed, fault).with_reductions(REDUCED).with_budget(NO_FAULTS);
        assert_eq!(random_walk(change_started, seed, 400).found, None, "seed {seed}, a change started");
    }
}

#[test]
fn a_vote_despite_a_recent_leader_is_detected() {
    let start = World::with_disconnected_candidate(1).with_reductions(REDUCED).with_budget(Budget::default());
    assert_detected_by_search(InjectedFault::VotesDespiteRecentLeader, start);
}

#[test]
fn a_machine_that_returns_with_an_outdated_disk_is_detected() {
    assert_detected_by_random_walks(InjectedFault::ReturnsWithOutdatedDisk, 100, |seed| World::with_leader(1, 3, seed));
}

/// A leader that is isolated, or whose messages are lost while it receives others,
/// loses its lease. With the fault it keeps the lease, and two leaders are active.
#[test]
fn a_lease_renewed_by_undelivered_heartbeats_is_detected() {
    let disconnections: [fn(usize) -> Step; 2] = [Step::Isolate, Step::BlockOutbound];
    for (disconnect, fault) in
        [(disconnections[0], None), (disconnections[1], None), (disconnections[0], Some(InjectedFault::AcknowledgesUndelivered))]
    {
        let mut world = World::with_leader(0, 3, 1).with_fault(fault);
        let leader = world.leader().expect("the group has a leader");
        world.take_step(disconnect(leader)).expect("the step violates no invariant");
        let end = world.run_with_immediate_delivery(Span::secs(6));
        match fault {
            None => {
                assert_eq!(end, Ok(()));
                assert!(world.leader().is_some_and(|other| other != leader), "the other voters elected a leader");
            }
            Some(_) => assert!(matches!(end, Err(Violation::TwoActiveLeaders { .. })), "{end:?}"),
        }
    }
}

#[test]
fn a_wiped_replica_with_its_old_disk_id_is_detected() {
    assert_detected_by_random_walks(InjectedFault::KeepsDiskIdWhenWiped, 20, |seed| World::with_leader(0, 3, seed));
}
