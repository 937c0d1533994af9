//! Cases of the review that can't be put as a day of the bench.
//! `review-stand CASE RECORD` runs one; what was sent, answered and run goes to the file RECORD.
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
mod big_bodies;
mod copy_memory;
mod fleet;
mod http;
mod route_names;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// Whether the case held its rule, and in what words.
pub struct Verdict {
    pub broken: bool,
    pub text: String,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-stand CASE RECORD, from the root of the repository");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let world = world::World::new();
    let verdict = fleet::Fleet::new(&root).and_then(|mut fleet| match case.as_str() {
        "big-bodies" => big_bodies::run(&world, &mut fleet, trouble),
        "copy-memory" => copy_memory::run(&world, &mut fleet, trouble),
        "route-names" => route_names::run(&world, &mut fleet, trouble),
        other => Err(format!("no case is named {other}")),
    });
    let (code, text) = match verdict {
        Ok(v) if v.broken => (1, format!("BROKEN: {}", v.text)),
        Ok(v) => (0, format!("held: {}", v.text)),
        Err(e) => (2, format!("could not run: {e}")),
    };
    world.note(text.clone());
    println!("{text}");
    if let Err(e) = std::fs::write(record, world.record()) {
        eprintln!("the record can't be written: {e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
