//! ROUTE: a configuration gives a route's name to another host and prefix while messages of
//! the old one wait. Under every configuration that is sent, `/orders/` goes to `ledger` only.
use crate::fleet::Fleet;
use crate::world::{config, put_config, route, service, World};
use crate::Verdict;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const MESSAGES: usize = 30;
const DELAY_MS: u64 = 6000;

pub fn run(world: &Arc<World>, fleet: &mut Fleet, trouble: bool) -> Result<Verdict, String> {
    world.serve_list(fleet)?;
    for n in 0..3 {
        world.open_worker(fleet, n, "ledger", 8, Duration::from_millis(20))?;
        world.open_worker(fleet, 10 + n, "gateway", 8, Duration::from_millis(20))?;
    }
    fleet.start()?;
    let services = [service("ledger"), service("gateway")];
    // The operator's tool numbers the routes by their place in the table.
    let first = [route("r-1", "/orders/", "ledger", false), route("r-2", "/notices/", "gateway", false)];
    let next = [
        route("r-1", "/alerts/", "gateway", false),
        route("r-2", "/orders/", "ledger", false),
        route("r-3", "/notices/", "gateway", false),
    ];
    if put_config(world, fleet, 0, &config(1, &first, &services))? != 200 {
        return Err("the first configuration was not taken".into());
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(4));
    let mut orders = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("order-{n:03}");
        let delay = DELAY_MS.to_string();
        if let Some(name) = world.submit(fleet, n, &id, &format!("/orders/{n}"), &[("X-Dahliawick-Delay-Ms", &delay)]) {
            orders.push((id, name));
        }
    }
    if orders.len() < MESSAGES / 2 {
        return Err(format!("only {} of {MESSAGES} messages were accepted", orders.len()));
    }
    if trouble && put_config(world, fleet, 1, &config(2, &next, &services))? != 200 {
        return Err("the second configuration was not taken".into());
    }
    std::thread::sleep(Duration::from_millis(DELAY_MS + 6000));
    for (n, (id, name)) in orders.iter().enumerate() {
        let state = world.state(fleet, n, name);
        world.note(format!("state     {id} ({name}): {state}"));
    }
    let runs = world.runs();
    let strays: Vec<_> = runs.iter().filter(|r| r.path.starts_with("/orders/") && r.service != "ledger").collect();
    let stray_ids: BTreeSet<&str> = strays.iter().map(|r| r.id.as_str()).collect();
    let text = format!(
        "{} of {} accepted messages to /orders/ were run by a service other than ledger; {} runs in all",
        stray_ids.len(),
        orders.len(),
        runs.len()
    );
    Ok(Verdict { broken: !strays.is_empty(), text })
}
