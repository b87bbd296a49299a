//! Arguments of the program.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Args, Bpaf, ParseFailure, Parser};
use bulrushward_fakes::EngineSettings;

/// Exit code after a bad argument.
const EXIT_USAGE: u8 = 2;

/// Width of help texts, in columns.
const HELP_COLUMNS: usize = 100;

/// Stand-ins for the outside systems, for tests and the demo only.
///
/// Each prints `listening address=IP:PORT` when it is ready, and stops on SIGTERM after the calls
/// in progress.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) enum Command {
    /// Key-value service: the etcd v3 JSON gateway
    #[bpaf(command("key-value"))]
    KeyValue {
        #[bpaf(external)]
        address: SocketAddr,
    },
    /// VM list in the Prometheus HTTP service-discovery format at `GET /list`
    #[bpaf(command("vm-list"))]
    VmList {
        #[bpaf(external)]
        address: SocketAddr,
        /// File with the list, read anew for every call; without it the list is set by `PUT /list`
        #[bpaf(long("file"), argument("PATH"))]
        file: Option<PathBuf>,
    },
    /// OpenAI-style model engine
    #[bpaf(command("engine"))]
    Engine {
        #[bpaf(external)]
        address: SocketAddr,
        #[bpaf(external)]
        settings: Settings,
    },
    /// Plain service that counts executions
    #[bpaf(command("plain"))]
    Plain {
        #[bpaf(external)]
        address: SocketAddr,
    },
}

/// Settings of an engine.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Settings {
    /// Time between two tokens, in milliseconds (default 30)
    #[bpaf(argument("MS"), fallback(30))]
    token_ms: u64,
    /// Number of tokens in an answer if the request does not say (default 16)
    #[bpaf(argument("TOKENS"), fallback(16))]
    answer_tokens: usize,
}

impl From<Settings> for EngineSettings {
    fn from(settings: Settings) -> Self {
        Self {
            token_time: Duration::from_millis(settings.token_ms),
            answer_tokens: settings.answer_tokens,
        }
    }
}

fn address() -> impl Parser<SocketAddr> {
    bpaf::long("address")
        .help("Address to listen on, port 0 for a free one (default 127.0.0.1:0)")
        .argument("IP:PORT")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Parses the arguments.
///
/// # Errors
///
/// Returns the exit code after help was printed or an argument was refused.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| {
            failure.print_message(HELP_COLUMNS);
            match failure {
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
                ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
            }
        })
}
