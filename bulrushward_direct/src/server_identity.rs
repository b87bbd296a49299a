//! Whether the process that sends a stream is the one that its entry describes.

use std::sync::Arc;

use crate::servers::{Server, ServerSet};

/// Compares a server with its current entry, whenever the entries have changed.
#[derive(Debug, Default)]
pub(crate) struct ServerIdentity {
    /// Entries that were compared last.
    checked: Option<Arc<ServerSet>>,
    is_replaced: bool,
}

impl ServerIdentity {
    /// Returns whether the server's id belongs to another incarnation or version now.
    pub(crate) fn is_replaced(&mut self, servers: &Arc<ServerSet>, server: &Server) -> bool {
        let is_checked = self
            .checked
            .as_ref()
            .is_some_and(|checked| Arc::ptr_eq(checked, servers));
        if !is_checked {
            self.is_replaced = servers.version_of(server) != server.version;
            self.checked = Some(Arc::clone(servers));
        }
        self.is_replaced
    }

    /// Begins anew with another server.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
