//! Which entries of a server may be of the same process.
//!
//! Handles: entries that lack the start of their server, or name it for the first time. A missing start proves nothing,
//! so such an entry is assumed to be of the same process as the previous one.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::session_locations::ServerKey;

/// Hash of the id of a server, which it may keep when it restarts.
pub type IdKey = u64;

/// A server as its entry describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryKey {
    /// Id.
    pub id: IdKey,
    /// Id and start.
    pub server: ServerKey,
    /// Whether the entry names the start.
    pub names_start: bool,
    /// Address.
    pub address: SocketAddr,
}

/// The entries of one id.
#[derive(Clone, Copy, Debug)]
struct Entries {
    latest: EntryKey,
    /// The latest one that names a start.
    named: Option<ServerKey>,
    /// The one without a start, if it may be of the latest process.
    unnamed: Option<ServerKey>,
    last_known: Instant,
}

/// The entries of all servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Incarnations {
    by_id: HashMap<IdKey, Entries>,
    /// Another entry that may be of the same process.
    other: HashMap<ServerKey, ServerKey>,
}

impl Incarnations {
    /// Records that an entry is registered; returns the one that it replaces, if the server has restarted at its address.
    pub(super) fn observe(&mut self, entry: EntryKey, now: Instant) -> Option<ServerKey> {
        let known = self.by_id.entry(entry.id).or_insert(Entries {
            latest: entry,
            named: None,
            unnamed: None,
            last_known: now,
        });
        known.last_known = now;
        let mut replaced = None;
        if !entry.names_start {
            known.unnamed = Some(entry.server);
            if let Some(named) = known.named {
                self.other.insert(entry.server, named);
            }
        } else if !known.latest.names_start {
            self.other
                .extend(known.unnamed.map(|unnamed| (entry.server, unnamed)));
            known.named = Some(entry.server);
        } else if known.named != Some(entry.server) {
            // It has restarted.
            replaced = (known.latest.address == entry.address).then_some(known.latest.server);
            self.other.remove(&entry.server);
            known.named = Some(entry.server);
            known.unnamed = None;
        }
        known.latest = entry;
        replaced
    }

    /// Returns the keys under which the process of an entry may have reported something.
    pub(super) fn keys(&self, server: ServerKey) -> impl Iterator<Item = ServerKey> {
        [Some(server), self.other.get(&server).copied()]
            .into_iter()
            .flatten()
    }

    /// Forgets the entries that have not been registered for `time`.
    pub(super) fn remove_older(&mut self, time: Duration, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < time;
        let other = &mut self.other;
        self.by_id.retain(|_, known| {
            let is_kept = is_recent(known.last_known);
            if !is_kept {
                for server in [known.named, known.unnamed].into_iter().flatten() {
                    other.remove(&server);
                }
            }
            is_kept
        });
    }
}
