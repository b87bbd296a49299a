//! Command-line arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{Bpaf, Parser, construct, long};
use bulrushward_protocol::Revision;

/// Time that `--wait` without a number waits, in seconds.
const DEFAULT_WAIT_SECONDS: u64 = 10;
/// Maximum of all time settings in seconds.
const MAX_SECONDS: u64 = 3_600;
/// Maximum length of an author or a reason in bytes.
const MAX_NOTE_BYTES: usize = 4 << 10;
/// Maximum number of changes listed at once.
const MAX_HISTORY: usize = 1_000;

/// Checks, submits and shows the configuration of a bulrushward fleet, and shows the fleet's state.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
pub(crate) enum Command {
    /// Reports all errors in a configuration text; needs no router
    #[bpaf(command)]
    Check {
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        file: PathBuf,
    },
    /// Submits a configuration text
    #[bpaf(command)]
    Submit {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        note: Note,
        /// Revision on which the text is based, 0 for the first text; default: the number in the
        /// first line "# revision: N" of the text, as written by "show"
        #[bpaf(long, env("BULRUSHWARD_BASE"), argument::<String>("N"), parse(|text| parse_base(&text)), optional)]
        base: Option<Revision>,
        #[bpaf(external)]
        wait: Option<Duration>,
        #[bpaf(external)]
        file: PathBuf,
    },
    /// Prints the active configuration text, with its revision in the first line
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// Revision to print; default: the newest
        #[bpaf(long, env("BULRUSHWARD_REVISION"), argument::<String>("N"), parse(|text| parse_revision(&text)), optional)]
        revision: Option<Revision>,
    },
    /// Prints the difference between the active configuration text and a file
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        file: PathBuf,
    },
    /// Lists accepted changes, the newest first
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        /// Number of changes to list, 1 to 1000; default: 20
        #[bpaf(long, env("BULRUSHWARD_LIMIT"), argument::<String>("N"), parse(|text| parse_limit(&text)), fallback(20))]
        limit: usize,
        /// Prints the difference made by each change; any value of the variable enables this;
        /// default: not printed
        #[bpaf(long, env("BULRUSHWARD_DIFF"), switch)]
        diff: bool,
    },
    /// Lists all processes with their state, revision, load, queue and refusals
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
    },
    /// Takes a backend server out of use: it finishes its work and gets no new requests
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        note: Note,
        #[bpaf(external)]
        wait: Option<Duration>,
        #[bpaf(external)]
        backend: String,
    },
    /// Puts a drained backend server back into use
    #[bpaf(command)]
    Undrain {
        #[bpaf(external)]
        connection: Connection,
        #[bpaf(external)]
        format: Format,
        #[bpaf(external)]
        note: Note,
        #[bpaf(external)]
        wait: Option<Duration>,
        #[bpaf(external)]
        backend: String,
    },
    /// Prints the log lines of one request, and the state changes of its routers at that time
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional::<String>("REQUEST"))]
        request: String,
        /// Log files of routers
        #[bpaf(positional::<PathBuf>("LOG"), some("at least one LOG is needed"))]
        logs: Vec<PathBuf>,
    },
}

/// Settings for the connection to routers.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Connection {
    /// Admin addresses of routers, as comma-separated IP:PORT, tried in turn; no default
    #[bpaf(
        long("router"),
        env("BULRUSHWARD_ROUTER"),
        argument::<String>("ADDRESSES"),
        parse(|text| parse_routers(&text))
    )]
    pub(crate) routers: Vec<SocketAddr>,
    /// Timeout for the response of each router in seconds, 1 to 3600; default: 5
    #[bpaf(
        long("timeout-seconds"),
        env("BULRUSHWARD_TIMEOUT_SECONDS"),
        argument::<String>("SECONDS"),
        parse(|text| parse_timeout(&text)),
        fallback(Duration::from_secs(5))
    )]
    pub(crate) timeout: Duration,
}

/// Output format.
#[derive(Clone, Copy, Debug, Bpaf)]
pub(crate) struct Format {
    /// Prints JSON instead of text; any value of the variable enables this; default: text
    #[bpaf(long("json"), env("BULRUSHWARD_JSON"), switch)]
    pub(crate) json: bool,
}

/// Author and reason of a change, for the audit trail.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Note {
    /// Who submits the change, 1 to 4096 bytes; no default
    #[bpaf(
        long,
        env("BULRUSHWARD_AUTHOR"),
        argument::<String>("NAME"),
        parse(|text| parse_note("--author (BULRUSHWARD_AUTHOR)", text))
    )]
    pub(crate) author: String,
    /// Why the change is submitted, 1 to 4096 bytes; no default
    #[bpaf(
        long,
        env("BULRUSHWARD_WHY"),
        argument::<String>("REASON"),
        parse(|text| parse_note("--why (BULRUSHWARD_WHY)", text))
    )]
    pub(crate) why: String,
}

/// Parses the file argument.
fn file() -> impl Parser<PathBuf> {
    bpaf::positional::<PathBuf>("FILE").help("File with the configuration text")
}

/// Parses the backend server argument.
fn backend() -> impl Parser<String> {
    bpaf::positional::<String>("BACKEND").help("Name of the backend server")
}

/// Parses `--wait` and `--wait=SECONDS`.
fn wait() -> impl Parser<Option<Duration>> {
    let timed = long("wait")
        .env("BULRUSHWARD_WAIT")
        .help(
            "Waits until the change is active on all live processes, for at most this many \
             seconds, 1 to 3600; default: no wait, or 10 seconds without a number",
        )
        .argument::<String>("SECONDS")
        .adjacent();
    let plain = long("wait")
        .req_flag(DEFAULT_WAIT_SECONDS.to_string())
        .hide();
    construct!([timed, plain])
        .parse(|text| parse_seconds("--wait (BULRUSHWARD_WAIT)", &text))
        .optional()
}

fn parse_routers(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(|address| {
            address.trim().parse().map_err(|_error| {
                format!("--router (BULRUSHWARD_ROUTER): found {address:?}, expected IP:PORT")
            })
        })
        .collect()
}

fn parse_timeout(text: &str) -> Result<Duration, String> {
    parse_seconds("--timeout-seconds (BULRUSHWARD_TIMEOUT_SECONDS)", text)
}

fn parse_seconds(setting: &str, text: &str) -> Result<Duration, String> {
    match text.parse() {
        Ok(seconds) if (1..=MAX_SECONDS).contains(&seconds) => Ok(Duration::from_secs(seconds)),
        _ => Err(format!(
            "{setting}: found {text:?}, expected 1 to {MAX_SECONDS} seconds"
        )),
    }
}

fn parse_base(text: &str) -> Result<Revision, String> {
    text.parse().map_err(|_error| {
        format!("--base (BULRUSHWARD_BASE): found {text:?}, expected a revision such as 7")
    })
}

fn parse_revision(text: &str) -> Result<Revision, String> {
    text.parse().map_err(|_error| {
        format!("--revision (BULRUSHWARD_REVISION): found {text:?}, expected a revision such as 7")
    })
}

fn parse_limit(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(limit) if (1..=MAX_HISTORY).contains(&limit) => Ok(limit),
        _ => Err(format!(
            "--limit (BULRUSHWARD_LIMIT): found {text:?}, expected 1 to {MAX_HISTORY}"
        )),
    }
}

fn parse_note(setting: &str, text: String) -> Result<String, String> {
    if text.trim().is_empty() || text.len() > MAX_NOTE_BYTES {
        let bytes = text.len();
        return Err(format!(
            "{setting}: found {bytes} bytes, expected 1 to {MAX_NOTE_BYTES} that are not all blank"
        ));
    }
    Ok(text)
}
