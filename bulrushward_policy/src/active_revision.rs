//! Which configuration revision is in force.

use bulrushward_protocol::Revision;

/// Adopts a revision only if it is higher than the one in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ActiveRevision {
    revision: Revision,
}

impl ActiveRevision {
    /// Returns the revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Puts a revision in force if it is higher; returns whether it did.
    #[must_use]
    pub fn adopt(&mut self, revision: Revision) -> bool {
        let is_newer = revision > self.revision;
        if is_newer {
            self.revision = revision;
        }
        is_newer
    }

    /// Returns whether a peer with this revision is to be sent the one in force.
    #[must_use]
    pub fn is_newer_than(&self, peer: Revision) -> bool {
        self.revision > peer
    }
}
