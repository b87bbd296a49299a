//! Command-line arguments and environment variables of the daemon.

mod arguments;
mod checks;
mod conversions;

use std::process::ExitCode;

use bpaf::ParseFailure;

use self::arguments::arguments;
use crate::settings::{AgentSettings, RouterSettings};

/// Width of the help texts in columns.
const HELP_WIDTH: usize = 100;
/// Exit code for an invalid or missing setting.
const INVALID_SETTING_EXIT_CODE: u8 = 2;

/// Subcommand of the daemon with its settings and log filter.
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

/// Parses and validates the arguments of the process.
///
/// # Errors
///
/// Returns the exit code after printing the help, or after printing one line to standard error
/// that names the invalid or missing setting.
pub fn parse_arguments() -> Result<Command, ExitCode> {
    let arguments = match arguments().run_inner(bpaf::Args::current_args()) {
        Ok(arguments) => arguments,
        Err(ParseFailure::Stderr(message)) => {
            eprintln!(
                "bulrushwardd: {}",
                message.monochrome(false).trim_end().replace('\n', " ")
            );
            return Err(ExitCode::from(INVALID_SETTING_EXIT_CODE));
        }
        Err(help) => {
            help.print_message(HELP_WIDTH);
            return Err(ExitCode::SUCCESS);
        }
    };
    arguments.check().map_err(|error| {
        eprintln!("bulrushwardd: {error}");
        ExitCode::from(INVALID_SETTING_EXIT_CODE)
    })
}
