//! The command line and start of every daemon.
use crate::prelude::*;

#[derive(Debug, Default, Options)]
pub struct Flags {
    #[options(help = "show this help")]
    pub help: bool,
    #[options(help = "show the version")]
    pub version: bool,
    #[options(help = "the startup file", meta = "FILE")]
    pub startup: Option<PathBuf>,
    #[options(help = "check the startup file, say what is wrong, and end")]
    pub check: bool,
    #[options(no_short, help = "found a new fleet on empty data folders (placement only)")]
    pub bootstrap: bool,
    #[options(no_short, help = "error, warn or info", default = "info", meta = "LEVEL")]
    pub log: String,
}

/// Reads flags and startup file; `Err` is the code to end with.
pub fn open(kind: &str) -> Result<(Flags, Startup), ExitCode> {
    let flags = Flags::parse_args_default_or_exit();
    if flags.version {
        println!("dahliawick-{kind} {}", env!("CARGO_PKG_VERSION"));
        return Err(ExitCode::SUCCESS);
    }
    let fail = |e: &dyn std::fmt::Display| {
        eprintln!("dahliawick-{kind}: {e}");
        Err(ExitCode::from(78))
    };
    let Some(path) = &flags.startup else { return fail(&"name the startup file with --startup FILE") };
    let startup = match Startup::read(path) {
        Ok(s) => s,
        Err(e) => return fail(&e),
    };
    if let Err(e) = startup.check(kind) {
        return fail(&e);
    }
    if flags.check {
        println!("{}: fit to start; back in service within {} ms of a hard fault", path.display(), startup.times.budget());
        return Err(ExitCode::SUCCESS);
    }
    let level = match flags.log.as_str() {
        "error" => simplelog::LevelFilter::Error,
        "warn" => simplelog::LevelFilter::Warn,
        "info" => simplelog::LevelFilter::Info,
        other => return fail(&format!("'--log {other}' is no level; use error, warn or info")),
    };
    let config = simplelog::ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("dw_").build();
    if let Err(e) = simplelog::WriteLogger::init(level, config, std::io::stderr()) {
        return fail(&e);
    }
    Ok((flags, startup))
}

/// Runs a daemon from its flags to its end.
pub fn start<C: Core>(
    kind: &str,
    face: Face,
    known: impl FnOnce(&Startup) -> Result<Vec<Named>, StartupError>,
    make: impl FnOnce(&Startup, &Flags, &[Named], Parts) -> (C, Vec<Effect>),
) -> ExitCode {
    let (flags, startup) = match open(kind) {
        Ok(x) => x,
        Err(code) => return code,
    };
    let ran = known(&startup)
        .map_err(ShellError::from)
        .and_then(|known| run(&startup, known.clone(), face, |parts| make(&startup, &flags, &known, parts)));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            eprintln!("dahliawick-{kind}: {e}");
            ExitCode::from(1)
        }
    }
}
