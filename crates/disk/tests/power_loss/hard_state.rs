//! The saved versions of a placement replica's hard state.
use super::*;
use dw_placement::hard_files::{HardStateFiles, StoredState};
use dw_placement::prelude::{HardState, IncarnationId, Order, Term};
use proptest::prelude::*;

const DISK_ID: IncarnationId = IncarnationId(7);

fn state(term: u64) -> HardState<Order> {
    HardState { term: Term(term), ..HardState::empty(DISK_ID) }
}

/// The terms of the hard states that a replica asked to save and that were
/// reported as saved.
#[derive(Default)]
struct Replica {
    last_requested: u64,
    last_reported: u64,
}

impl Replica {
    /// One incarnation: reads the folder, and saves until the power is lost.
    fn run_until_power_loss(&mut self, directory: &ModelDirectory, random: &mut Random) -> Result<(), TestCaseError> {
        let (folder, files) = open(directory);
        let (mut hard, found) = HardStateFiles::read(&files);
        match found {
            StoredState::Unreadable => {
                prop_assert!(false, "the state is lost, with term {} reported as saved", self.last_reported)
            }
            StoredState::Missing => prop_assert_eq!(self.last_reported, 0),
            StoredState::Readable(found) => {
                prop_assert!(
                    found.term.0 >= self.last_reported,
                    "term {} is read back after {} was reported",
                    found.term.0,
                    self.last_reported
                );
                prop_assert!(found.term.0 <= self.last_requested);
                self.last_reported = found.term.0;
            }
        }
        directory.supply_power_for(1 + random.below(40));
        while self.save(directory, &folder, &mut hard, random) {}
        directory.lose_power();
        Ok(())
    }

    /// Saves a few new states, until all are reported; false if the power was lost.
    fn save(&mut self, directory: &ModelDirectory, folder: &DataFolder, hard: &mut HardStateFiles, random: &mut Random) -> bool {
        let mut effects = Vec::new();
        for _ in 0..1 + random.below(3) {
            self.last_requested += 1;
            hard.save(self.last_requested, state(self.last_requested), &mut effects);
        }
        directory.fail_writes(random.below(3));
        while !effects.is_empty() {
            let Some(events) = perform_disk_effects(directory, folder, &std::mem::take(&mut effects)) else { return false };
            for event in events {
                let Event::Saved(n) = event else { continue };
                self.last_reported = self.last_reported.max(n);
                hard.saved(&mut effects);
            }
        }
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_newest_reported_state_or_a_newer_one_is_read_back(seed in any::<u64>()) {
        let mut random = Random::new(seed);
        let directory = ModelDirectory::new(seed.rotate_left(17));
        let mut replica = Replica::default();
        for _ in 0..5 {
            replica.run_until_power_loss(&directory, &mut random)?;
        }
    }
}
