//! Settings of a direct router: a TOML file that is reloaded when it changes.
//!
//! The names of settings call a retry a repeat and the fleet state knowledge.

use std::{
    collections::HashSet,
    fs, io,
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::Duration,
};

use bulrushward_policy::fleet_retry_budget::RetryAllowance;
use serde::Deserialize;
use serde_with::{DurationMilliSecondsWithFrac, DurationSecondsWithFrac, serde_as};
use snafu::{IntoError, ResultExt, Snafu};

/// Largest settings file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 10;

/// Largest number of extra retries that may be set.
const MAX_EXTRA_REPEATS: f64 = 1e6;
/// Time in which a router that has just started learns of nearly all others through gossip.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Longest time that may be set.
const MAX_TIME: Duration = Duration::from_hours(24);
/// Smallest window of the retry budget that may be set.
const MIN_REPEAT_WINDOW: Duration = Duration::from_secs(1);
/// Memory that a process is assumed to have if the settings name none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Memory that may be set, in megabytes.
const MEMORY_MB: RangeInclusive<f64> = 1.0..=1e6;
/// Part of the memory that bodies of callers may take together.
///
/// The rest is for the program, for responses and for what the system has received.
const BODY_MEMORY_FRACTION: f64 = 0.5;
/// Smallest propagation limit that may be set; one call to a slow store takes as long.
const MIN_PROPAGATION_LIMIT: Duration = Duration::from_millis(100);

/// Reason why settings were rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("failed to read settings file {}: {source}", path.display()))]
    Read {
        /// Path.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is too large to be settings.
    #[snafu(display("settings file {} has {size} bytes, expected at most {MAX_FILE_BYTES}", path.display()))]
    TooLarge {
        /// Path.
        path: PathBuf,
        /// Size in bytes.
        size: u64,
    },
    /// The file is not TOML, lacks a setting or has one of another type.
    #[snafu(display(
        "settings file {}, line {line}: {}, in `{text}`", path.display(), source.message()
    ))]
    Parse {
        /// Path.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Text of the line.
        text: String,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// A setting has an invalid value.
    #[snafu(display(
        "settings file {}, line {line}: {name} has value {value}, expected {expected}", path.display()
    ))]
    Value {
        /// Path.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Name of the setting.
        name: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the accepted values.
        expected: &'static str,
    },
}

/// A setting with an invalid value, before it is located in its file.
struct InvalidValue {
    name: &'static str,
    value: String,
    expected: &'static str,
}

/// Settings of a direct router.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Unique name of this process.
    pub node: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address at which callers connect.
    pub callers_address: SocketAddr,
    /// Address at which the platform probes the readiness of the router.
    pub readiness_address: SocketAddr,
    /// Address at which peers fetch the fleet state of this router.
    pub knowledge_address: SocketAddr,
    /// Port of the gossip datagrams between routers, the same on all VMs.
    pub datagram_port: u16,
    /// Port of the datagrams about lent places, the same on all VMs; without it no places are lent.
    #[serde(default)]
    pub places_port: Option<u16>,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Bootstrap addresses: the `knowledge_address` of some peers, which may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Seconds from the stop signal until the platform kills the process.
    #[serde(rename = "stop_grace_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace: Duration,
    /// Propagation limit of a leaving server in milliseconds.
    ///
    /// It runs from the store's acknowledgement of the entry until all routers know that the server is leaving.
    #[serde(rename = "leaving_known_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub leaving_known: Duration,
    /// Propagation limit of a configuration in milliseconds.
    ///
    /// It runs from the store's acknowledgement of the write until the configuration is active at all routers.
    #[serde(rename = "config_known_ms")]
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    pub config_known: Duration,
    /// Propagation limit of an order to empty a failure domain in milliseconds; absent if there are no such orders.
    ///
    /// It runs from the store's acknowledgement of the order until no router sends anything to the servers of the
    /// domain. Whether it is present at the start decides whether orders are followed.
    #[serde(rename = "evacuation_known_ms", default)]
    #[serde_as(as = "Option<DurationMilliSecondsWithFrac<f64>>")]
    pub orders_known: Option<Duration>,
    /// Whether no router of this fleet has run before, as the platform says.
    ///
    /// Read only at the start.
    #[serde(default)]
    pub first_start: bool,
    /// Largest ratio of retries to requests in the fleet.
    pub repeat_ratio: f64,
    /// Retries that the fleet may send beyond that ratio in any window of the retry budget.
    pub extra_repeats: f64,
    /// Memory in megabytes that the process may take, of which bodies of callers get a half.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Window of the retry budget in seconds.
    #[serde(rename = "repeat_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub repeat_window: Duration,
    /// Log filter, such as `info`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

fn default_log() -> String {
    "info".to_owned()
}

impl DirectSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file cannot be read or a setting is invalid.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let size = fs::metadata(path).context(ReadSnafu { path })?.len();
        if size > MAX_FILE_BYTES {
            return TooLargeSnafu { path, size }.fail();
        }
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and checks the contents of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if a setting is invalid; the error names the line and the setting.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = line_at(text, start);
            let text = text.lines().nth(line - 1).unwrap_or_default().to_owned();
            let source = Box::new(error);
            ParseSnafu { path, line, text }.into_error(source)
        })?;
        settings.check().map_err(|invalid| {
            let InvalidValue {
                name,
                value,
                expected,
            } = invalid;
            let line = line_of_setting(text, name);
            ValueSnafu {
                path,
                line,
                name,
                value,
                expected,
            }
            .build()
        })?;
        Ok(settings)
    }

    /// Returns the address at which this router receives gossip datagrams.
    #[must_use]
    pub fn datagram_address(&self) -> SocketAddr {
        SocketAddr::new(self.own_ip(), self.datagram_port)
    }

    /// Returns the address at which this router receives datagrams about lent places.
    #[must_use]
    pub fn places_address(&self) -> Option<SocketAddr> {
        let port = self.places_port?;
        Some(SocketAddr::new(self.own_ip(), port))
    }

    /// Returns the address at which metrics are served.
    #[must_use]
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.own_ip(), self.metrics_port)
    }

    /// Returns the retries that the fleet may send for each service.
    pub(crate) fn retry_allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.repeat_ratio,
            extra: self.extra_repeats,
            window: self.repeat_window,
        }
    }

    /// Returns the bytes that bodies of callers may take together.
    pub(crate) fn body_memory(&self) -> usize {
        (self.memory_mb * BODY_MEMORY_FRACTION * 1e6) as usize
    }

    /// Returns the number of routers that the settings name, this one included.
    #[must_use]
    pub fn configured_routers(&self) -> u32 {
        let others: HashSet<_> = self
            .seeds
            .iter()
            .filter(|seed| **seed != self.knowledge_address)
            .collect();
        others.len() as u32 + 1
    }

    /// Returns the time from the start until the number of routers is known through gossip.
    pub(crate) fn peer_discovery_time(&self) -> Duration {
        if self.configured_routers() > 1 {
            PEER_DISCOVERY_TIME
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether all settings that are only read at the start equal those of other settings.
    pub(crate) fn has_fixed_settings_of(&self, other: &Self) -> bool {
        self.orders_known.is_some() == other.orders_known.is_some()
            && self.callers_address == other.callers_address
            && self.readiness_address == other.readiness_address
            && self.knowledge_address == other.knowledge_address
            && self.datagram_port == other.datagram_port
            && self.places_port == other.places_port
            && self.metrics_port == other.metrics_port
            && self.store_address == other.store_address
    }

    fn own_ip(&self) -> IpAddr {
        self.knowledge_address.ip()
    }

    fn check(&self) -> Result<(), InvalidValue> {
        require("node", &self.node, !self.node.is_empty(), "a name")?;
        require(
            "stop_grace_s",
            &self.stop_grace.as_secs_f64(),
            self.stop_grace >= Duration::from_secs(1),
            "at least 1",
        )?;
        let limits = [
            ("leaving_known_ms", Some(self.leaving_known)),
            ("config_known_ms", Some(self.config_known)),
            ("evacuation_known_ms", self.orders_known),
        ];
        for (name, time) in limits {
            let Some(time) = time else { continue };
            require(
                name,
                &(time.as_secs_f64() * 1e3),
                time >= MIN_PROPAGATION_LIMIT,
                "at least 100",
            )?;
        }
        require(
            "memory_mb",
            &self.memory_mb,
            MEMORY_MB.contains(&self.memory_mb),
            "1 to 1000000",
        )?;
        require(
            "repeat_ratio",
            &self.repeat_ratio,
            (0.0..=1.0).contains(&self.repeat_ratio),
            "0 to 1",
        )?;
        require(
            "extra_repeats",
            &self.extra_repeats,
            (0.0..=MAX_EXTRA_REPEATS).contains(&self.extra_repeats),
            "0 to 1000000",
        )?;
        require(
            "repeat_window_s",
            &self.repeat_window.as_secs_f64(),
            self.repeat_window >= MIN_REPEAT_WINDOW,
            "at least 1",
        )?;
        for (name, time) in [
            ("stop_grace_s", self.stop_grace),
            ("leaving_known_ms", self.leaving_known),
            ("config_known_ms", self.config_known),
            ("repeat_window_s", self.repeat_window),
        ] {
            let value = format!("{time:?}");
            require(name, &value, time <= MAX_TIME, "at most a day")?;
        }
        require(
            "places_port",
            &self.places_port.unwrap_or_default(),
            self.places_port
                .is_none_or(|port| port != self.datagram_port && port != self.metrics_port),
            "another port than datagram_port and metrics_port",
        )?;
        require(
            "metrics_port",
            &self.metrics_port,
            self.metrics_port != self.datagram_port,
            "another port than datagram_port",
        )
    }
}

fn require(
    name: &'static str,
    value: &dyn ToString,
    is_valid: bool,
    expected: &'static str,
) -> Result<(), InvalidValue> {
    if is_valid {
        return Ok(());
    }
    Err(InvalidValue {
        name,
        value: value.to_string(),
        expected,
    })
}

/// Returns the number of the line, from 1, that contains a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    let before = text.bytes().take(offset);
    1 + before.filter(|byte| *byte == b'\n').count()
}

/// Returns the number of the line, from 1, that sets `name`.
fn line_of_setting(text: &str, name: &str) -> usize {
    let sets_name = |line: &str| {
        line.split_once('=')
            .is_some_and(|(key, _)| key.trim() == name)
    };
    text.lines()
        .position(sets_name)
        .map_or(1, |index| index + 1)
}
