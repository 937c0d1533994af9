//! Measures what each role costs, and writes the capacity page's figures.
use dw_scale::axes::ALL;
use dw_scale::page::{differ, fill};
use dw_scale::prelude::*;
use dw_scale::record::{NamelessSnafu, UnreadSnafu, UnwrittenSnafu};
use dw_scale::{heap::Counting, thread_time};
use gumdrop::Options;
use snafu::{OptionExt, ResultExt};
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
    #[options(help = "write the page's tables and figures in from the recorded slopes")]
    Page(PageLine),
    #[options(help = "print one table of the page, or the names of all")]
    Table(TableLine),
}

#[derive(Debug, Options)]
struct PageLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "the recorded slopes", default = "docs/measurements/capacity-slopes.json")]
    slopes: PathBuf,
    #[options(help = "the page", default = "docs/CAPACITY.md")]
    page: PathBuf,
    #[options(help = "only say whether page and slopes agree")]
    check: bool,
}

#[derive(Debug, Options)]
struct TableLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "the table's name")]
    names: Vec<String>,
    #[options(help = "the recorded slopes", default = "docs/measurements/capacity-slopes.json")]
    slopes: PathBuf,
}

#[derive(Debug, Options)]
struct RunLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "axes, put into the file that --out names; all when none is named")]
    axes: Vec<String>,
    #[options(help = "the two smallest sizes of each axis only")]
    quick: bool,
    #[options(help = "write the slopes to this file", meta = "FILE")]
    out: Option<PathBuf>,
    #[options(help = "passes of each axis; the least processor time stands", default = "2")]
    passes: u32,
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
        let mut axis = run(line.quick);
        // Real processes are measured over seconds of real time; once is enough.
        if name != "beside" {
            for _ in 1..line.passes {
                // What is left of the time goes to the axes not yet run.
                if began.elapsed().as_secs() >= line.bound * 2 / 3 {
                    break;
                }
                axis = axis.least(&run(line.quick));
            }
        }
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
        let whole = match line.axes.is_empty() {
            true => slopes,
            false => Slopes::read(path)?.with(slopes),
        };
        whole.write(path)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn page(line: &PageLine) -> Result<ExitCode, RecordError> {
    let model = Model::new(&Slopes::read(&line.slopes)?)?;
    let old = std::fs::read_to_string(&line.page).context(UnreadSnafu { path: &line.page })?;
    let new = fill(&old, &model)?;
    let Some(where_to) = differ(&old, &new) else { return Ok(ExitCode::SUCCESS) };
    if line.check {
        eprintln!("dahliawick-scale: {} differs, {where_to}\nwrite it anew with 'dahliawick-scale page'", line.page.display());
        return Ok(ExitCode::from(1));
    }
    std::fs::write(&line.page, new).context(UnwrittenSnafu { path: &line.page })?;
    Ok(ExitCode::SUCCESS)
}

fn table(line: &TableLine) -> Result<ExitCode, RecordError> {
    let model = Model::new(&Slopes::read(&line.slopes)?)?;
    for name in &line.names {
        println!("{}", model.tables.get(name.as_str()).context(NamelessSnafu { name })?);
    }
    if line.names.is_empty() {
        println!("{}", model.tables.keys().copied().collect::<Vec<_>>().join(" "));
        model.values.iter().for_each(|(k, v)| println!("{k}: {v}"));
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
        Some(Command::Page(line)) => page(&line),
        Some(Command::Table(line)) => table(&line),
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
