//! Arguments of the program.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Args, Bpaf, ParseFailure};
use bulrushward_fakes::{Addresses, EngineSettings, OnCrash};

/// Exit code after a bad argument.
const EXIT_USAGE: u8 = 2;

/// Width of help texts, in columns.
const HELP_COLUMNS: usize = 100;

/// Stand-ins for the outside systems, for tests and the demo only.
///
/// Each prints `listening address=IP:PORT admin=IP:PORT` when it is ready. Faults are set by
/// `PUT /fault`; the admin address answers also while the other does not. SIGTERM stops it after
/// the calls in progress.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) enum Command {
    /// Key-value service: the etcd v3 JSON gateway
    #[bpaf(command("key-value"))]
    KeyValue {
        #[bpaf(external)]
        addresses: ListenAddresses,
    },
    /// VM list in the Prometheus HTTP service-discovery format at `GET /list`
    #[bpaf(command("vm-list"))]
    VmList {
        #[bpaf(external)]
        addresses: ListenAddresses,
        /// File with the list, read anew for every call; without it the list is set by `PUT /list`
        #[bpaf(long("file"), argument("PATH"))]
        file: Option<PathBuf>,
    },
    /// OpenAI-style model engine
    #[bpaf(command("engine"))]
    Engine {
        #[bpaf(external)]
        addresses: ListenAddresses,
        #[bpaf(external)]
        settings: Settings,
    },
    /// Plain service that counts executions
    #[bpaf(command("plain"))]
    Plain {
        #[bpaf(external)]
        addresses: ListenAddresses,
    },
}

#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(addresses))]
pub(crate) struct ListenAddresses {
    /// Address to listen on, port 0 for a free one (default 127.0.0.1:0)
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    address: SocketAddr,
    /// Address without faults of the network, port 0 for a free one (default 127.0.0.1:0)
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    admin_address: SocketAddr,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Settings {
    /// Time between two tokens, in milliseconds (default 30)
    #[bpaf(argument("MS"), fallback(30))]
    token_ms: u64,
    /// Time that a prompt token that is not cached adds, in microseconds (default 100)
    #[bpaf(argument("US"), fallback(100))]
    prefill_us: u64,
    /// Number of tokens in an answer if the request does not say (default 16)
    #[bpaf(argument("TOKENS"), fallback(16))]
    answer_tokens: usize,
    /// Number of requests that run at once (default 32)
    #[bpaf(argument("REQUESTS"), fallback(32))]
    batch_size: usize,
    /// Number of prompt tokens in a block of the prefix cache (default 16)
    #[bpaf(argument("TOKENS"), fallback(16))]
    block_tokens: usize,
    /// Number of blocks in the prefix cache (default 4096)
    #[bpaf(argument("BLOCKS"), fallback(4096))]
    cache_blocks: usize,
    /// Age of the load that is reported, in milliseconds (default 200)
    #[bpaf(argument("MS"), fallback(200))]
    load_lag_ms: u64,
    /// Time between a change of the cache and its event, in milliseconds (default 200)
    #[bpaf(argument("MS"), fallback(200))]
    cache_event_delay_ms: u64,
    /// Leaves out every event whose number divides by this, 0 for none (default 0)
    #[bpaf(argument("EVENTS"), fallback(0))]
    cache_event_gap: u64,
    /// Carries out orders whatever their fencing number
    ignore_fencing: bool,
}

impl From<ListenAddresses> for Addresses {
    fn from(addresses: ListenAddresses) -> Self {
        Self {
            public: addresses.address,
            admin: addresses.admin_address,
        }
    }
}

impl From<Settings> for EngineSettings {
    fn from(settings: Settings) -> Self {
        Self {
            token_time: Duration::from_millis(settings.token_ms),
            prefill_time: Duration::from_micros(settings.prefill_us),
            answer_tokens: settings.answer_tokens,
            batch_size: settings.batch_size,
            block_tokens: settings.block_tokens,
            cache_blocks: settings.cache_blocks,
            load_lag: Duration::from_millis(settings.load_lag_ms),
            cache_event_delay: Duration::from_millis(settings.cache_event_delay_ms),
            cache_event_gap: settings.cache_event_gap,
            checks_fencing: !settings.ignore_fencing,
            on_crash: OnCrash::Abort,
        }
    }
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
