//! The `bulrushwardd` daemon, which runs as a router or as an agent.

use std::process::ExitCode;

use bulrushward::{Command, DaemonError, parse_arguments, run};

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    let log = match bulrushward_logging::start_logging(command.log_filter()) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("bulrushwardd: logging could not be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = run_until_stopped(command);
    let dropped = log.queue().dropped_lines();
    if dropped > 0 {
        eprintln!("bulrushwardd: {dropped} log lines were dropped");
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushwardd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_until_stopped(command: Command) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    runtime.block_on(run(command))
}
