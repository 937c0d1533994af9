//! Deliberate breakages of the daemons' effects, and the proof that a rule's
//! watch catches them.
#![allow(dead_code)]
use dw_sim::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Runs a script soundly and with one breakage: the first must break no rule,
/// the second one that `hit` knows.
pub fn caught(script: &Script, seed: u64, breakage: Breakage, hit: impl Fn(&str) -> bool) {
    let sound = run(script, seed, false, None);
    assert!(sound.found.broken.is_empty(), "sound: {:?}", sound.found.broken);
    let broken = run(script, seed, false, Some(breakage)).found.broken;
    assert!(broken.iter().any(|b| hit(b)), "not caught: {broken:?}");
}

/// The same for a breakage that shows only under some schedules: the sound
/// run must break no rule under any of the seeds, and the breakage must be
/// noticed under one of them at least.
pub fn caught_under_some(script: &Script, seeds: &[u64], breakage: Breakage, hit: impl Fn(&str) -> bool) {
    let sound = all(seeds.iter().map(|seed| (script.clone(), *seed)).collect());
    assert!(sound.is_empty(), "sound: {sound:?}");
    let noticed = |seed: &u64| run(script, *seed, false, Some(breakage)).found.broken.iter().any(|b| hit(b));
    assert!(seeds.iter().any(noticed), "not caught under any of {seeds:?}");
}

/// The script of a scenario file, by the number that its name begins with.
pub fn scenario(number: &str) -> Script {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let named = |path: &std::path::PathBuf| path.file_name().unwrap().to_string_lossy().starts_with(&format!("{number}-"));
    let path = files.into_iter().find(named).unwrap();
    parse(&std::fs::read_to_string(path).unwrap()).unwrap()
}

/// Alters the configurations that daemons hear of.
pub fn alter_config_updates(effect: &mut Effect, from: &str, to: &str) {
    if let Effect::Send(_, PeerMessage::PullResponse { updates: items, .. }) = effect {
        for (_, item) in items {
            if let Update::Config(json) = item {
                *json = json.replace(from, to);
            }
        }
    }
}

/// What breaks any rule in any of these runs, each under its seed.
pub fn all(jobs: Vec<(Script, u64)>) -> Vec<String> {
    let next = AtomicUsize::new(0);
    let bad = Mutex::new(Vec::new());
    let hands = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|s| {
        for _ in 0..hands {
            s.spawn(|| loop {
                let Some((script, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let r = run(script, *seed, false, None);
                for b in r.found.broken {
                    bad.lock().unwrap().push(format!("{} seed {seed}: {b}", script.name));
                }
            });
        }
    });
    let mut bad = bad.into_inner().unwrap();
    bad.sort();
    bad
}
