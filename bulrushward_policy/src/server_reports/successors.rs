//! Reports of processes that have replaced a registered one before their own entry is known.
//!
//! Handles: servers that restart at their address under their id and report something at once, while the store's word of
//! the restart is in transit; processes that follow each other without an entry; listeners that a leaving process closes
//! before its connections.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{
    ServerReport,
    record::{Leaving, Record},
};
use crate::session_locations::ServerKey;

/// A registered process at whose address none listened.
#[derive(Clone, Debug)]
struct Replaced {
    refused: Instant,
    /// What the process behind later connections has reported.
    successor: Option<Record>,
}

/// Reports of unregistered processes, by the registered one that they have replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct Successors {
    replaced: HashMap<ServerKey, Replaced>,
}

impl Successors {
    /// Records that no process listened at the address of a server, so that earlier reports are of one that has ended.
    pub(super) fn record_refused(&mut self, server: ServerKey, now: Instant) {
        let replaced = Replaced {
            refused: now,
            successor: None,
        };
        self.replaced.insert(server, replaced);
    }

    /// Records what a response states on a connection that was opened at `opened`.
    ///
    /// A process may close its listener long before its connections, so that only later ones are of another process.
    pub(super) fn record(
        &mut self,
        server: ServerKey,
        report: &ServerReport,
        opened: Instant,
        now: Instant,
    ) {
        if let Some(replaced) = self.replaced.get_mut(&server)
            && replaced.refused < opened
            && *report != ServerReport::default()
        {
            let record = replaced.successor.get_or_insert_with(|| Record::new(now));
            // What a response lacks proves nothing here.
            record.apply(report, None, now);
        }
    }

    /// Removes and returns what the process has reported that has replaced a registered one.
    pub(super) fn take(&mut self, server: ServerKey) -> Option<Record> {
        let mut record = self.replaced.remove(&server)?.successor?;
        if let Leaving::Announced(at) = record.leaving {
            record.leaving = Leaving::Inherited(at);
        }
        Some(record)
    }

    /// Forgets the processes that have been replaced for `time`.
    pub(super) fn remove_older(&mut self, time: Duration, now: Instant) {
        self.replaced
            .retain(|_, replaced| now.saturating_duration_since(replaced.refused) < time);
    }
}
