//! The daemon of the fleet: `bulrushwardd router` and `bulrushwardd agent`.

use std::process::ExitCode;

use bulrushward::{Command, parse_arguments, run};
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let command = match parse_arguments() {
        Ok(command) => command,
        Err(exit) => return exit,
    };
    bulrushward::start_logging(command.log_filter());
    match run_to_end(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushwardd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_to_end(command: Command) -> Result<(), bulrushward::DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()
        .map_err(|source| bulrushward::DaemonError::Runtime { source })?;
    runtime.block_on(run(command))
}
