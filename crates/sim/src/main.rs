//! Runs scenarios and seed sweeps.
use dw_sim::prelude::*;
use gumdrop::Options;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

#[derive(Debug, Options)]
struct Line {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(free, help = "scenario files")]
    files: Vec<String>,
    #[options(help = "sweep random schedules from this seed", meta = "SEED")]
    from: Option<u64>,
    #[options(help = "how many seeds", default = "100")]
    count: u64,
    #[options(help = "run one seed only, of the files or of the sweep", meta = "SEED")]
    seed: Option<u64>,
    #[options(help = "print everything that happens")]
    loud: bool,
    #[options(no_short, help = "lines of the trace printed for a failure", default = "60")]
    trace: usize,
    #[options(no_short, help = "read the scenario files, say what is wrong, and end")]
    check: bool,
}

fn tell(name: &str, r: &Ran, trace: usize) {
    println!("FAILED {name} seed {}", r.seed);
    for b in &r.found.broken {
        println!("  {b}");
    }
    for t in r.trace.iter().rev().take(trace).rev() {
        println!("    {t}");
    }
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    if line.version {
        println!("dahliawick-sim {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let mut jobs: Vec<(Script, u64)> = Vec::new();
    for f in &line.files {
        let text = match std::fs::read_to_string(f) {
            Ok(t) => t,
            Err(e) => {
                eprintln!("dahliawick-sim: {f}: {e}; name an existing scenario");
                return ExitCode::from(2);
            }
        };
        match parse(&text) {
            Ok(s) => match line.seed {
                Some(seed) => jobs.push((s, seed)),
                None => jobs.extend(s.all_seeds().map(|n| (s.clone(), n))),
            },
            Err(e) => {
                eprintln!("dahliawick-sim: {f}: {e}");
                return ExitCode::from(2);
            }
        }
    }
    if line.check {
        println!("{} runs; fit to run", jobs.len());
        return ExitCode::SUCCESS;
    }
    if let Some(from) = line.from {
        match line.seed {
            Some(s) => jobs.push((schedule(s), s)),
            None => jobs.extend((from..from + line.count).map(|n| (schedule(n), n))),
        }
    }
    if jobs.is_empty() {
        eprintln!("dahliawick-sim: name scenario files, or --from SEED for a sweep");
        return ExitCode::from(2);
    }
    let next = AtomicU64::new(0);
    let failed = AtomicU64::new(0);
    let sums = Mutex::new((0usize, 0usize, 0usize, Span::ZERO));
    let hands = std::thread::available_parallelism().map_or(1, usize::from).min(jobs.len());
    std::thread::scope(|s| {
        for _ in 0..hands {
            s.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some((script, seed)) = jobs.get(n) else { return };
                let r = run(script, *seed, line.loud, None);
                if let Ok(mut t) = sums.lock() {
                    t.0 += r.found.accepted;
                    t.1 += r.found.reruns;
                    t.2 += r.found.unknown;
                    t.3 = t.3.max(r.found.outage);
                    if !r.found.broken.is_empty() {
                        failed.fetch_add(1, Ordering::Relaxed);
                        tell(&script.name, &r, line.trace);
                    }
                }
            });
        }
    });
    let t = sums.lock().map(|t| *t).unwrap_or_default();
    let failed = failed.load(Ordering::Relaxed);
    println!(
        "{} runs, {failed} failed; {} accepted, {} run again, {} unknown at the end, longest outage of one key {} ms",
        jobs.len(),
        t.0,
        t.1,
        t.2,
        t.3.as_millis()
    );
    if failed > 0 {
        return ExitCode::from(1);
    }
    ExitCode::SUCCESS
}
