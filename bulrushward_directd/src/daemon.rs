//! Reads the arguments and settings, connects a router to the platform and runs it.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use bpaf::Bpaf;
use bulrushward_direct::{DirectSettings, LogStats, RouterDependencies};
use bulrushward_logging::LogQueue;
use bulrushward_platform::{PlatformHeaders, PlatformStore};
use snafu::{OptionExt, ResultExt};

use crate::error::{DaemonError, LoadSettingsError, LogSnafu, NoFileSnafu};

/// Exit code if a setting is missing or invalid.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// Router that takes callers' requests and calls registered backend servers itself
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file in TOML, read again when it changes; required
    #[bpaf(env("BULRUSHWARD_SETTINGS"), argument("PATH"))]
    settings: Option<PathBuf>,
}

/// Runs the daemon and returns the exit code of the process.
pub(crate) fn main() -> ExitCode {
    let loaded = arguments().run().load_settings();
    let (settings, path) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("bulrushward-directd: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    match run(settings, &path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushward-directd: {error}");
            ExitCode::FAILURE
        }
    }
}

impl Arguments {
    fn load_settings(self) -> Result<(DirectSettings, PathBuf), LoadSettingsError> {
        let path = self.settings.context(NoFileSnafu)?;
        let settings = DirectSettings::read(&path)?;
        bulrushward_logging::check_filter(&settings.log)?;
        Ok((settings, path))
    }
}

fn run(settings: DirectSettings, path: &Path) -> Result<(), DaemonError> {
    let log = bulrushward_logging::start_logging(&settings.log).context(LogSnafu)?;
    let dependencies = RouterDependencies {
        conventions: Arc::new(PlatformHeaders),
        store: Arc::new(PlatformStore::new(settings.store_address)),
        log: Arc::new(LogMetrics(log.queue().clone())),
    };
    bulrushward_direct::run(settings, path, dependencies)?;
    let dropped = log.queue().dropped_lines();
    if dropped > 0 {
        eprintln!("bulrushward-directd: {dropped} log lines were dropped");
    }
    Ok(())
}

/// Gives the router's metrics access to the log queue.
#[derive(Debug)]
struct LogMetrics(LogQueue);

impl LogStats for LogMetrics {
    fn dropped_lines(&self) -> u64 {
        self.0.dropped_lines()
    }
}
