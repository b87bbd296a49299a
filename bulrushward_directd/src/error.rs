//! Errors that end the daemon.

use std::io;

use bulrushward_direct::{DirectError, SettingsError};
use bulrushward_logging::FilterError;
use snafu::Snafu;

/// Why the settings were not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum StartError {
    /// No file was named.
    #[snafu(display("setting --settings (BULRUSHWARD_SETTINGS) is missing"))]
    NoFile,
    /// The file is not accepted.
    #[snafu(display("{source}"), context(false))]
    File { source: SettingsError },
    /// The filter of the log makes no sense.
    #[snafu(display("setting log of the settings file: {source}"), context(false))]
    Filter { source: FilterError },
}

/// Why the daemon could not go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// The log did not start.
    #[snafu(display("the log did not start: {source}"))]
    Log { source: io::Error },
    /// The router did not start.
    #[snafu(display("{source}"), context(false))]
    Router { source: DirectError },
}
