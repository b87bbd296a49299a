//! Arguments of the program.

use std::{
    fmt::Display, net::SocketAddr, path::PathBuf, process::ExitCode, str::FromStr, time::Duration,
};

use bpaf::{Args, Bpaf, ParseFailure, Parser, construct, pure};
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
        addresses: Addresses,
    },
    /// VM list in the Prometheus HTTP service-discovery format at `GET /list`
    #[bpaf(command("vm-list"))]
    VmList {
        #[bpaf(external)]
        addresses: Addresses,
        /// File with the list, read anew for every call; without it the list is set by `PUT /list`
        #[bpaf(long("file"), env("BULRUSHWARD_FAKES_FILE"), argument("PATH"))]
        file: Option<PathBuf>,
    },
    /// OpenAI-style model engine
    #[bpaf(command("engine"))]
    Engine {
        #[bpaf(external)]
        addresses: Addresses,
        #[bpaf(external(engine_settings))]
        settings: EngineSettings,
    },
    /// Plain service that counts executions
    #[bpaf(command("plain"))]
    Plain {
        #[bpaf(external)]
        addresses: Addresses,
    },
}

fn addresses() -> impl Parser<Addresses> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let public = setting("address", "BULRUSHWARD_FAKES_ADDRESS", "IP:PORT", free)
        .help("Address to listen on, port 0 for a free one");
    let admin = setting(
        "admin-address",
        "BULRUSHWARD_FAKES_ADMIN_ADDRESS",
        "IP:PORT",
        free,
    )
    .help("Address without faults of the network, port 0 for a free one");
    let (public, admin) = (public.parser(), admin.parser());
    construct!(Addresses { public, admin })
}

fn engine_settings() -> impl Parser<EngineSettings> {
    let token_time = setting("token-ms", "BULRUSHWARD_FAKES_TOKEN_MS", "MS", 30)
        .help("Time between two tokens, in milliseconds")
        .parser()
        .map(Duration::from_millis);
    let prefill_time = setting("prefill-us", "BULRUSHWARD_FAKES_PREFILL_US", "US", 100)
        .help("Time that a prompt token that is not cached adds, in microseconds")
        .parser()
        .map(Duration::from_micros);
    let default_completion_tokens = setting(
        "answer-tokens",
        "BULRUSHWARD_FAKES_ANSWER_TOKENS",
        "TOKENS",
        16,
    )
    .help("Number of tokens in an answer if the request does not say")
    .parser();
    let batch_size = setting("batch-size", "BULRUSHWARD_FAKES_BATCH_SIZE", "REQUESTS", 32)
        .help("Number of requests that run at once")
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
        .help("Age of the load that is reported, in milliseconds")
        .parser()
        .map(Duration::from_millis);
    let cache_event_delay = setting(
        "cache-event-delay-ms",
        "BULRUSHWARD_FAKES_CACHE_EVENT_DELAY_MS",
        "MS",
        200,
    )
    .help("Time between a change of the cache and its event, in milliseconds")
    .parser()
    .map(Duration::from_millis);
    let cache_event_gap = setting(
        "cache-event-gap",
        "BULRUSHWARD_FAKES_CACHE_EVENT_GAP",
        "EVENTS",
        0,
    )
    .help("Leaves out every event whose number divides by this, 0 for none")
    .parser();
    let checks_fencing = setting(
        "check-fencing",
        "BULRUSHWARD_FAKES_CHECK_FENCING",
        "true|false",
        true,
    )
    .help("Refuses orders with an old fencing number")
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

/// A setting by flag or environment variable.
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

    /// Returns a parser whose errors name the setting, its variable and the value.
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

/// Parses the arguments.
///
/// # Errors
///
/// Returns the exit code after help was printed or an argument was refused.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| match failure {
            ParseFailure::Stderr(message) => {
                let text = message.monochrome(false);
                // Long messages come in several lines.
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
