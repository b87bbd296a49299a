//! The head record: the one key that is compared and swapped.

use bulrushward_protocol::Revision;
use serde::{Deserialize, Serialize};

use crate::{Digest, Manifest};

/// Key of the head record.
pub(crate) const HEAD_KEY: &str = "bulrushward/config/head";

/// Points at an audit entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Link {
    /// Revision of the entry.
    pub(crate) revision: Revision,
    /// Digest of the entry.
    pub(crate) audit: Digest,
}

/// The newest revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Parts of the revision.
    pub(crate) manifest: Manifest,
    /// Its audit entry.
    pub(crate) audit: Digest,
}

impl Head {
    /// Points at the audit entry of this revision.
    pub(crate) fn link(&self) -> Link {
        Link {
            revision: self.manifest.revision,
            audit: self.audit,
        }
    }
}
