//! The command line and environment of the daemon.

mod arguments;
mod checks;
mod conversions;

use std::process::ExitCode;

use bpaf::ParseFailure;

use self::arguments::arguments;
use crate::settings::{AgentSettings, RouterSettings};

/// Columns of the help texts.
const HELP_WIDTH: usize = 100;
/// Exit code of a bad or missing setting.
const BAD_SETTING: u8 = 2;

/// What the daemon is asked to be.
#[derive(Clone, Debug)]
pub enum Command {
    /// A router, with its log filter.
    Router(Box<RouterSettings>, String),
    /// An agent, with its log filter.
    Agent(Box<AgentSettings>, String),
}

impl Command {
    /// Returns the log filter.
    #[must_use]
    pub fn log_filter(&self) -> &str {
        match self {
            Self::Router(_, filter) | Self::Agent(_, filter) => filter,
        }
    }
}

/// Parses and checks the arguments of the process.
///
/// # Errors
///
/// Returns the exit code after the help was printed, or after one line on standard error that
/// names the bad or missing setting.
pub fn parse_arguments() -> Result<Command, ExitCode> {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(ParseFailure::Stderr(message)) => {
            eprintln!(
                "bulrushwardd: {}",
                message.monochrome(false).trim_end().replace('\n', " ")
            );
            return Err(ExitCode::from(BAD_SETTING));
        }
        Err(help) => {
            help.print_message(HELP_WIDTH);
            return Err(ExitCode::SUCCESS);
        }
    };
    arguments.check().map_err(|error| {
        eprintln!("bulrushwardd: {error}");
        ExitCode::from(BAD_SETTING)
    })
}
