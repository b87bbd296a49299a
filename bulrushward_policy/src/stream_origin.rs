//! Which software version began a stream, as kept by the router that began it and a few others.
//!
//! Handles: callers that resume a stream at another router, also after the first one has died; lost messages; routers
//! that know different parts of the fleet; request ids that are used twice; floods of streams.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::server_scope::VersionKey;

/// Hash that identifies a stream in all routers.
pub type StreamKey = u128;

/// Number of other routers that are notified when a stream begins.
pub const HOLDERS: usize = 3;
/// Number of other routers that are asked for the origin of a stream.
///
/// It is larger than [`HOLDERS`], as routers that are lost or not known yet change the order.
pub const ASKED: usize = 6;
/// Largest number of streams that a router remembers, at roughly 110 bytes each.
const MAX_RECORDS: usize = 16_384;
/// Longest time for which a stream is remembered, whatever peers report.
const MAX_LIFE: Duration = Duration::from_mins(5);

/// Returns the key of the stream that began as a request of an organisation to a service.
///
/// It includes the organisation, so that no caller continues the stream of another organisation, and the service, as
/// versions of different services are not comparable.
#[must_use]
pub fn stream_key(service: &str, organisation: Option<&str>, request_id: &str) -> StreamKey {
    let mut hash = Xxh3::new();
    for part in [service, organisation.unwrap_or_default(), request_id] {
        hash.update(&part.len().to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest128()
}

/// Returns the indices of the `count` routers that come first for a stream, the first one first.
///
/// `routers` are hashes of their names; routers with the same view agree on the order.
#[must_use]
pub fn holders(routers: &[u64], stream: StreamKey, count: usize) -> Vec<usize> {
    let rank = |index: &usize| xxh3_64_with_seed(&routers[*index].to_le_bytes(), stream as u64);
    let mut indices: Vec<usize> = (0..routers.len()).collect();
    if count < indices.len() {
        indices.select_nth_unstable_by_key(count, rank);
        indices.truncate(count);
    }
    indices.sort_unstable_by_key(rank);
    indices
}

/// What a router knows about the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// A server of this version began it.
    Version {
        /// Version.
        version: VersionKey,
        /// Time since the router learnt it, in milliseconds.
        age_ms: u32,
    },
    /// The service has had this version only for longer than a stream lasts.
    OnlyVersion {
        /// Version.
        version: VersionKey,
    },
    /// Servers of different versions began streams with the same key.
    Contradictory,
    /// Nothing.
    NotKnown,
    /// No record, and the service has had several versions within the time of a stream.
    SeveralVersions,
}

impl Origin {
    /// Returns the version that began the stream, if that is known.
    #[must_use]
    pub fn version(self) -> Option<VersionKey> {
        match self {
            Self::Version { version, .. } | Self::OnlyVersion { version } => Some(version),
            Self::Contradictory | Self::NotKnown | Self::SeveralVersions => None,
        }
    }

    /// Returns what is known once the versions that have been registered `since` are known too; `None` if they are not.
    ///
    /// The view of a router lags, so that a stream may have begun at a version that was registered since.
    #[must_use]
    pub fn confirmed(self, since: Option<&[Option<VersionKey>]>) -> Self {
        let Self::OnlyVersion { version } = self else {
            return self;
        };
        match since {
            None => Self::NotKnown,
            Some(since) if since.iter().all(|later| *later == Some(version)) => self,
            Some(_) => Self::SeveralVersions,
        }
    }

    /// Combines this with the answer of another router; neither of them is a record.
    fn and_also(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotKnown, known) | (known, Self::NotKnown) => known,
            (one, same) if one == same => one,
            _ => Self::SeveralVersions,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// `None` if versions that contradict each other were recorded.
    version: Option<VersionKey>,
    since: Instant,
    until: Instant,
}

/// Origins of the streams that a router began or learnt of.
#[derive(Debug, Default)]
pub struct OriginRecords {
    by_stream: HashMap<StreamKey, Record>,
    /// Ends of the records in the order in which they were made.
    ends: VecDeque<(Instant, StreamKey)>,
}

impl OriginRecords {
    /// Records that a server of a version began a stream, or continues it, for `life`.
    ///
    /// The oldest records are dropped beyond a limit.
    pub fn record(&mut self, stream: StreamKey, version: VersionKey, life: Duration, now: Instant) {
        self.remove_ended(now);
        if self
            .by_stream
            .get(&stream)
            .is_some_and(|record| record.until <= now)
        {
            self.by_stream.remove(&stream);
        }
        let until = now + life.min(MAX_LIFE);
        let record = self.by_stream.entry(stream).or_insert(Record {
            version: Some(version),
            since: now,
            until,
        });
        if record.version != Some(version) {
            record.version = None;
        }
        record.until = record.until.max(until);
        let until = record.until;
        self.ends.push_back((until, stream));
        while self.ends.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    /// Returns the origin of a stream.
    #[must_use]
    pub fn get(&self, stream: StreamKey, now: Instant) -> Origin {
        let record = self.by_stream.get(&stream);
        match record.filter(|record| now < record.until) {
            None => Origin::NotKnown,
            Some(Record { version: None, .. }) => Origin::Contradictory,
            Some(Record {
                version: Some(version),
                since,
                ..
            }) => Origin::Version {
                version: *version,
                age_ms: now.saturating_duration_since(*since).as_millis() as u32,
            },
        }
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    fn remove_ended(&mut self, now: Instant) {
        while self.ends.front().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some((until, stream)) = self.ends.pop_front() else {
            return;
        };
        // A later entry of the same stream keeps its record.
        let is_last = |record: &Record| record.until <= until;
        if self.by_stream.get(&stream).is_some_and(is_last) {
            self.by_stream.remove(&stream);
        }
    }
}

/// Asks to several routers for the origin of one stream.
///
/// A record ends it. A single version is assumed only once no router that answers has a record or knows of another
/// version, as routers learn of a new version at different times.
#[derive(Clone, Debug)]
pub struct OriginQuery<K> {
    unanswered: Vec<K>,
    /// What is known without a record.
    known: Origin,
}

impl<K: Copy + PartialEq> OriginQuery<K> {
    /// Creates a query to some routers by one that has no record; `known` is what it knows about the versions.
    #[must_use]
    pub fn new(known: Origin, routers: Vec<K>) -> Self {
        Self {
            unanswered: routers,
            known,
        }
    }

    /// Returns the result if no further answer is awaited.
    #[must_use]
    pub fn result(&self) -> Origin {
        self.known
    }

    /// Returns the routers that have not answered.
    #[must_use]
    pub fn unanswered(&self) -> &[K] {
        &self.unanswered
    }

    /// Records an answer; returns the result once no further answer is awaited.
    ///
    /// Answers of routers that were not asked are ignored.
    pub fn answer(&mut self, from: K, origin: Origin) -> Option<Origin> {
        let index = self.unanswered.iter().position(|router| *router == from)?;
        self.unanswered.swap_remove(index);
        if matches!(origin, Origin::Version { .. } | Origin::Contradictory) {
            return Some(origin);
        }
        self.known = self.known.and_also(origin);
        self.unanswered.is_empty().then_some(self.known)
    }
}
