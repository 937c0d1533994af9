//! Errors that keep a daemon from starting or running.
use crate::startup::StartupError;
use dw_disk::prelude::DiskError;
use snafu::Snafu;

/// An error that keeps a daemon from starting or running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ShellError {
    #[snafu(display("{source}"), context(false))]
    Startup { source: StartupError },
    #[snafu(display("{source}"), context(false))]
    Disk { source: DiskError },
    #[snafu(display("cannot listen on '{addr}': {source}; is another process using it?"))]
    Listen { addr: String, source: std::io::Error },
    #[snafu(display("cannot serve HTTP on '{addr}': {why}; is another process using it?"))]
    Http { addr: String, why: String },
    #[snafu(display("cannot start a thread: {source}"))]
    Thread { source: std::io::Error },
}
