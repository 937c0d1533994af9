//! Long random histories of the steps of the model check. A history that
//! violates an invariant is shrunk to a short one.
mod explorer;
use explorer::{check_liveness, step::STEP_WEIGHTS, StepChoice, StepKind, World};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// The groups that histories start from: number of spare machines and of target voters.
const GROUPS: [(usize, usize); 4] = [(0, 3), (1, 3), (2, 3), (3, 5)];

/// The start of a history. Choices do not depend on the state of the group, so
/// that any of them can be left out when a failure is shrunk.
#[derive(Clone, Debug)]
struct HistoryStart {
    spares: usize,
    target_voters: usize,
    random_seed: u64,
}

struct RandomChoices;

impl ReferenceStateMachine for RandomChoices {
    type State = HistoryStart;
    type Transition = StepChoice;

    fn init_state() -> BoxedStrategy<HistoryStart> {
        let group = prop::sample::select(GROUPS.as_slice());
        let start = (group, 0..1_000u64);
        start.prop_map(|((spares, target_voters), random_seed)| HistoryStart { spares, target_voters, random_seed }).boxed()
    }

    fn transitions(_: &HistoryStart) -> BoxedStrategy<StepChoice> {
        let kinds = STEP_WEIGHTS.map(|(weight, kind)| (weight, Just(kind).boxed()));
        let kind: Union<BoxedStrategy<StepKind>> = Union::new_weighted(kinds.to_vec());
        (kind, any::<u16>()).prop_map(|(kind, selector)| StepChoice { kind, selector }).boxed()
    }

    fn apply(start: HistoryStart, _: &StepChoice) -> HistoryStart {
        start
    }
}

struct WorldTest;

impl StateMachineTest for WorldTest {
    type SystemUnderTest = World;
    type Reference = RandomChoices;

    fn init_test(start: &HistoryStart) -> World {
        World::with_leader(start.spares, start.target_voters, start.random_seed)
    }

    fn apply(mut world: World, _: &HistoryStart, choice: StepChoice) -> World {
        if let Some(step) = choice.step(&world) {
            assert_eq!(world.take_step(step), Ok(()), "{step:?}");
        }
        world
    }

    fn teardown(world: World, start: HistoryStart) {
        assert_eq!(check_liveness(&world, start.random_seed as usize), Ok(()));
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })]

    #[test]
    fn long_histories_satisfy_the_invariants(sequential 100..500 => WorldTest);
}
