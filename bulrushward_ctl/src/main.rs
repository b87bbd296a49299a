//! `bulrushctl`, the command-line tool for operators.

mod cli;
mod client;
mod commands;
mod error;
mod output;
mod source;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use mimalloc::MiMalloc;

use crate::{cli::options, commands::run, error::CtlError, output::CommandOutput};

#[global_allocator]
static GLOBAL: MiMalloc = MiMalloc;

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code for an invalid or missing setting.
const BAD_SETTING: u8 = 2;

fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(ParseFailure::Stdout(help, full)) => {
            return output::print(&help.monochrome(full));
        }
        Err(ParseFailure::Completion(text)) => return output::print(&text),
        Err(ParseFailure::Stderr(message)) => {
            return fail(&message.monochrome(true), BAD_SETTING);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            return fail(
                &format!("the runtime could not be started: {error}"),
                FAILED,
            );
        }
    };
    match runtime.block_on(run(command)) {
        Ok(CommandOutput { stdout, failure }) => {
            let printed = output::print(&stdout);
            failure.map_or(printed, |failure| fail(&failure, FAILED))
        }
        Err(error @ CtlError::Setting { .. }) => fail(&error.to_string(), BAD_SETTING),
        Err(error) => fail(&error.to_string(), FAILED),
    }
}

/// Prints an error as a single line on standard error.
fn fail(message: &str, code: u8) -> ExitCode {
    let words: Vec<_> = message.split_whitespace().collect();
    eprintln!("bulrushctl: {}", words.join(" "));
    ExitCode::from(code)
}
