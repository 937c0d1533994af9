//! LOST: a storage machine is killed while accepted messages with large bodies wait for their
//! delay. Afterwards they stay pending, though workers are free.
use crate::fleet::{Fleet, ZONES};
use crate::world::{config, put_config, route, service, World};
use crate::Verdict;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MESSAGES: usize = 72;
/// Within `limits.maxBodyBytes` (262,144) of the configuration.
const BODY_BYTES: usize = 255_000;
/// Between two messages: about 1.3 MB/s, less than the bytes of the site's own traffic.
const GAP: Duration = Duration::from_millis(200);
/// From the start until the first message is due.
const FIRST_DUE: Duration = Duration::from_secs(20);
/// Between the times at which two messages are due.
const DUE_GAP: Duration = Duration::from_millis(15);
/// How long the storage machine is down.
const DOWN: Duration = Duration::from_millis(2500);
/// From the return of the machine to the check.
const CALM: Duration = Duration::from_secs(30);

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
    let accepted: Mutex<Vec<(String, String)>> = Mutex::default();
    let started = world.now();
    let front = fleet.front(0);
    std::thread::scope(|scope| -> Result<(), String> {
        for n in 0..MESSAGES {
            let (world, front, accepted) = (world.clone(), front.clone(), &accepted);
            scope.spawn(move || {
                std::thread::sleep(GAP * n as u32);
                let id = format!("journal-{n:03}");
                let due = started + FIRST_DUE + DUE_GAP * n as u32;
                let delay = due.saturating_sub(world.now()).as_millis().to_string();
                let body = body_of(n);
                if let Some(name) = world.submit_to(&front, &id, &format!("/journal/{n}"), &[("X-Dahliawick-Delay-Ms", &delay)], &body) {
                    accepted.lock().unwrap().push((id, name));
                }
            });
        }
        if trouble {
            // Just before the first message is due.
            std::thread::sleep((started + FIRST_DUE).saturating_sub(world.now()).saturating_sub(Duration::from_millis(200)));
            let store = fleet.all("store")[0];
            let machine = fleet.machine_of(store);
            world.note(format!("trouble   the storage machine in {} is killed for {} ms", ZONES[0], DOWN.as_millis()));
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
    // All messages are due by then, and the machine is back.
    std::thread::sleep((started + FIRST_DUE + DUE_GAP * MESSAGES as u32).saturating_sub(world.now()));
    std::thread::sleep(CALM);
    let runs = world.runs();
    let run: BTreeSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    let mut pending = 0;
    for (id, name) in &accepted {
        let state = world.state(fleet, 1, name);
        let was_run = run.contains(id.as_str());
        pending += usize::from(!was_run && !state.contains("complete"));
        world.note(format!("state     {id} ({name}): {state}{}", if was_run { "" } else { " and no worker ever had it" }));
    }
    let last = runs.iter().map(|r| r.at).max().unwrap_or_default();
    let text = format!(
        "{pending} of {} accepted messages were never sent to a worker, {:.0} s after the last of them was due; the last run of any message began at {:.1} s",
        accepted.len(),
        CALM.as_secs_f64(),
        last.as_secs_f64()
    );
    Ok(Verdict { broken: pending > 0, text })
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
