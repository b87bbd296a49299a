//! Servers at which a request may still run.
//!
//! Handles: streams that continue after their server failed or stopped responding, or that callers resume, while
//! servers run several software versions. The output of two versions does not fit together, so a stream continues only
//! at the version that began it.

use strum::IntoStaticStr;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a version of a service's software; versions of different services are not compared.
pub type VersionKey = u64;

/// Returns the key of a version.
#[must_use]
pub fn version_key(version: &str) -> VersionKey {
    xxh3_64(version.as_bytes())
}

/// Software versions at which a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionBound {
    /// No event has been sent yet.
    Any,
    /// The stream began at this version.
    Only(VersionKey),
    /// The stream began at a version that is not known.
    Unknown,
}

impl VersionBound {
    /// Returns the bound of a stream that began at a version, if that is known.
    #[must_use]
    pub fn begun_at(version: Option<VersionKey>) -> Self {
        version.map_or(Self::Unknown, Self::Only)
    }

    /// Returns whether a server with this version may run the request; `None` if its entry states none.
    #[must_use]
    pub fn admits(self, version: Option<VersionKey>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(own) => version == Some(own),
            Self::Unknown => false,
        }
    }
}

/// Why a server may not run a request.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// It has received the request before.
    Tried,
    /// The stream began at another version.
    OtherVersion,
    /// The stream began at a version that is not known.
    VersionUnknown,
}

/// Servers at which a request may still run; each choice of a server takes one.
#[derive(Clone, Debug)]
pub struct ServerScope {
    version: VersionBound,
    /// Ids of the servers that have received the request.
    tried: Vec<String>,
}

impl ServerScope {
    /// Creates the scope of a request that no server has received yet.
    #[must_use]
    pub fn new(version: VersionBound) -> Self {
        Self {
            version,
            tried: Vec::new(),
        }
    }

    /// Returns the same scope without the servers that have received the request.
    #[must_use]
    pub fn untried(&self) -> Self {
        Self::new(self.version)
    }

    /// Returns the versions at which the request may run.
    #[must_use]
    pub fn version(&self) -> VersionBound {
        self.version
    }

    /// Records that a server receives the request.
    pub fn record_tried(&mut self, server: &str) {
        self.tried.push(server.to_owned());
    }

    /// Records that the first event of a stream was sent by a server of this version, if that is known.
    ///
    /// A resumed stream keeps the version that began it.
    pub fn begin(&mut self, version: Option<VersionKey>) {
        if self.version == VersionBound::Any {
            self.version = VersionBound::begun_at(version);
        }
    }

    /// Records that another process may have sent the latest event, so that the version of the stream is not known.
    pub fn forget_version(&mut self) {
        self.version = VersionBound::Unknown;
    }

    /// Checks that a server may run the request.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if it may not.
    pub fn check(&self, server: &str, version: Option<VersionKey>) -> Result<(), Exclusion> {
        if self.tried.iter().any(|tried| tried == server) {
            return Err(Exclusion::Tried);
        }
        if self.version.admits(version) {
            return Ok(());
        }
        Err(match self.version {
            VersionBound::Unknown => Exclusion::VersionUnknown,
            VersionBound::Any | VersionBound::Only(_) => Exclusion::OtherVersion,
        })
    }
}
