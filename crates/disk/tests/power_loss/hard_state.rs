//! The versions of placement's hard state.
use super::*;
use dw_placement::hard_files::{HardStateFiles, StoredState};
use dw_placement::prelude::{HardState, IncarnationId, Order, Term};
use proptest::prelude::*;

const MARK: IncarnationId = IncarnationId(7);

fn state(term: u64) -> HardState<Order> {
    HardState { term: Term(term), ..HardState::empty(MARK) }
}

/// What a replica asked to have saved, and what it was told is.
#[derive(Default)]
struct Replica {
    asked: u64,
    reported: u64,
}

impl Replica {
    /// One life: reads the folder, and saves until the power is lost.
    fn live(&mut self, directory: &ModelDirectory, dice: &mut Dice) -> Result<(), TestCaseError> {
        let (folder, files) = open(directory);
        let (mut hard, found) = HardStateFiles::read(&files);
        match found {
            StoredState::Unreadable => prop_assert!(false, "amnesia, with {} reported as saved", self.reported),
            StoredState::Missing => prop_assert_eq!(self.reported, 0),
            StoredState::Readable(found) => {
                prop_assert!(found.term.0 >= self.reported, "term {} for {}", found.term.0, self.reported);
                prop_assert!(found.term.0 <= self.asked);
                self.reported = found.term.0;
            }
        }
        directory.power_for(1 + dice.below(40));
        while self.save(directory, &folder, &mut hard, dice) {}
        directory.lose_power();
        Ok(())
    }

    fn save(&mut self, directory: &ModelDirectory, folder: &Folder, hard: &mut HardStateFiles, dice: &mut Dice) -> bool {
        let mut out = Vec::new();
        for _ in 0..1 + dice.below(3) {
            self.asked += 1;
            hard.save(self.asked, state(self.asked), &mut out);
        }
        directory.full_for(dice.below(3));
        while !out.is_empty() {
            let Some(events) = perform(directory, folder, &std::mem::take(&mut out)) else { return false };
            for event in events {
                let Event::Saved(n) = event else { continue };
                self.reported = self.reported.max(n);
                hard.saved(&mut out);
            }
        }
        true
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_newest_reported_state_or_a_newer_one_is_read_back(seed in any::<u64>()) {
        let mut dice = Dice::new(seed);
        let directory = ModelDirectory::new(seed.rotate_left(17));
        let mut replica = Replica::default();
        for _ in 0..5 {
            replica.live(&directory, &mut dice)?;
        }
    }
}
