//! Which backend servers are expected to have a session's prompt cached.
//!
//! Handles: sessions that return through another router, and servers that join. Without a record of
//! where a session's prompt was prefilled, each change of the server list would make servers
//! prefill long prompts that another server still has cached.

use std::num::NonZeroUsize;

pub use bulrushward_protocol::ServerKey;
use lru::LruCache;

/// Key of a session, derived from the part of the prompt that its requests share.
pub type SessionKey = u64;

/// Servers that are kept for each session; more than one, since a hot session spreads over several.
const MAX_SERVERS: usize = 4;

/// The latest servers of the most recently used sessions.
#[derive(Debug)]
pub struct SessionLocations {
    /// Servers of each session, latest first.
    by_session: LruCache<SessionKey, [Option<ServerKey>; MAX_SERVERS]>,
}

impl SessionLocations {
    /// Creates an empty record of at most `capacity` sessions.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        // `LruCache::new` would allocate the full capacity, but most routers see few sessions.
        let mut by_session = LruCache::unbounded();
        by_session.resize(capacity);
        Self { by_session }
    }

    /// Records that a server prefills a session's prompt; returns whether this location is new.
    pub fn record(&mut self, session: SessionKey, server: ServerKey) -> bool {
        let servers = self.by_session.get_or_insert_mut(session, Default::default);
        let known = servers.iter().position(|entry| *entry == Some(server));
        let end = known.unwrap_or(MAX_SERVERS - 1);
        servers[..=end].rotate_right(1);
        servers[0] = Some(server);
        known.is_none()
    }

    /// Removes a server that has lost its cached prompts.
    pub fn forget(&mut self, server: ServerKey) {
        for (_, servers) in &mut self.by_session {
            for entry in servers.iter_mut().filter(|entry| **entry == Some(server)) {
                *entry = None;
            }
        }
    }

    /// Returns whether any server is known for a session.
    #[must_use]
    pub fn contains(&self, session: SessionKey) -> bool {
        self.by_session.contains(&session)
    }

    /// Returns the servers that are expected to have a session's prompt cached, latest first.
    pub fn servers(&self, session: SessionKey) -> impl Iterator<Item = ServerKey> {
        self.by_session
            .peek(&session)
            .into_iter()
            .flatten()
            .filter_map(|entry| *entry)
    }

    /// Returns all locations, the most recently used session and its latest server first.
    pub fn latest(&self) -> impl Iterator<Item = (SessionKey, ServerKey)> {
        let pairs = |(session, servers): (&SessionKey, &[Option<ServerKey>; MAX_SERVERS])| {
            let session = *session;
            servers
                .iter()
                .flatten()
                .map(move |server| (session, *server))
                .collect::<Vec<_>>()
        };
        self.by_session.iter().flat_map(pairs)
    }

    /// Returns the number of known sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_session.len()
    }

    /// Returns whether no session is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }
}
