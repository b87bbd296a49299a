//! The daemon of the fleet: `bulrushwardd router`, `bulrushwardd agent` and `bulrushwardd direct`.

use std::{process::ExitCode, sync::Arc};

use bulrushward::{Command, DaemonError, LogQueue, parse_arguments, run};
use bulrushward_direct::{LogState, Surroundings};
use bulrushward_platform::{PlatformHeaders, PlatformStore};

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    let log = match bulrushward::start_logging(command.log_filter()) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("bulrushwardd: the log did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = run_to_end(command, log.queue());
    let dropped = log.queue().dropped_lines();
    if dropped > 0 {
        eprintln!("bulrushwardd: {dropped} lines of the log were dropped");
    }
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushwardd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_end(command: Command, log: &LogQueue) -> Result<(), DaemonError> {
    if let Command::Direct(settings, path) = command {
        let surroundings = Surroundings {
            dialect: Arc::new(PlatformHeaders),
            store: Arc::new(PlatformStore::new(settings.store_address)),
            log: Arc::new(log.clone()),
        };
        return bulrushward_direct::run(*settings, &path, surroundings).map_err(DaemonError::from);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    runtime.block_on(run(command))
}
