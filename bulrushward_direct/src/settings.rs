//! Settings of a direct router: a TOML file that is read again when it changes.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use snafu::{ResultExt, Snafu};

/// Largest settings file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 10;

/// Shortest time in which a change must be known; a call of a slow store takes as long.
const MIN_KNOWN: Duration = Duration::from_millis(100);

/// Why settings were not accepted.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("settings file {} could not be read: {source}", path.display()))]
    Read {
        /// Path.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The file is not TOML or lacks a setting.
    #[snafu(display("settings file {}: {}", path.display(), source.message()))]
    Parse {
        /// Path.
        path: PathBuf,
        /// Error of the library, which names the setting.
        source: Box<toml::de::Error>,
    },
    /// A setting has a value that makes no sense.
    #[snafu(display("setting {name} has value {value}, expected {expected}"))]
    Value {
        /// Setting.
        name: &'static str,
        /// Value found.
        value: String,
        /// What would have been accepted.
        expected: &'static str,
    },
}

/// Settings of a direct router.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Unique name of this process.
    pub node: String,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address at which the platform asks whether the router takes requests.
    pub readiness_address: SocketAddr,
    /// Address at which peers fetch what this router knows.
    pub knowledge_address: SocketAddr,
    /// Port for datagrams between routers, the same on all VMs.
    pub datagram_port: u16,
    /// Port of the metrics.
    pub metrics_port: u16,
    /// Knowledge addresses of some peers; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Milliseconds from a planned stop until the platform ends the process.
    #[serde(rename = "stop_grace_ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub stop_grace: Duration,
    /// Milliseconds in which a leaving server must be known, from the answer of the store to its entry.
    #[serde(rename = "leaving_known_ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub leaving_known: Duration,
    /// Milliseconds in which a configuration must be in force, from the answer of the store to its writer.
    #[serde(rename = "config_known_ms")]
    #[serde_as(as = "DurationMilliSeconds<f64>")]
    pub config_known: Duration,
    /// Repeats that the fleet may send for each request.
    pub repeat_ratio: f64,
    /// Repeats that the fleet may send beyond that in any window of the budget.
    pub extra_repeats: f64,
    /// Filter of the log, such as `info`.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".to_owned()
}

impl DirectSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the file can't be read, or names the setting that is wrong.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let size = fs::metadata(path).context(ReadSnafu { path })?.len();
        if size > MAX_FILE_BYTES {
            return ValueSnafu {
                name: "(file)",
                value: format!("{size} bytes"),
                expected: "at most 64 KiB",
            }
            .fail();
        }
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] that names the setting that is wrong.
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)
            .map_err(Box::new)
            .context(ParseSnafu { path })?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the address at which this router receives datagrams.
    #[must_use]
    pub fn datagram_address(&self) -> SocketAddr {
        SocketAddr::new(self.own_ip(), self.datagram_port)
    }

    /// Returns the address of the metrics.
    #[must_use]
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.own_ip(), self.metrics_port)
    }

    /// Returns whether all addresses are those of other settings.
    pub(crate) fn has_addresses_of(&self, other: &Self) -> bool {
        self.callers_address == other.callers_address
            && self.readiness_address == other.readiness_address
            && self.knowledge_address == other.knowledge_address
            && self.datagram_port == other.datagram_port
            && self.metrics_port == other.metrics_port
            && self.store_address == other.store_address
    }

    fn own_ip(&self) -> IpAddr {
        self.knowledge_address.ip()
    }

    fn check(&self) -> Result<(), SettingsError> {
        require("node", &self.node, !self.node.is_empty(), "a name")?;
        require(
            "stop_grace_ms",
            &self.stop_grace.as_millis(),
            self.stop_grace >= Duration::from_secs(1),
            "at least 1000",
        )?;
        for (name, time) in [
            ("leaving_known_ms", self.leaving_known),
            ("config_known_ms", self.config_known),
        ] {
            require(name, &time.as_millis(), time >= MIN_KNOWN, "at least 100")?;
        }
        require(
            "repeat_ratio",
            &self.repeat_ratio,
            (0.0..=1.0).contains(&self.repeat_ratio),
            "0 to 1",
        )?;
        require(
            "extra_repeats",
            &self.extra_repeats,
            self.extra_repeats >= 0.0,
            "0 or more",
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
) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    let value = value.to_string();
    ValueSnafu {
        name,
        value,
        expected,
    }
    .fail()
}
