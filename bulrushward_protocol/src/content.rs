//! Content of requests that may crash backend servers.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::Display;

/// Hash of content.
pub type ContentHash = u128;

/// Kind of content.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ContentKind {
    /// A whole request.
    Request,
    /// A part of a prompt.
    Part,
}

/// Content by which requests that crash servers are recognised.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Content {
    /// Kind.
    pub kind: ContentKind,
    /// Hash.
    pub hash: ContentHash,
}

impl Content {
    /// Returns the content of a whole request.
    #[must_use]
    pub fn request(hash: ContentHash) -> Self {
        Self {
            kind: ContentKind::Request,
            hash,
        }
    }

    /// Returns a part of a prompt.
    #[must_use]
    pub fn part(hash: ContentHash) -> Self {
        Self {
            kind: ContentKind::Part,
            hash,
        }
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.kind, self.hash)
    }
}

/// Hash of the organisation that sent content.
pub type OrganisationHash = u32;

/// Hash that identifies one incarnation of a backend server.
pub type ServerKey = u32;

/// Report of a process to peers about content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Content.
    pub content: Content,
    /// Organisation that sent it.
    pub organisation: OrganisationHash,
    /// Servers that crashed, with the age of each crash in milliseconds.
    pub crashes: Vec<(ServerKey, u32)>,
    /// Age of the latest complete response to a request with the content, in milliseconds.
    pub served_ms: Option<u32>,
    /// Age of the probe in progress, in milliseconds.
    pub probe_ms: Option<u32>,
}
