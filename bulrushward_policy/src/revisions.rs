//! Which configuration revision is in force.

use bulrushward_protocol::Revision;

/// Adopts a revision only if it is higher than the one in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revisions {
    in_force: Revision,
}

impl Revisions {
    /// Returns the revision in force; 0 before the first.
    #[must_use]
    pub fn in_force(&self) -> Revision {
        self.in_force
    }

    /// Puts a revision in force if it is higher; returns whether it did.
    #[must_use]
    pub fn adopt(&mut self, revision: Revision) -> bool {
        let newer = revision > self.in_force;
        if newer {
            self.in_force = revision;
        }
        newer
    }

    /// Returns whether a peer with this revision is to be sent the one in force.
    #[must_use]
    pub fn is_newer_than(&self, peer: Revision) -> bool {
        self.in_force > peer
    }
}
