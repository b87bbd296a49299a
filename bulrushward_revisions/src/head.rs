//! The head record, which refers to the newest revision and is replaced by compare-and-swap.

use bulrushward_protocol::Revision;
use serde::{Deserialize, Serialize};

use crate::{Digest, Manifest};

/// Key of the head record.
pub(crate) const HEAD_KEY: &str = "bulrushward/config/head";

/// Reference to an audit entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditLink {
    /// Revision of the entry.
    pub(crate) revision: Revision,
    /// Digest of the entry.
    pub(crate) audit: Digest,
}

/// Head record of the newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Manifest of the revision.
    pub(crate) manifest: Manifest,
    /// Digest of the audit entry of the revision.
    pub(crate) audit: Digest,
}

impl Head {
    /// Returns the reference to the audit entry of this revision.
    pub(crate) fn link(&self) -> AuditLink {
        AuditLink {
            revision: self.manifest.revision,
            audit: self.audit,
        }
    }
}
