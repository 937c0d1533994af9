//! LOST: a storage machine is killed while accepted messages with large bodies wait for their
//! delay. Afterwards they stay pending, though workers are free.
//!
//! Whether a partition's messages are in the memory of the store that takes it over is chance
//! (about one in two), and only then they get stuck. So the same is done at the storage machines of
//! the three zones in turn, four times at most, until some message is stuck; the rest is calm.
use crate::fleet::{Fleet, ZONES};
use crate::world::{config, put_config, route, service, World};
use crate::Verdict;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// In each round.
const MESSAGES: usize = 72;
/// Within `limits.maxBodyBytes` (262,144) of the configuration.
const BODY_BYTES: usize = 255_000;
const ROUNDS: usize = 4;
/// Between two messages: ten a second, 2.6 MB/s.
const GAP: Duration = Duration::from_millis(100);
/// From the start of a round until its first message is due.
const FIRST_DUE: Duration = Duration::from_millis(8500);
/// Between the times at which two messages are due.
const DUE_GAP: Duration = Duration::from_millis(15);
/// How long the storage machine is down.
const DOWN: Duration = Duration::from_millis(2500);
/// A message that no worker had so long after it was due is looked at as stuck.
const STUCK: Duration = Duration::from_secs(9);
/// From then to the check.
const CALM: Duration = Duration::from_secs(20);

pub fn run(world: &Arc<World>, fleet: &mut Fleet, trouble: bool) -> Result<Verdict, String> {
    world.serve_list(fleet)?;
    // As many workers and slots as the site's ledger-post has.
    for n in 0..47 {
        world.open_worker(fleet, n, "ledger-post", 6, Duration::from_millis(300))?;
    }
    fleet.start()?;
    let routes = [route("r-journal", "/journal/", "ledger-post", false)];
    if put_config(world, fleet, 0, &config(1, &routes, &[service("ledger-post")]))? != 200 {
        return Err("the configuration was not taken".into());
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(4));
    let mut accepted = Vec::new();
    for number in 0..ROUNDS {
        accepted.extend(round(world, fleet, number, trouble)?);
        if !never_run(world, &accepted).is_empty() {
            break;
        }
    }
    std::thread::sleep(CALM);
    let stuck = never_run(world, &accepted);
    for (n, (id, name)) in stuck.iter().enumerate() {
        let state = world.state(fleet, n, name);
        world.note(format!("state     {id} ({name}): {state}; no worker ever had it"));
    }
    let last = world.runs().iter().map(|r| r.at).max().unwrap_or_default();
    let text = format!(
        "{} of {} accepted messages were never sent to a worker, {:.0} s after the last of them was due; the last run of any message began at {:.1} s of {:.1} s",
        stuck.len(),
        accepted.len(),
        (STUCK + CALM).as_secs_f64(),
        last.as_secs_f64(),
        world.now().as_secs_f64()
    );
    Ok(Verdict { broken: !stuck.is_empty(), text })
}

/// The accepted messages that no worker has had.
fn never_run(world: &World, accepted: &[(String, String)]) -> Vec<(String, String)> {
    let runs = world.runs();
    let run: BTreeSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    accepted.iter().filter(|(id, _)| !run.contains(id.as_str())).cloned().collect()
}

/// Clients of one zone send messages that come due within about a second; the zone's storage
/// machine is killed just before. Returns the accepted ones.
fn round(world: &Arc<World>, fleet: &mut Fleet, number: usize, trouble: bool) -> Result<Vec<(String, String)>, String> {
    let zone = number % ZONES.len();
    let accepted: Mutex<Vec<(String, String)>> = Mutex::default();
    let started = world.now();
    let front = fleet.front(zone);
    std::thread::scope(|scope| -> Result<(), String> {
        for n in 0..MESSAGES {
            let (world, front, accepted) = (world.clone(), front.clone(), &accepted);
            scope.spawn(move || {
                std::thread::sleep(GAP * n as u32);
                let id = format!("journal-{number}-{n:03}");
                let due = started + FIRST_DUE + DUE_GAP * n as u32;
                let delay = due.saturating_sub(world.now()).as_millis().to_string();
                let body = body_of(number * MESSAGES + n);
                let path = format!("/journal/{number}/{n}");
                if let Some(name) = world.submit_to(&front, &id, &path, &[("X-Dahliawick-Delay-Ms", &delay)], &body) {
                    accepted.lock().unwrap().push((id, name));
                }
            });
        }
        if trouble {
            // Just before the first message is due.
            std::thread::sleep((started + FIRST_DUE).saturating_sub(world.now()).saturating_sub(Duration::from_millis(200)));
            let store = fleet.all("store")[zone];
            let machine = fleet.machine_of(store);
            world.note(format!("trouble   the storage machine in {} is killed for {} ms", ZONES[zone], DOWN.as_millis()));
            machine.iter().for_each(|n| fleet.stop(*n));
            std::thread::sleep(DOWN);
            for n in machine {
                fleet.restart(n)?;
            }
            world.note("trouble   it is started again".into());
        }
        Ok(())
    })?;
    let accepted = accepted.into_inner().unwrap();
    if accepted.len() < MESSAGES / 2 {
        return Err(format!("only {} of {MESSAGES} messages were accepted", accepted.len()));
    }
    std::thread::sleep((started + FIRST_DUE + DUE_GAP * MESSAGES as u32 + STUCK).saturating_sub(world.now()));
    Ok(accepted)
}

/// Bytes that hardly compress.
pub fn body_of(n: usize) -> Vec<u8> {
    let mut state = n as u64 * 0x9E37_79B9_7F4A_7C15 + 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 32) as u8
    };
    (0..BODY_BYTES).map(|_| next()).collect()
}
