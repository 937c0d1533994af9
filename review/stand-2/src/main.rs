//! The scripts of the second review: `stand-2 CASE FOLDER`.
mod budget;
mod callback_url;
mod fleet;
mod founding;
mod http;
mod last_route;
mod split_route;
mod upload;
mod world;

use fleet::{Fleet, Record};
use std::path::PathBuf;
use std::time::Duration;

/// How a case ended: the exit status of its script.
#[derive(Clone, Copy, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Applies the first configuration and waits until every edge is ready.
pub fn begin(fleet: &Fleet, record: &Record, config: &str) -> bool {
    let answer = fleet.operate("PUT", "/api/config", Some(0), config, Duration::from_secs(15));
    let taken = answer.as_ref().is_some_and(|a| a.status == 200);
    record.tell(format!("the first configuration: {:?}", answer.map(|a| a.status)));
    let ready = taken && fleet.wait_ready(Duration::from_secs(15));
    record.tell(format!("every edge is ready: {ready}"));
    ready
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), PathBuf::from(args.next().unwrap_or(".".into())));
    let verdict = match case.as_str() {
        "budget" => budget::run(&folder),
        "upload" => upload::run(&folder),
        "callback-url" => callback_url::run(&folder),
        "split-route" => split_route::run(&folder),
        "last-route" => last_route::run(&folder),
        "founding" => founding::run(&folder),
        _ => Verdict::CouldNotRun,
    };
    std::process::exit(verdict as i32);
}
