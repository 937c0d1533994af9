//! Loss of power at any step, after which each unsynced change of the directory
//! is kept or lost independently of the others. What was reported as saved must
//! be read back, and nothing older or torn may be taken for newer state.
mod hard_state;
mod model;
mod store;
use dw_disk::prelude::*;
use dw_queue::prelude::{Effect, Event};
use model::*;
use std::sync::Arc;

/// Opens the folder and loads all its files, as a daemon does at its start.
fn open(directory: &ModelDirectory) -> (DataFolder, Vec<(String, Bytes)>) {
    let folder = DataFolder::with_directory(Arc::new(directory.clone()), "one").unwrap();
    let names = folder.list().unwrap();
    let files = names.into_iter().map(|name| (name.clone(), folder.load(&name).unwrap())).collect();
    (folder, files)
}

/// Repeats a write until it succeeds, as the disk thread does; `None` if the
/// power was lost.
fn retry_write(directory: &ModelDirectory, mut write: impl FnMut() -> Result<(), DiskError>) -> Option<()> {
    while write().is_err() {
        if !directory.has_power() {
            return None;
        }
    }
    Some(())
}

/// Performs the disk effects of one step in order and returns the resulting
/// events; `None` if the power was lost.
fn perform_disk_effects(directory: &ModelDirectory, folder: &DataFolder, effects: &[Effect]) -> Option<Vec<Event>> {
    let mut events = Vec::new();
    for effect in effects {
        match effect {
            Effect::Save { number, name, bytes } => {
                retry_write(directory, || folder.claim_ownership().and_then(|()| folder.save(name, bytes)))?;
                events.push(Event::Saved(*number));
            }
            Effect::Remove(name) => retry_write(directory, || folder.remove(name))?,
            _ => {}
        }
    }
    Some(events)
}
