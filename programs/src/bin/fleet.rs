//! Runs a whole house on one machine, for trials and tests.
use dahliawick::fleet::prelude::*;

#[derive(Debug, Options)]
struct Line {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(help = "kharita or kowhai", default = "kharita")]
    house: String,
    #[options(no_short, help = "the samples folder", default = "samples")]
    samples: PathBuf,
    #[options(help = "where to keep this run's files; must not exist", meta = "DIR")]
    dir: Option<PathBuf>,
    #[options(no_short, help = "edge machines, 1 to 7", default = "7")]
    edges: usize,
    #[options(no_short, help = "workers of each service at most", default = "50")]
    workers: usize,
    #[options(help = "seconds of load", default = "20")]
    seconds: u64,
    #[options(help = "messages a second", default = "100")]
    rate: f64,
    #[options(no_short, help = "one bulk message in so many can never succeed; 0 for none", default = "0")]
    poison: u64,
    #[options(help = "faults, as in kill:store-1@5+3,freeze:primary@12+4", default = "")]
    faults: String,
    #[options(no_short, help = "leave the fleet up until ctrl-c")]
    stay: bool,
    #[options(no_short, help = "check the line and the samples, and end")]
    check: bool,
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    if line.version {
        println!("dahliawick-fleet {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let fail = |e: String| {
        eprintln!("dahliawick-fleet: {e}");
        ExitCode::from(2)
    };
    let faults = match parse_faults(&line.faults) {
        Ok(f) => f,
        Err(e) => return fail(e),
    };
    let keep = line.dir.is_some();
    let dir = line.dir.unwrap_or_else(|| std::env::temp_dir().join(format!("dahliawick-fleet-{}", std::process::id())));
    if dir.exists() {
        return fail(format!("{} exists; name a new folder with --dir", dir.display()));
    }
    if !line.samples.join(&line.house).join("charter.json").is_file() {
        return fail(format!("no house '{}' in {}; use kharita or kowhai", line.house, line.samples.display()));
    }
    if line.check {
        println!("{} faults; fit to run", faults.len());
        return ExitCode::SUCCESS;
    }
    let plan = Plan {
        house: line.house,
        samples: line.samples,
        dir: dir.clone(),
        edges: line.edges.clamp(1, 7),
        workers: line.workers.max(1),
        seconds: line.seconds,
        rate: line.rate.max(1.0),
        poison: line.poison,
        faults,
        stay: line.stay,
    };
    let Ok(rt) = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() else {
        return ExitCode::from(1);
    };
    let (code, good) = match rt.block_on(run(plan)) {
        Ok((mut figures, good)) => {
            for p in figures["processes"].as_array_mut().into_iter().flatten() {
                println!("{}", serde_json::to_string(p).unwrap_or_default());
            }
            if let Some(f) = figures.as_object_mut() {
                f.remove("processes");
            }
            println!("{}", serde_json::to_string_pretty(&figures).unwrap_or_default());
            println!("{}", if good { "no rule was broken" } else { "RULES WERE BROKEN, or something was left open" });
            (if good { ExitCode::SUCCESS } else { ExitCode::from(1) }, good)
        }
        Err(e) => (fail(e), false),
    };
    if good && !keep {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("logs and data: {}", dir.display());
    }
    code
}
