//! Measures what each role costs, and writes the capacity page's figures.
use dw_scale::axes::ALL;
use dw_scale::prelude::*;
use dw_scale::{heap::Counting, thread_time};
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

#[global_allocator]
static HEAP: Counting = Counting;

#[derive(Debug, Options)]
struct Line {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "measure along every axis, or some")]
    Run(RunLine),
}

#[derive(Debug, Options)]
struct RunLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "axes; all when none is named")]
    axes: Vec<String>,
    #[options(help = "the two smallest sizes of each axis only")]
    quick: bool,
    #[options(help = "write the slopes to this file", meta = "FILE")]
    out: Option<PathBuf>,
    #[options(no_short, help = "no axis begins after so many seconds", default = "170")]
    bound: u64,
    #[options(no_short, help = "the day to record", meta = "YYYY-MM-DD", default = "")]
    made: String,
}

fn measure(line: &RunLine) -> Result<ExitCode, RecordError> {
    let began = Instant::now();
    let mut axes = Vec::new();
    let mut resident = 0;
    for (name, run) in ALL {
        if !line.axes.is_empty() && !line.axes.iter().any(|a| a == name) {
            continue;
        }
        if began.elapsed().as_secs() >= line.bound {
            eprintln!("dahliawick-scale: {name} left out, {} s are over; name fewer axes or raise --bound", line.bound);
            continue;
        }
        let since = Instant::now();
        let axis = run(line.quick);
        resident = resident.max(thread_time::resident());
        eprintln!("{name}: {:.1} s", since.elapsed().as_secs_f64());
        show(&axis);
        axes.push(axis);
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let slopes = Slopes {
        made: line.made.clone(),
        machine: format!("one of {cores} cores, {}", if cfg!(debug_assertions) { "debug build" } else { "release build" }),
        command: "cargo run --release --locked -p dw-scale -- run --out docs/measurements/capacity-slopes.json".into(),
        resident_mb: (resident as f64 / 1e6).round(),
        seconds: began.elapsed().as_secs_f64().round(),
        axes,
    };
    eprintln!("{} s, {} MB resident after the largest axis", slopes.seconds, slopes.resident_mb);
    if let Some(path) = &line.out {
        slopes.write(path)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn show(axis: &Axis) {
    println!("{} ({}; {})", axis.name, axis.along, axis.held);
    for f in &axis.figures {
        let points: Vec<String> = f.points.iter().map(|(x, y)| format!("{x}:{y}")).collect();
        println!(
            "  {:<55} {:?} a={:.4e} b={:.4e} residual {:.1}%  {}",
            f.name,
            f.fit.form,
            f.fit.a,
            f.fit.b,
            f.fit.residual * 100.0,
            points.join(" ")
        );
    }
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    let done = match line.command {
        Some(Command::Run(run)) => measure(&run),
        None => Ok(ExitCode::SUCCESS),
    };
    match done {
        Ok(code) => code,
        Err(e) => {
            eprintln!("dahliawick-scale: {e}");
            ExitCode::from(2)
        }
    }
}
