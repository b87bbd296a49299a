//! The daemon of the fleet: `bulrushwardd router`, `bulrushwardd agent` and `bulrushwardd direct`.

use std::{process::ExitCode, sync::Arc};

use bulrushward::{Command, DaemonError, parse_arguments, run};
use bulrushward_platform::{PlatformHeaders, PlatformStore};

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    let log = bulrushward::start_logging(command.log_filter());
    let ended = run_to_end(command);
    if log.dropped_lines() > 0 {
        eprintln!(
            "bulrushwardd: {} lines of the log were dropped",
            log.dropped_lines()
        );
    }
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushwardd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_end(command: Command) -> Result<(), DaemonError> {
    if let Command::Direct(settings, path) = command {
        let store = Arc::new(PlatformStore::new(settings.store_address));
        let dialect = Arc::new(PlatformHeaders);
        return bulrushward_direct::run(*settings, &path, dialect, store)
            .map_err(DaemonError::from);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    runtime.block_on(run(command))
}
