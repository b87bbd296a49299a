//! Addresses that load may be sent to.

use std::{fmt, net::IpAddr, str::FromStr};

use reqwest::Url;
use snafu::Snafu;

/// A target that is not allowed.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum TargetError {
    /// The text is not an HTTP URL.
    #[snafu(display("target {text:?} is not a URL such as http://127.0.0.1:8080"))]
    NotUrl {
        /// The text.
        text: String,
    },
    /// The host is not an IP address of the loopback interface.
    #[snafu(display(
        "target {text:?} has host {host:?}; load is sent only to loopback IP addresses"
    ))]
    NotLoopback {
        /// The text.
        text: String,
        /// Its host.
        host: String,
    },
}

/// The base URL of a router or backend server on the loopback interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    base: String,
}

impl Target {
    /// Returns the URL of a path, which begins with a slash.
    #[must_use]
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.base)
    }
}

impl FromStr for Target {
    type Err = TargetError;

    fn from_str(text: &str) -> Result<Self, TargetError> {
        let not_url = || TargetError::NotUrl {
            text: text.to_owned(),
        };
        let url = Url::parse(text).map_err(|_not_parsed| not_url())?;
        if url.scheme() != "http" || url.query().is_some() || url.fragment().is_some() {
            return Err(not_url());
        }
        let host = url.host_str().ok_or_else(not_url)?;
        // A host name could resolve to another machine, so only IP addresses are accepted.
        let address: Result<IpAddr, _> = host.trim_matches(['[', ']']).parse();
        if !address.is_ok_and(|address| address.is_loopback()) {
            return Err(TargetError::NotLoopback {
                text: text.to_owned(),
                host: host.to_owned(),
            });
        }
        Ok(Self {
            base: url.as_str().trim_end_matches('/').to_owned(),
        })
    }
}
