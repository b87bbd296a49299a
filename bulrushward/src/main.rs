//! The daemon of the fleet with agents: `bulrushwardd router` and `bulrushwardd agent`.

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
            eprintln!("bulrushwardd: the log did not start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let ended = run_to_end(command);
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

fn run_to_end(command: Command) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(|source| DaemonError::Runtime { source })?;
    runtime.block_on(run(command))
}
