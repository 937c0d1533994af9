//! Long random histories of the same steps as the model check, shrunk to a
//! short one when they break an invariant.
mod explorer;
use explorer::{check_settled, step::WEIGHTS, Choice, Kind, World};
use proptest::prelude::*;
use proptest::strategy::Union;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

/// Groups that a history starts from: spare machines and voters wanted.
const GROUPS: [(usize, usize); 4] = [(0, 3), (1, 3), (2, 3), (3, 5)];

/// What a history is drawn from: the choices do not depend on the state, so
/// that any of them can be left out when a failure is shrunk.
#[derive(Clone, Debug)]
struct Start {
    spares: usize,
    target_voters: usize,
    random_seed: u64,
}

struct Choices;

impl ReferenceStateMachine for Choices {
    type State = Start;
    type Transition = Choice;

    fn init_state() -> BoxedStrategy<Start> {
        let group = prop::sample::select(GROUPS.as_slice());
        let start = (group, 0..1_000u64);
        start.prop_map(|((spares, target_voters), random_seed)| Start { spares, target_voters, random_seed }).boxed()
    }

    fn transitions(_: &Start) -> BoxedStrategy<Choice> {
        let kinds = WEIGHTS.map(|(weight, kind)| (weight, Just(kind).boxed()));
        let kind: Union<BoxedStrategy<Kind>> = Union::new_weighted(kinds.to_vec());
        (kind, any::<u16>()).prop_map(|(kind, selector)| Choice { kind, selector }).boxed()
    }

    fn apply(start: Start, _: &Choice) -> Start {
        start
    }
}

struct Histories;

impl StateMachineTest for Histories {
    type SystemUnderTest = World;
    type Reference = Choices;

    fn init_test(start: &Start) -> World {
        World::settled(start.spares, start.target_voters, start.random_seed)
    }

    fn apply(mut world: World, _: &Start, choice: Choice) -> World {
        if let Some(step) = choice.step(&world) {
            assert_eq!(world.take(step), Ok(()), "{step:?}");
        }
        world
    }

    fn teardown(world: World, start: Start) {
        assert_eq!(check_settled(&world, start.random_seed as usize), Ok(()));
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
    fn long_histories_break_no_invariant(sequential 100..500 => Histories);
}
