//! Command line of the program.

use std::{
    fmt::Display, net::SocketAddr, path::PathBuf, process::ExitCode, str::FromStr, time::Duration,
};

use bpaf::{Args, Bpaf, ParseFailure, Parser, construct, pure};
use bulrushward_fakes::{Addresses, EngineSettings, OnCrash};

/// Exit code for an invalid argument.
const EXIT_USAGE: u8 = 2;

/// Width of help texts, in columns.
const HELP_COLUMNS: usize = 100;

/// Test doubles of external systems, for tests and the demo only.
///
/// Each prints `listening address=IP:PORT admin=IP:PORT` when it is ready. Faults are set by
/// `PUT /fault`; the admin address responds even while the public address does not. SIGTERM stops
/// the process once the calls in progress have completed.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) enum Command {
    /// Key-value service with the etcd v3 JSON gateway
    #[bpaf(command("key-value"))]
    KeyValue {
        #[bpaf(external)]
        addresses: Addresses,
    },
    /// VM list in the Prometheus HTTP service-discovery format at `GET /list`
    #[bpaf(command("vm-list"))]
    VmList {
        #[bpaf(external)]
        addresses: Addresses,
        /// File with the list, read again for every call; without it the list is set by `PUT /list`
        #[bpaf(long("file"), env("BULRUSHWARD_FAKES_FILE"), argument("PATH"))]
        file: Option<PathBuf>,
    },
    /// Model engine with an OpenAI-style API
    #[bpaf(command("engine"))]
    Engine {
        #[bpaf(external)]
        addresses: Addresses,
        #[bpaf(external(engine_settings))]
        settings: EngineSettings,
    },
    /// Plain service that counts how often each action is executed
    #[bpaf(command("plain"))]
    Plain {
        #[bpaf(external)]
        addresses: Addresses,
    },
}

fn addresses() -> impl Parser<Addresses> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let public = setting("address", "BULRUSHWARD_FAKES_ADDRESS", "IP:PORT", free)
        .help("Public address to listen on; port 0 picks a free port");
    let admin = setting(
        "admin-address",
        "BULRUSHWARD_FAKES_ADMIN_ADDRESS",
        "IP:PORT",
        free,
    )
    .help("Admin address, not affected by network faults; port 0 picks a free port");
    let (public, admin) = (public.parser(), admin.parser());
    construct!(Addresses { public, admin })
}

fn engine_settings() -> impl Parser<EngineSettings> {
    let token_time = setting("token-ms", "BULRUSHWARD_FAKES_TOKEN_MS", "MS", 30)
        .help("Time between two tokens, in milliseconds")
        .parser()
        .map(Duration::from_millis);
    let prefill_time = setting("prefill-us", "BULRUSHWARD_FAKES_PREFILL_US", "US", 100)
        .help("Prefill time per uncached prompt token, in microseconds")
        .parser()
        .map(Duration::from_micros);
    let default_completion_tokens = setting(
        "answer-tokens",
        "BULRUSHWARD_FAKES_ANSWER_TOKENS",
        "TOKENS",
        16,
    )
    .help("Number of tokens in a completion if the request sets no maximum")
    .parser();
    let batch_size = setting("batch-size", "BULRUSHWARD_FAKES_BATCH_SIZE", "REQUESTS", 32)
        .help("Maximum number of requests that run at once")
        .parser();
    let block_tokens = setting(
        "block-tokens",
        "BULRUSHWARD_FAKES_BLOCK_TOKENS",
        "TOKENS",
        16,
    )
    .help("Number of prompt tokens in a block of the prefix cache")
    .parser();
    let cache_blocks = setting(
        "cache-blocks",
        "BULRUSHWARD_FAKES_CACHE_BLOCKS",
        "BLOCKS",
        4096,
    )
    .help("Number of blocks in the prefix cache")
    .parser();
    let load_lag = setting("load-lag-ms", "BULRUSHWARD_FAKES_LOAD_LAG_MS", "MS", 200)
        .help("Delay with which the load is reported, in milliseconds")
        .parser()
        .map(Duration::from_millis);
    let cache_event_delay = setting(
        "cache-event-delay-ms",
        "BULRUSHWARD_FAKES_CACHE_EVENT_DELAY_MS",
        "MS",
        200,
    )
    .help("Delay between a cache change and its event, in milliseconds")
    .parser()
    .map(Duration::from_millis);
    let cache_event_gap = setting(
        "cache-event-gap",
        "BULRUSHWARD_FAKES_CACHE_EVENT_GAP",
        "EVENTS",
        0,
    )
    .help("Drops every event whose number is a multiple of this; 0 drops none")
    .parser();
    let checks_fencing = setting(
        "check-fencing",
        "BULRUSHWARD_FAKES_CHECK_FENCING",
        "true|false",
        true,
    )
    .help("Rejects orders with an outdated fencing token")
    .parser();
    let on_crash = pure(OnCrash::Abort);
    construct!(EngineSettings {
        token_time,
        prefill_time,
        default_completion_tokens,
        batch_size,
        block_tokens,
        cache_blocks,
        load_lag,
        cache_event_delay,
        cache_event_gap,
        checks_fencing,
        on_crash,
    })
}

/// Setting that is read from a flag or an environment variable.
struct Setting<T> {
    name: &'static str,
    variable: &'static str,
    unit: &'static str,
    default: T,
    help: &'static str,
}

fn setting<T>(
    name: &'static str,
    variable: &'static str,
    unit: &'static str,
    default: T,
) -> Setting<T> {
    Setting {
        name,
        variable,
        unit,
        default,
        help: "",
    }
}

impl<T> Setting<T>
where
    T: Clone + Display + FromStr + 'static,
{
    fn help(self, help: &'static str) -> Self {
        Self { help, ..self }
    }

    /// Returns a parser whose error messages name the flag, the environment variable and the value.
    fn parser(self) -> impl Parser<T> {
        let Self {
            name,
            variable,
            unit,
            default,
            help,
        } = self;
        let argument = bpaf::long(name)
            .env(variable)
            .help(help)
            .argument::<String>(unit);
        let value = argument.parse(move |text| {
            let expected = format!("--{name} (or {variable}) is {text:?} and should be {unit}");
            text.parse().map_err(|_not_parsed: T::Err| expected)
        });
        value.fallback(default).display_fallback()
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns the exit code after the help was printed or an argument was rejected.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| match failure {
            ParseFailure::Stderr(message) => {
                let text = message.monochrome(false);
                // bpaf wraps long messages; the program prints each error on a single line.
                let words: Vec<&str> = text.split_whitespace().collect();
                eprintln!("bulrushward-fakes: {}", words.join(" "));
                ExitCode::from(EXIT_USAGE)
            }
            other => {
                other.print_message(HELP_COLUMNS);
                ExitCode::SUCCESS
            }
        })
}
