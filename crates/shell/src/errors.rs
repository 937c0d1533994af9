//! Why a daemon can't start or run.
use crate::startup::StartupError;
use dw_disk::prelude::DiskError;
use snafu::Snafu;

/// Why a daemon can't start or run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ShellError {
    #[snafu(display("{source}"), context(false))]
    Startup { source: StartupError },
    #[snafu(display("{source}"), context(false))]
    Disk { source: DiskError },
    #[snafu(display("'{addr}' can't be listened on: {source}; is another process there?"))]
    Listen { addr: String, source: std::io::Error },
    #[snafu(display("'{addr}' can't serve HTTP: {why}; is another process there?"))]
    Http { addr: String, why: String },
    #[snafu(display("a thread could not be started: {source}"))]
    Thread { source: std::io::Error },
}
