//! Command-line arguments and environment variables.

use std::{fmt::Display, path::PathBuf, process::ExitCode, str::FromStr, time::Duration};

use bpaf::{Args, Bpaf, ParseFailure, Parser, construct, long};
use bulrushward_load::{
    ArrivalSettings, BoundError, Bounds, ClientSettings, Target, Work, check_rate,
};

/// Exit code for an invalid argument.
pub(crate) const EXIT_USAGE: u8 = 2;
/// Width of the help text, in columns.
const HELP_COLUMNS: usize = 100;

/// Sends a limited load to a router or a backend server on the loopback interface.
///
/// Prints one line `measure=… size=… case=… value=… unit=…` for each figure. A target is the URL
/// of a router or backend server with an IP address as its host and, optionally, the path of a
/// plain service, such as `http://127.0.0.1:8080/svc/registry`. Limits: 200000 requests, 120 s,
/// 2000 requests in progress and 50000 requests/s.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
pub(crate) enum Command {
    /// Sends load to one target
    #[bpaf(command("run"))]
    Run {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        concurrency: usize,
        #[bpaf(external)]
        work: Work,
        #[bpaf(external)]
        target: Target,
    },
    /// Sends the same requests directly to a backend server and through the fleet, alternately
    #[bpaf(command("compare"))]
    Compare {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        work: Work,
        #[bpaf(external)]
        added_time_target: Duration,
        #[bpaf(external)]
        direct: Target,
        #[bpaf(external)]
        routed: Target,
    },
    /// Opens streams and reads them until they end or the time limit is reached
    #[bpaf(command("hold"))]
    Hold {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        target: Target,
    },
}

/// Arguments that all commands share.
#[derive(Clone, Debug)]
pub(crate) struct Common {
    seed: u64,
    count: usize,
    rate: f64,
    pause: Duration,
    return_chance: f64,
    keys: Vec<String>,
    model: String,
    max_tokens: u32,
    pub(crate) time: Duration,
    pub(crate) size: String,
    pub(crate) json: Option<PathBuf>,
}

impl Common {
    /// Returns the settings of the arrival generator.
    pub(crate) fn arrival_settings(&self) -> Result<ArrivalSettings, BoundError> {
        let bounds = Bounds::new(self.count, self.time)?;
        Ok(ArrivalSettings {
            seed: self.seed,
            count: bounds.count,
            rate: check_rate(self.rate)?,
            pause: self.pause,
            return_chance: self.return_chance,
            organisations: self.keys.len(),
        })
    }

    /// Returns the settings of the HTTP client.
    pub(crate) fn client_settings(&self) -> ClientSettings {
        ClientSettings {
            keys: self.keys.clone(),
            model: self.model.clone(),
            max_tokens: self.max_tokens,
            seed: self.seed,
        }
    }
}

fn common() -> impl Parser<Common> {
    let seed = setting("seed", "BULRUSHWARD_LOAD_SEED", "NUMBER", 1)
        .help("Seed of the arrivals, chats and organisations")
        .parser();
    let count = setting("count", "BULRUSHWARD_LOAD_COUNT", "REQUESTS", 1_000)
        .help("Maximum number of requests")
        .parser();
    let rate = setting("rate", "BULRUSHWARD_LOAD_RATE", "REQUESTS/S", 100.0)
        .help("Mean rate of the arrivals, in requests per second")
        .parser();
    let pause = setting("pause-ms", "BULRUSHWARD_LOAD_PAUSE_MS", "MS", 500)
        .help("Mean pause between two requests of a chat, in milliseconds")
        .parser()
        .map(Duration::from_millis);
    let return_chance = setting(
        "return-chance",
        "BULRUSHWARD_LOAD_RETURN_CHANCE",
        "0…1",
        0.7,
    )
    .help("Probability that a chat sends another request after each one")
    .parser()
    .guard(
        |chance| (0.0..=1.0).contains(chance),
        "--return-chance should be between 0 and 1",
    );
    let keys = setting("keys", "BULRUSHWARD_LOAD_KEYS", "KEY,…", String::new())
        .help("API keys, one for each organisation; the share of number n is proportional to 1/n")
        .parser()
        .map(|keys| keys.split(',').map(str::to_owned).collect());
    let model = setting(
        "model",
        "BULRUSHWARD_LOAD_MODEL",
        "NAME",
        "model".to_owned(),
    )
    .help("Model of the chats")
    .parser();
    let max_tokens = setting("max-tokens", "BULRUSHWARD_LOAD_MAX_TOKENS", "TOKENS", 16)
        .help("Maximum number of tokens in the response to a chat request")
        .parser();
    let time = setting("seconds", "BULRUSHWARD_LOAD_SECONDS", "SECONDS", 10.0)
        .help("Maximum duration of the load, in seconds")
        .parser()
        .parse(|seconds| {
            let hint = "--seconds should be a positive number of seconds";
            Duration::try_from_secs_f64(seconds).map_err(|_out_of_range| hint)
        });
    let size = setting("size", "BULRUSHWARD_LOAD_SIZE", "NAME", "one".to_owned())
        .help("Name of the fleet size that the figures report")
        .parser();
    let json = long("json")
        .env("BULRUSHWARD_LOAD_JSON")
        .help("Also writes the figures to this file as JSON")
        .argument("FILE")
        .optional();
    construct!(Common {
        seed,
        count,
        rate,
        pause,
        return_chance,
        keys,
        model,
        max_tokens,
        time,
        size,
        json,
    })
}

fn concurrency() -> impl Parser<usize> {
    setting("concurrency", "BULRUSHWARD_LOAD_CONCURRENCY", "REQUESTS", 0)
        .help("Requests in progress in a closed loop; 0 sends at --rate in an open loop")
        .parser()
}

fn work() -> impl Parser<Work> {
    setting(
        "work",
        "BULRUSHWARD_LOAD_WORK",
        "whole-chat|streamed-chat|call|action",
        Work::WholeChat,
    )
    .help("Kind of request to send")
    .parser()
}

fn added_time_target() -> impl Parser<Duration> {
    setting(
        "target-added-us",
        "BULRUSHWARD_LOAD_TARGET_ADDED_US",
        "US",
        1_000,
    )
    .help("Target for the added time at the 99th percentile, in microseconds")
    .parser()
    .map(Duration::from_micros)
}

fn target() -> impl Parser<Target> {
    url(
        "target",
        "BULRUSHWARD_LOAD_TARGET",
        "URL to send the requests to",
    )
}

fn direct() -> impl Parser<Target> {
    url(
        "direct",
        "BULRUSHWARD_LOAD_DIRECT",
        "URL of a backend server",
    )
}

fn routed() -> impl Parser<Target> {
    url(
        "routed",
        "BULRUSHWARD_LOAD_ROUTED",
        "URL of a router in front of the same backend server",
    )
}

fn url(name: &'static str, variable: &'static str, help: &'static str) -> impl Parser<Target> {
    long(name)
        .env(variable)
        .help(help)
        .argument::<String>("URL")
        .parse(|text| text.parse::<Target>())
}

/// A setting that is read from a flag or an environment variable.
struct Setting<T> {
    name: &'static str,
    variable: &'static str,
    placeholder: &'static str,
    default: T,
    help: &'static str,
}

fn setting<T>(
    name: &'static str,
    variable: &'static str,
    placeholder: &'static str,
    default: T,
) -> Setting<T> {
    Setting {
        name,
        variable,
        placeholder,
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

    /// Returns a parser whose error message names the flag, its variable and the value.
    fn parser(self) -> impl Parser<T> {
        let Self {
            name,
            variable,
            placeholder,
            default,
            help,
        } = self;
        let argument = long(name)
            .env(variable)
            .help(help)
            .argument::<String>(placeholder);
        let value = argument.parse(move |text| {
            let expected =
                format!("--{name} (or {variable}) is {text:?} and should be {placeholder}");
            text.parse().map_err(|_not_parsed: T::Err| expected)
        });
        value.fallback(default).display_fallback()
    }
}

/// Parses the arguments.
///
/// # Errors
///
/// Returns the exit code after printing the help text or the error of an invalid argument.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    command()
        .run_inner(Args::current_args())
        .map_err(|failure| match failure {
            ParseFailure::Stderr(message) => {
                let text = message.monochrome(false);
                // bpaf wraps long messages; an error is printed as one line.
                let words: Vec<&str> = text.split_whitespace().collect();
                eprintln!("bulrushward-load: {}", words.join(" "));
                ExitCode::from(EXIT_USAGE)
            }
            other => {
                other.print_message(HELP_COLUMNS);
                ExitCode::SUCCESS
            }
        })
}
