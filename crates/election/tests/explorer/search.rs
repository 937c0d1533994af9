//! Explores the steps of a world in two ways: breadth first through all of
//! them, and by long random walks.
use super::step::STEP_WEIGHTS;
use super::{check_liveness, Step, StepChoice, StepKind, Violation, World};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub depth: usize,
    pub states: usize,
    pub time: Duration,
    /// Liveness is checked for one in this many states; never if 0.
    pub liveness_interval: usize,
}

/// The result of a search or random walk.
#[derive(Debug, Default)]
pub struct SearchOutcome {
    pub states: usize,
    pub steps: usize,
    /// The depth up to which all states were visited.
    pub complete_depth: usize,
    /// Whether all states that can be reached from the start were visited.
    pub exhausted: bool,
    pub liveness_checks: usize,
    /// The first violation, and the steps that lead to it.
    pub found: Option<(Violation, Vec<Step>)>,
}

/// How a state was first reached: the previous state and the step from it.
struct Origin {
    parent: usize,
    step: Option<Step>,
}

struct Search {
    bounds: Bounds,
    end: Instant,
    visited: HashSet<u64>,
    origins: Vec<Origin>,
    outcome: SearchOutcome,
}

/// Visits the states that can be reached from `start` breadth first, within `bounds`.
pub fn search(start: World, bounds: Bounds) -> SearchOutcome {
    let mut search = Search {
        bounds,
        end: Instant::now() + bounds.time,
        visited: HashSet::from([start.fingerprint()]),
        origins: vec![Origin { parent: 0, step: None }],
        outcome: SearchOutcome { states: 1, ..SearchOutcome::default() },
    };
    let mut frontier = vec![(0, start)];
    while search.outcome.complete_depth < bounds.depth && !frontier.is_empty() {
        let Some(next) = search.expand(frontier) else { break };
        frontier = next;
        search.outcome.complete_depth += 1;
        search.outcome.exhausted = frontier.is_empty();
    }
    search.outcome
}

impl Search {
    /// The unvisited states one step after the frontier; `None` when a limit or
    /// a violation ends the search.
    fn expand(&mut self, frontier: Vec<(usize, World)>) -> Option<Vec<(usize, World)>> {
        let mut next = Vec::new();
        for (index, world) in frontier {
            for step in world.steps() {
                if self.outcome.states >= self.bounds.states || Instant::now() >= self.end {
                    return None;
                }
                next.extend(self.visit(index, &world, step)?);
            }
        }
        Some(next)
    }

    /// Takes a step from a state. The outer `None` means a violation, the inner
    /// one a state that was already visited.
    fn visit(&mut self, parent: usize, world: &World, step: Step) -> Option<Option<(usize, World)>> {
        let mut world = world.clone();
        self.outcome.steps += 1;
        let taken = world.take_step(step);
        if taken.is_ok() && !self.visited.insert(world.fingerprint()) {
            return Some(None);
        }
        let index = self.origins.len();
        self.origins.push(Origin { parent, step: Some(step) });
        self.outcome.states += 1;
        if let Err(violation) = taken.and_then(|()| self.check_liveness(&world)) {
            self.outcome.found = Some((violation, self.trace(index)));
            return None;
        }
        Some(Some((index, world)))
    }

    fn check_liveness(&mut self, world: &World) -> Result<(), Violation> {
        let every = self.bounds.liveness_interval;
        if every == 0 || !self.outcome.states.is_multiple_of(every) {
            return Ok(());
        }
        self.outcome.liveness_checks += 1;
        check_liveness(world, self.outcome.liveness_checks)
    }

    fn trace(&self, index: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut origin = &self.origins[index];
        while let Some(step) = origin.step {
            steps.push(step);
            origin = &self.origins[origin.parent];
        }
        steps.reverse();
        steps
    }
}

/// Runs one random history of `length` choices, then checks liveness.
pub fn random_walk(mut world: World, seed: u64, length: usize) -> SearchOutcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut outcome = SearchOutcome::default();
    let mut trace = Vec::new();
    for _ in 0..length {
        let choice = StepChoice { kind: random_kind(&mut rng), selector: rng.u16(..) };
        let Some(step) = choice.step(&world) else { continue };
        trace.push(step);
        outcome.steps += 1;
        if let Err(violation) = world.take_step(step) {
            outcome.found = Some((violation, trace));
            return outcome;
        }
    }
    outcome.liveness_checks = 1;
    outcome.found = check_liveness(&world, seed as usize).err().map(|violation| (violation, trace));
    outcome
}

fn random_kind(rng: &mut fastrand::Rng) -> StepKind {
    let total: u32 = STEP_WEIGHTS.iter().map(|(weight, _)| weight).sum();
    let mut remaining = rng.u32(0..total);
    for (weight, kind) in STEP_WEIGHTS {
        if remaining < weight {
            return kind;
        }
        remaining -= weight;
    }
    StepKind::Deliver
}
