//! Reads and watches revisions.

use std::{
    collections::HashMap,
    fmt::Display,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bulrushward_clients::{Entry, KeyValue, Version};
use bulrushward_protocol::{Revision, decode};
use futures_util::{StreamExt, TryStreamExt, stream};
use tokio::time::Instant;

use crate::{
    AcceptedRevision, AuditEntry, ChunkRef, Digest, Manifest, RevisionsError,
    audit::AuditTrail,
    blobs::{BlobStore, retry},
    chunks::format_digest,
    head::{HEAD_KEY, Head},
};

/// Maximum number of chunks that are read or written concurrently.
pub(crate) const PARALLEL_CHUNKS: usize = 8;

/// A head record and the version of its key.
#[derive(Clone, Debug)]
pub(crate) struct VersionedHead {
    pub(crate) version: Version,
    pub(crate) head: Head,
}

/// The newest known revision, and the version of the head key when it was last loaded.
#[derive(Clone, Debug)]
struct CachedRevision {
    version: Version,
    accepted: AcceptedRevision,
}

/// Store of the accepted revisions in the key-value service.
#[derive(Debug)]
pub struct RevisionStore {
    pub(crate) kv: Arc<dyn KeyValue>,
    pub(crate) blobs: BlobStore,
    pub(crate) audit: AuditTrail,
    cache: Mutex<Option<CachedRevision>>,
}

impl RevisionStore {
    /// Creates a store over a key-value service.
    #[must_use]
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        let blobs = BlobStore::new(Arc::clone(&kv));
        Self {
            kv,
            audit: AuditTrail::new(blobs.clone()),
            blobs,
            cache: Mutex::new(None),
        }
    }

    /// Reads the newest revision, or `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not respond or a record is damaged.
    pub async fn current(&self) -> Result<Option<AcceptedRevision>, RevisionsError> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        self.load(&head).await.map(Some)
    }

    /// Waits until there is a revision above `after` and returns it, or `None` after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not respond or a record is damaged.
    pub async fn watch(
        &self,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<AcceptedRevision>, RevisionsError> {
        let deadline = Instant::now() + timeout;
        let mut version = match self.cached() {
            Some(cached) if cached.accepted.revision > after => return Ok(Some(cached.accepted)),
            cached => cached.map_or(0, |cached| cached.version),
        };
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let changed = self.kv.watch(HEAD_KEY, version, remaining).await;
            let changed = changed.map_err(|source| RevisionsError::Read { source })?;
            let Some(entry) = changed else {
                return Ok(None);
            };
            let head = decode_head(&entry)?;
            version = head.version;
            if head.head.manifest.revision > after {
                return self.load(&head).await.map(Some);
            }
        }
    }

    /// Reads the newest entries of the audit trail, newest first.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not respond or a record is damaged.
    pub async fn history(&self, limit: usize) -> Result<Vec<AuditEntry>, RevisionsError> {
        let mut next = self.head().await?.map(|head| head.head.link());
        let mut entries = Vec::new();
        while let Some(link) = next
            && entries.len() < limit
        {
            let record = self.audit.read(link).await?;
            next = record.previous;
            entries.push(record.into());
        }
        Ok(entries)
    }

    /// Reads the revision with the given number, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not respond or a record is damaged.
    pub async fn revision(
        &self,
        revision: Revision,
    ) -> Result<Option<AcceptedRevision>, RevisionsError> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        match self.audit.find(head.head.link(), revision).await? {
            Some(record) => self.assemble(&record.manifest).await.map(Some),
            None => Ok(None),
        }
    }

    /// Reads a chunk of any accepted text.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not respond or the chunk is damaged.
    pub async fn chunk(&self, digest: &Digest) -> Result<Arc<str>, RevisionsError> {
        if let Some(cached) = self.cached()
            && let Some(chunk) = cached.accepted.chunk(digest)
        {
            return Ok(chunk.into());
        }
        let bytes = self.blobs.read(digest).await?;
        let text = str::from_utf8(&bytes)
            .map_err(|error| damaged_record(&format_digest(digest), &error))?;
        Ok(text.into())
    }

    /// Caches a revision received from another process, so that its chunks need not be read.
    pub fn cache_revision(&self, accepted: &AcceptedRevision) {
        let mut cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let version = cached.as_ref().map_or(0, |cached| cached.version);
        if cached
            .as_ref()
            .is_none_or(|cached| cached.accepted.revision < accepted.revision)
        {
            let accepted = accepted.clone();
            *cached = Some(CachedRevision { version, accepted });
        }
    }

    pub(crate) async fn head(&self) -> Result<Option<VersionedHead>, RevisionsError> {
        let entry = retry(|| self.kv.get(HEAD_KEY))
            .await
            .map_err(|source| RevisionsError::Read { source })?;
        entry.as_ref().map(decode_head).transpose()
    }

    /// Reads the revision of a head record and caches it.
    pub(crate) async fn load(
        &self,
        head: &VersionedHead,
    ) -> Result<AcceptedRevision, RevisionsError> {
        let manifest = &head.head.manifest;
        let known = self.cached().filter(|cached| {
            cached.accepted.revision == manifest.revision
                && cached.accepted.submission == manifest.submission
        });
        let accepted = match known {
            Some(known) => known.accepted,
            None => self.assemble(manifest).await?,
        };
        Ok(self.update_cache(head, accepted))
    }

    pub(crate) async fn assemble(
        &self,
        manifest: &Manifest,
    ) -> Result<AcceptedRevision, RevisionsError> {
        let chunk_refs: Vec<ChunkRef> = manifest.chunks.clone();
        let chunks: HashMap<Digest, Arc<str>> = stream::iter(chunk_refs)
            .map(|chunk| async move {
                let content = self.chunk(&chunk.digest).await?;
                Ok::<_, RevisionsError>((chunk.digest, content))
            })
            .buffer_unordered(PARALLEL_CHUNKS)
            .try_collect()
            .await?;
        AcceptedRevision::assemble(manifest, &|digest| chunks.get(digest).cloned())
            .map_err(|error| damaged_record(HEAD_KEY, &error))
    }

    fn cached(&self) -> Option<CachedRevision> {
        let cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cached.clone()
    }

    /// Caches a revision unless it is older than the cached one, and returns it.
    pub(crate) fn update_cache(
        &self,
        head: &VersionedHead,
        accepted: AcceptedRevision,
    ) -> AcceptedRevision {
        let mut cached = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let is_older = cached
            .as_ref()
            .is_some_and(|cached| cached.accepted.revision > accepted.revision);
        if !is_older {
            let version = head.version;
            let accepted = accepted.clone();
            *cached = Some(CachedRevision { version, accepted });
        }
        accepted
    }
}

fn decode_head(entry: &Entry) -> Result<VersionedHead, RevisionsError> {
    let head = decode(&entry.value).map_err(|error| damaged_record(HEAD_KEY, &error))?;
    let version = entry.version;
    Ok(VersionedHead { version, head })
}

pub(crate) fn damaged_record(key: &str, error: &dyn Display) -> RevisionsError {
    RevisionsError::Damaged {
        key: key.to_owned(),
        detail: error.to_string(),
    }
}
