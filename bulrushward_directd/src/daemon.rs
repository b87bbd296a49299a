//! Reads arguments and settings, joins the router with the platform and runs it.

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

use crate::error::{DaemonError, LogSnafu, NoFileSnafu, StartError};

/// Exit code of a bad or missing setting.
const BAD_SETTING: u8 = 2;

/// Router that takes callers' requests and calls registered backend servers itself
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file in TOML, read again when it changes; required
    #[bpaf(env("BULRUSHWARD_SETTINGS"), argument("PATH"))]
    settings: Option<PathBuf>,
}

/// Runs the daemon and returns how it ended.
pub(crate) fn main() -> ExitCode {
    let started = arguments().run().start();
    let (settings, path) = match started {
        Ok(started) => started,
        Err(error) => {
            eprintln!("bulrushward-directd: {error}");
            return ExitCode::from(BAD_SETTING);
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
    fn start(self) -> Result<(DirectSettings, PathBuf), StartError> {
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
        log: Arc::new(Log(log.queue().clone())),
    };
    bulrushward_direct::run(settings, path, dependencies)?;
    let dropped = log.queue().dropped_lines();
    if dropped > 0 {
        eprintln!("bulrushward-directd: {dropped} lines of the log were dropped");
    }
    Ok(())
}

/// The queue of the log, as far as the router's metrics need it.
#[derive(Debug)]
struct Log(LogQueue);

impl LogStats for Log {
    fn dropped_lines(&self) -> u64 {
        self.0.dropped_lines()
    }
}
