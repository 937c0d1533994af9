//! Loss of power at any step, with each unsynced change of the directory kept
//! or lost by itself: what was reported as saved is read back, and nothing
//! older or torn is taken for newer state.
mod hard_state;
mod model;
mod store;
use dw_disk::prelude::*;
use dw_waitlist::prelude::{Effect, Event};
use model::*;
use std::sync::Arc;

/// Opens the folder as a start does.
fn open(directory: &ModelDirectory) -> (DataFolder, Vec<(String, Bytes)>) {
    let folder = DataFolder::with_directory(Arc::new(directory.clone()), "one").unwrap();
    let names = folder.list().unwrap();
    let files = names.into_iter().map(|name| (name.clone(), folder.load(&name).unwrap())).collect();
    (folder, files)
}

/// Repeats a write as the disk thread does, until it works; `None` when the
/// power goes.
fn until_done(directory: &ModelDirectory, mut write: impl FnMut() -> Result<(), DiskError>) -> Option<()> {
    while write().is_err() {
        if !directory.has_power() {
            return None;
        }
    }
    Some(())
}

/// Does a step's effects on the disk in order, and gives the events they lead
/// to; `None` when the power was lost.
fn perform(directory: &ModelDirectory, folder: &DataFolder, effects: &[Effect]) -> Option<Vec<Event>> {
    let mut events = Vec::new();
    for effect in effects {
        match effect {
            Effect::Save { n, name, bytes } => {
                until_done(directory, || folder.claim_ownership().and_then(|()| folder.save(name, bytes)))?;
                events.push(Event::Saved(*n));
            }
            Effect::Remove(name) => until_done(directory, || folder.remove(name))?,
            _ => {}
        }
    }
    Some(events)
}
