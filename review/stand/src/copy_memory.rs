//! LOST: a store that lost its disk copies a partition whole in memory. If the partition is large
//! it goes over its memory, and is killed and started again without end. When another store loses
//! its disk some seconds later, so does that one, and the partition never has two copies again.
use crate::big_bodies::body_of;
use crate::fleet::{Fleet, STORAGE_MEMORY_MB};
use crate::http::{send, Request};
use crate::world::{config, put_config, route, service, World};
use crate::Verdict;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// 480 bodies of 255,000 bytes are 122 MB; a store's own bound for bodies is 134 MB.
const MESSAGES: usize = 480;
const GAP: Duration = Duration::from_millis(45);
const DELAY_MS: u64 = 40_000;
/// How long a machine is down that loses its disk.
const DOWN: Duration = Duration::from_millis(1500);
/// From the return of the first machine to the loss of the second; `syncTimeS` is 4.5.
const BETWEEN: Duration = Duration::from_secs(10);
/// The platform starts a process again after this.
const RESTART: Duration = Duration::from_millis(300);

/// Waits, and meanwhile kills and starts again what goes over its memory, as the platform does.
/// Adds to `kills` how often that was, by the number of the storage machine.
fn wait(world: &World, fleet: &mut Fleet, time: Duration, kills: &mut [u32; 3]) -> Result<(), String> {
    let end = world.now() + time;
    while world.now() < end {
        for (machine, n) in fleet.all("store").into_iter().enumerate() {
            let Some(peak) = fleet.peak_memory_mb(n).filter(|mb| *mb > STORAGE_MEMORY_MB) else { continue };
            world.note(format!("platform  {} used {peak} MB of {STORAGE_MEMORY_MB}, is killed and started again", fleet.name(n)));
            fleet.stop(n);
            std::thread::sleep(RESTART);
            fleet.restart(n)?;
            kills[machine] += 1;
        }
        std::thread::sleep(Duration::from_millis(3));
    }
    Ok(())
}

/// A storage machine loses its disk and comes back with an empty one.
fn lose_disk(world: &World, fleet: &mut Fleet, machine: usize, kills: &mut [u32; 3]) -> Result<(), String> {
    let store = fleet.all("store")[machine];
    world.note(format!("trouble   the machine of {} loses its disk", fleet.name(store)));
    let processes = fleet.machine_of(store);
    for n in &processes {
        fleet.stop(*n);
    }
    for n in &processes {
        fleet.wipe(*n)?;
    }
    wait(world, fleet, DOWN, kills)?;
    for n in &processes {
        fleet.restart(*n)?;
    }
    world.note("trouble   it is back with an empty disk".into());
    Ok(())
}

pub fn run(world: &Arc<World>, fleet: &mut Fleet, trouble: bool) -> Result<Verdict, String> {
    world.serve_list(fleet)?;
    for n in 0..8 {
        world.open_worker(fleet, n, "remit-book", 2, Duration::from_millis(5))?;
    }
    fleet.start()?;
    let routes = [route("r-remit", "/remit/", "remit-book", true)];
    if put_config(world, fleet, 0, &config(1, &routes, &[service("remit-book")]))? != 200 {
        return Err("the configuration was not taken".into());
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(3));
    let accepted: Mutex<Vec<(String, String)>> = Mutex::default();
    std::thread::scope(|scope| {
        for n in 0..MESSAGES {
            let (world, front, accepted) = (world.clone(), fleet.front(n), &accepted);
            scope.spawn(move || {
                std::thread::sleep(GAP * n as u32);
                let id = format!("remit-{n:03}");
                let delay = DELAY_MS.to_string();
                let extra = [("X-Dahliawick-Delay-Ms", delay.as_str()), ("X-Dahliawick-Order-Key", "supplier-17")];
                if let Some(name) = world.submit_to(&front, &id, &format!("/remit/{n}"), &extra, &body_of(n)) {
                    accepted.lock().unwrap().push((id, name));
                }
            });
        }
    });
    let sent = world.now();
    let accepted = accepted.into_inner().unwrap();
    if accepted.len() < MESSAGES / 2 {
        return Err(format!("only {} of {MESSAGES} messages were accepted", accepted.len()));
    }
    let mut kills = [0; 3];
    let mut losses = 0;
    if trouble {
        lose_disk(world, fleet, 2, &mut kills)?;
        losses += 1;
        wait(world, fleet, BETWEEN, &mut kills)?;
        lose_disk(world, fleet, 0, &mut kills)?;
        losses += 1;
    }
    let due = sent + Duration::from_millis(DELAY_MS) + Duration::from_secs(8);
    let left = due.saturating_sub(world.now());
    wait(world, fleet, left, &mut kills)?;
    let runs = world.runs();
    let run: BTreeSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
    let never_run = accepted.iter().filter(|(id, _)| !run.contains(id.as_str()));
    let mut open = 0;
    for (n, (id, name)) in never_run.enumerate() {
        open += 1;
        if n % 200 == 0 {
            let state = world.state(fleet, n, name);
            let request = Request::new("GET", &format!("/api/message-body/{name}")).with("Host", "records.example");
            let body = send(&fleet.front(n), &request, Duration::from_secs(2)).map_or(0, |r| r.status);
            world.note(format!("state     {id} ({name}): {state}, body {body}; no worker ever had it"));
        }
    }
    let last = runs.iter().map(|r| r.at).max().unwrap_or_default();
    let text = format!(
        "{open} of {} accepted messages were never sent to a worker, 8 s after the last of them was due; the last run of any message began at {:.1} s of {:.1} s; {losses} disks were lost; the three stores were killed {kills:?} times for their memory",
        accepted.len(),
        last.as_secs_f64(),
        world.now().as_secs_f64()
    );
    Ok(Verdict { broken: open > 0, text })
}
