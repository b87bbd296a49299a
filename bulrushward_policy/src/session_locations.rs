//! Which backend servers are believed to have a session's prompt cached.
//!
//! Pattern answered: sessions that return through other routers than before, and servers that join: without
//! a memory of where a session was read, each change of the server list makes servers read long prompts
//! again that another one still has.

use std::num::NonZeroUsize;

use lru::LruCache;

/// Key of a session: its shared part of the prompt.
pub type SessionKey = u64;
/// Short name of one incarnation of a backend server.
pub type ServerKey = u32;

/// Servers that are remembered for a session, the latest first; a hot session is spread over a few.
const MAX_SERVERS: usize = 4;

/// The latest servers of the sessions that were used last.
#[derive(Debug)]
pub struct SessionLocations {
    by_session: LruCache<SessionKey, [Option<ServerKey>; MAX_SERVERS]>,
}

impl SessionLocations {
    /// Creates an empty memory of at most `capacity` sessions.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        // The table grows with its use, as most routers see few sessions.
        let mut by_session = LruCache::unbounded();
        by_session.resize(capacity);
        Self { by_session }
    }

    /// Takes in that a server reads a session's prompt; returns whether that is news.
    pub fn record(&mut self, session: SessionKey, server: ServerKey) -> bool {
        let servers = self.by_session.get_or_insert_mut(session, Default::default);
        let known = servers.iter().position(|entry| *entry == Some(server));
        let end = known.unwrap_or(MAX_SERVERS - 1);
        servers[..=end].rotate_right(1);
        servers[0] = Some(server);
        known.is_none()
    }

    /// Returns whether anything is known of a session.
    #[must_use]
    pub fn contains(&self, session: SessionKey) -> bool {
        self.by_session.contains(&session)
    }

    /// Returns the servers that are believed to have a session's prompt, the latest first.
    pub fn servers(&self, session: SessionKey) -> impl Iterator<Item = ServerKey> {
        self.by_session
            .peek(&session)
            .into_iter()
            .flatten()
            .filter_map(|entry| *entry)
    }

    /// Returns sessions with their servers, the sessions used last first and the servers latest first.
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

    /// Returns the number of sessions that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_session.len()
    }

    /// Returns whether no session is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }
}
