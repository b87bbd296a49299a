//! The active configuration revision of a process.

use bulrushward_protocol::Revision;

/// The active revision, which never decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveRevision {
    revision: Revision,
}

impl ActiveRevision {
    /// Returns the active revision, or 0 before the first one is adopted.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Makes a revision the active one if it is higher; returns whether it was.
    #[must_use]
    pub fn adopt(&mut self, revision: Revision) -> bool {
        let is_newer = revision > self.revision;
        if is_newer {
            self.revision = revision;
        }
        is_newer
    }

    /// Returns whether a peer with this revision lags behind and needs the active one.
    #[must_use]
    pub fn is_newer_than(&self, peer: Revision) -> bool {
        self.revision > peer
    }
}
