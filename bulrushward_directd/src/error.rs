//! Errors that end the daemon.

use std::io;

use bulrushward_direct::{DirectError, SettingsError};
use bulrushward_logging::FilterError;
use snafu::Snafu;

/// Error for missing or invalid settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum LoadSettingsError {
    /// No settings file was given.
    #[snafu(display("setting --settings (BULRUSHWARD_SETTINGS) is missing"))]
    NoFile,
    /// The settings file cannot be read or holds an invalid setting.
    #[snafu(display("{source}"), context(false))]
    File { source: SettingsError },
    /// The log filter cannot be parsed.
    #[snafu(display("setting log in the settings file: {source}"), context(false))]
    Filter { source: FilterError },
}

/// Error that ends the daemon after its settings were loaded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DaemonError {
    /// Logging could not be started.
    #[snafu(display("logging could not be started: {source}"))]
    Log { source: io::Error },
    /// The router could not be started.
    #[snafu(display("{source}"), context(false))]
    Router { source: DirectError },
}
