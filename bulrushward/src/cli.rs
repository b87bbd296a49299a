//! The command line and environment of the daemon.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::{Bpaf, ParseFailure};

use crate::{
    error::{SettingError, SettingSnafu},
    settings::{AgentSettings, CommonSettings, RouterSettings},
};

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

/// Arguments of every process, as written.
#[derive(Clone, Debug, Bpaf)]
struct CommonArguments {
    /// Unique name of this process
    #[bpaf(long, env("BULRUSHWARD_NODE"), argument("NAME"))]
    node: String,
    /// Failure domain that this process stands in
    #[bpaf(long, env("BULRUSHWARD_FAILURE_DOMAIN"), argument("NAME"))]
    failure_domain: String,
    /// Address for control exchanges with other processes
    #[bpaf(long, env("BULRUSHWARD_CONTROL_ADDRESS"), argument("IP:PORT"))]
    control_address: String,
    /// Address for metrics, health and, at a router, bulrushctl
    #[bpaf(long, env("BULRUSHWARD_ADMIN_ADDRESS"), argument("IP:PORT"))]
    admin_address: String,
    /// URLs of the key-value service (etcd v3 JSON gateway), separated by commas
    #[bpaf(long, env("BULRUSHWARD_KEY_VALUE"), argument("URLS"))]
    key_value: String,
    /// URL of the VM list (HTTP service discovery)
    #[bpaf(long, env("BULRUSHWARD_VM_LIST"), argument("URL"))]
    vm_list: String,
    /// Control addresses to start from while the VM list is down, separated by commas; default none
    #[bpaf(
        long,
        env("BULRUSHWARD_PEERS"),
        argument("IP:PORT,…"),
        fallback(String::new())
    )]
    peers: String,
    /// Milliseconds between two control exchanges; default 1000
    #[bpaf(
        long,
        env("BULRUSHWARD_EXCHANGE_INTERVAL_MS"),
        argument("MS"),
        fallback("1000".to_owned())
    )]
    exchange_interval_ms: String,
    /// Milliseconds after which a call to the platform is given up; default 1000
    #[bpaf(
        long,
        env("BULRUSHWARD_PLATFORM_TIMEOUT_MS"),
        argument("MS"),
        fallback("1000".to_owned())
    )]
    platform_timeout_ms: String,
    /// Milliseconds from a planned stop until this process stops listening; default 3000
    #[bpaf(
        long,
        env("BULRUSHWARD_DRAIN_GRACE_MS"),
        argument("MS"),
        fallback("3000".to_owned())
    )]
    drain_grace_ms: String,
    /// Log filter such as info, debug or bulrushward=debug; default info
    #[bpaf(long, env("BULRUSHWARD_LOG"), argument("FILTER"), fallback("info".to_owned()))]
    log: String,
}

/// Arguments of a router, as written.
#[derive(Clone, Debug, Bpaf)]
struct RouterArguments {
    #[bpaf(external)]
    common_arguments: CommonArguments,
    /// Address for callers
    #[bpaf(long, env("BULRUSHWARD_LISTEN"), argument("IP:PORT"))]
    listen: String,
    /// Largest body of a caller in bytes; default 4194304
    #[bpaf(
        long,
        env("BULRUSHWARD_BODY_LIMIT_BYTES"),
        argument("BYTES"),
        fallback("4194304".to_owned())
    )]
    body_limit_bytes: String,
    /// Milliseconds without a frame until a connection to an agent counts as silent; default 1500
    #[bpaf(
        long,
        env("BULRUSHWARD_SILENCE_MS"),
        argument("MS"),
        fallback("1500".to_owned())
    )]
    silence_ms: String,
}

/// Arguments of an agent, as written.
#[derive(Clone, Debug, Bpaf)]
struct AgentArguments {
    #[bpaf(external)]
    common_arguments: CommonArguments,
    /// Address for routers
    #[bpaf(long, env("BULRUSHWARD_INNER_ADDRESS"), argument("IP:PORT"))]
    inner_address: String,
    /// Address at which routers reach this agent; default the inner address
    #[bpaf(
        long,
        env("BULRUSHWARD_ADVERTISED_ADDRESS"),
        argument("IP:PORT"),
        fallback(String::new())
    )]
    advertised_address: String,
    /// Name of the backend server in the operators' text
    #[bpaf(long, env("BULRUSHWARD_BACKEND"), argument("NAME"))]
    backend: String,
    /// Base URL of the backend server
    #[bpaf(long, env("BULRUSHWARD_BACKEND_URL"), argument("URL"))]
    backend_url: String,
    /// Service of the backend server in the operators' text
    #[bpaf(long, env("BULRUSHWARD_SERVICE"), argument("NAME"))]
    service: String,
    /// Path that the backend server answers with 2xx while it is well; default /health
    #[bpaf(
        long,
        env("BULRUSHWARD_HEALTH_PATH"),
        argument("PATH"),
        fallback("/health".to_owned())
    )]
    health_path: String,
    /// Milliseconds between two health probes; default 500
    #[bpaf(
        long,
        env("BULRUSHWARD_HEALTH_INTERVAL_MS"),
        argument("MS"),
        fallback("500".to_owned())
    )]
    health_interval_ms: String,
    /// Milliseconds without a byte until a backend server counts as stuck; default 30000
    #[bpaf(
        long,
        env("BULRUSHWARD_BACKEND_SILENCE_MS"),
        argument("MS"),
        fallback("30000".to_owned())
    )]
    backend_silence_ms: String,
    /// Seconds for which a finished answer is kept for repeats; default 120
    #[bpaf(
        long,
        env("BULRUSHWARD_ANSWER_RETENTION_SECONDS"),
        argument("SECONDS"),
        fallback("120".to_owned())
    )]
    answer_retention_seconds: String,
}

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
/// Router fleet for very many returning chats
enum Arguments {
    /// Takes callers' requests and places them
    #[bpaf(command)]
    Router(#[bpaf(external(router_arguments))] RouterArguments),
    /// Stands before one backend server
    #[bpaf(command)]
    Agent(#[bpaf(external(agent_arguments))] AgentArguments),
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
                message.monochrome(false).replace('\n', " ")
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

impl Arguments {
    fn check(self) -> Result<Command, SettingError> {
        match self {
            Self::Router(arguments) => {
                let filter = arguments.common_arguments.log.clone();
                Ok(Command::Router(Box::new(arguments.check()?), filter))
            }
            Self::Agent(arguments) => {
                let filter = arguments.common_arguments.log.clone();
                Ok(Command::Agent(Box::new(arguments.check()?), filter))
            }
        }
    }
}

impl CommonArguments {
    fn check(self) -> Result<CommonSettings, SettingError> {
        Ok(CommonSettings {
            node: name("--node", "BULRUSHWARD_NODE", self.node)?,
            failure_domain: name(
                "--failure-domain",
                "BULRUSHWARD_FAILURE_DOMAIN",
                self.failure_domain,
            )?,
            control_address: address(
                "--control-address",
                "BULRUSHWARD_CONTROL_ADDRESS",
                &self.control_address,
            )?,
            admin_address: address(
                "--admin-address",
                "BULRUSHWARD_ADMIN_ADDRESS",
                &self.admin_address,
            )?,
            key_value: self
                .key_value
                .split(',')
                .map(|value| url("--key-value", "BULRUSHWARD_KEY_VALUE", value))
                .collect::<Result<_, _>>()?,
            vm_list: url("--vm-list", "BULRUSHWARD_VM_LIST", &self.vm_list)?,
            peers: self
                .peers
                .split(',')
                .filter(|value| !value.is_empty())
                .map(|value| address("--peers", "BULRUSHWARD_PEERS", value))
                .collect::<Result<_, _>>()?,
            exchange_interval: milliseconds(
                "--exchange-interval-ms",
                "BULRUSHWARD_EXCHANGE_INTERVAL_MS",
                &self.exchange_interval_ms,
            )?,
            platform_timeout: milliseconds(
                "--platform-timeout-ms",
                "BULRUSHWARD_PLATFORM_TIMEOUT_MS",
                &self.platform_timeout_ms,
            )?,
            drain_grace: milliseconds(
                "--drain-grace-ms",
                "BULRUSHWARD_DRAIN_GRACE_MS",
                &self.drain_grace_ms,
            )?,
        })
    }
}

impl RouterArguments {
    fn check(self) -> Result<RouterSettings, SettingError> {
        Ok(RouterSettings {
            common: self.common_arguments.check()?,
            listen: address("--listen", "BULRUSHWARD_LISTEN", &self.listen)?,
            body_limit: number(
                "--body-limit-bytes",
                "BULRUSHWARD_BODY_LIMIT_BYTES",
                &self.body_limit_bytes,
            )? as usize,
            silence: milliseconds("--silence-ms", "BULRUSHWARD_SILENCE_MS", &self.silence_ms)?,
        })
    }
}

impl AgentArguments {
    fn check(self) -> Result<AgentSettings, SettingError> {
        let advertised = if self.advertised_address.is_empty() {
            &self.inner_address
        } else {
            &self.advertised_address
        };
        Ok(AgentSettings {
            common: self.common_arguments.check()?,
            inner_address: address(
                "--inner-address",
                "BULRUSHWARD_INNER_ADDRESS",
                &self.inner_address,
            )?,
            advertised_address: address(
                "--advertised-address",
                "BULRUSHWARD_ADVERTISED_ADDRESS",
                advertised,
            )?,
            backend: name("--backend", "BULRUSHWARD_BACKEND", self.backend)?,
            backend_url: url(
                "--backend-url",
                "BULRUSHWARD_BACKEND_URL",
                &self.backend_url,
            )?,
            service: name("--service", "BULRUSHWARD_SERVICE", self.service)?,
            health_path: self.health_path,
            health_interval: milliseconds(
                "--health-interval-ms",
                "BULRUSHWARD_HEALTH_INTERVAL_MS",
                &self.health_interval_ms,
            )?,
            backend_silence: milliseconds(
                "--backend-silence-ms",
                "BULRUSHWARD_BACKEND_SILENCE_MS",
                &self.backend_silence_ms,
            )?,
            answer_retention: Duration::from_secs(number(
                "--answer-retention-seconds",
                "BULRUSHWARD_ANSWER_RETENTION_SECONDS",
                &self.answer_retention_seconds,
            )?),
        })
    }
}

fn name(name: &'static str, variable: &'static str, value: String) -> Result<String, SettingError> {
    let valid = !value.is_empty()
        && value
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if valid {
        return Ok(value);
    }
    SettingSnafu {
        name,
        variable,
        value,
        expected: "letters, digits, '-', '_' or '.'",
    }
    .fail()
}

fn address(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<SocketAddr, SettingError> {
    value.parse().or_else(|_not_an_address| {
        SettingSnafu {
            name,
            variable,
            value,
            expected: "IP:PORT",
        }
        .fail()
    })
}

fn url(name: &'static str, variable: &'static str, value: &str) -> Result<String, SettingError> {
    let parsed = reqwest::Url::parse(value);
    if parsed.is_ok_and(|url| url.scheme() == "http" && url.has_host()) {
        return Ok(value.trim_end_matches('/').to_owned());
    }
    SettingSnafu {
        name,
        variable,
        value,
        expected: "http://HOST[:PORT][/PATH]",
    }
    .fail()
}

fn number(name: &'static str, variable: &'static str, value: &str) -> Result<u64, SettingError> {
    match value.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => SettingSnafu {
            name,
            variable,
            value,
            expected: "a whole number above 0",
        }
        .fail(),
    }
}

fn milliseconds(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<Duration, SettingError> {
    number(name, variable, value).map(Duration::from_millis)
}
