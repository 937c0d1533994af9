//! Two ways through the steps of a world: all of them up to a depth, and long
//! random walks.
use super::step::WEIGHTS;
use super::{check_settled, Choice, Kind, Step, Violation, World};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Where a search ends.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub depth: usize,
    pub states: usize,
    pub time: Duration,
    /// Liveness is checked from one state in this many; zero for none.
    pub settle_every: usize,
}

/// What a search or walk has seen.
#[derive(Debug, Default)]
pub struct Outcome {
    pub states: usize,
    pub steps: usize,
    /// The depth up to which every state was visited.
    pub complete_depth: usize,
    /// Every state that the start leads to was visited.
    pub exhausted: bool,
    pub settled: usize,
    pub found: Option<(Violation, Vec<Step>)>,
}

/// How a state was first reached: from which, by which step.
struct Origin {
    parent: usize,
    step: Option<Step>,
}

struct Search {
    bounds: Bounds,
    end: Instant,
    visited: HashSet<u64>,
    origins: Vec<Origin>,
    outcome: Outcome,
}

/// Visits every state that `start` leads to, nearest first, within `bounds`.
pub fn search(start: World, bounds: Bounds) -> Outcome {
    let mut search = Search {
        bounds,
        end: Instant::now() + bounds.time,
        visited: HashSet::from([start.fingerprint()]),
        origins: vec![Origin { parent: 0, step: None }],
        outcome: Outcome { states: 1, ..Outcome::default() },
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
    /// The states one step further; `None` when a bound or a violation ends
    /// the search.
    fn expand(&mut self, frontier: Vec<(usize, World)>) -> Option<Vec<(usize, World)>> {
        let mut next = Vec::new();
        for (place, world) in frontier {
            for step in world.steps() {
                if self.outcome.states >= self.bounds.states || Instant::now() >= self.end {
                    return None;
                }
                next.extend(self.visit(place, &world, step)?);
            }
        }
        Some(next)
    }

    /// Takes a step; the inner `None` is a state that is already known.
    fn visit(&mut self, parent: usize, world: &World, step: Step) -> Option<Option<(usize, World)>> {
        let mut world = world.clone();
        self.outcome.steps += 1;
        let taken = world.take(step);
        if taken.is_ok() && !self.visited.insert(world.fingerprint()) {
            return Some(None);
        }
        let place = self.origins.len();
        self.origins.push(Origin { parent, step: Some(step) });
        self.outcome.states += 1;
        if let Err(violation) = taken.and_then(|()| self.check_settled(&world)) {
            self.outcome.found = Some((violation, self.trace(place)));
            return None;
        }
        Some(Some((place, world)))
    }

    fn check_settled(&mut self, world: &World) -> Result<(), Violation> {
        let every = self.bounds.settle_every;
        if every == 0 || !self.outcome.states.is_multiple_of(every) {
            return Ok(());
        }
        self.outcome.settled += 1;
        check_settled(world, self.outcome.settled)
    }

    fn trace(&self, place: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut origin = &self.origins[place];
        while let Some(step) = origin.step {
            steps.push(step);
            origin = &self.origins[origin.parent];
        }
        steps.reverse();
        steps
    }
}

/// One random history of `length` choices.
pub fn walk(mut world: World, seed: u64, length: usize) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut outcome = Outcome::default();
    let mut trace = Vec::new();
    for _ in 0..length {
        let choice = Choice { kind: random_kind(&mut random), selector: random.u16(..) };
        let Some(step) = choice.step(&world) else { continue };
        trace.push(step);
        outcome.steps += 1;
        if let Err(violation) = world.take(step) {
            outcome.found = Some((violation, trace));
            return outcome;
        }
    }
    outcome.settled = 1;
    outcome.found = check_settled(&world, seed as usize).err().map(|violation| (violation, trace));
    outcome
}

fn random_kind(random: &mut fastrand::Rng) -> Kind {
    let total: u32 = WEIGHTS.iter().map(|(weight, _)| weight).sum();
    let mut left = random.u32(0..total);
    for (weight, kind) in WEIGHTS {
        if left < weight {
            return kind;
        }
        left -= weight;
    }
    Kind::Deliver
}
