//! Reading and watching revisions.

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
    blobs::{Blobs, retry},
    chunks::format_digest,
    head::{HEAD_KEY, Head},
};

/// Chunks that are read or written at the same time.
pub(crate) const PARALLEL_CHUNKS: usize = 8;
/// A head and the version of its key.
#[derive(Clone, Debug)]
pub(crate) struct VersionedHead {
    pub(crate) version: Version,
    pub(crate) head: Head,
}

/// The newest revision that was read.
#[derive(Clone, Debug)]
struct Snapshot {
    version: Version,
    accepted: AcceptedRevision,
}

/// The accepted revisions in the key-value service.
#[derive(Debug)]
pub struct RevisionStore {
    pub(crate) kv: Arc<dyn KeyValue>,
    pub(crate) blobs: Blobs,
    pub(crate) audit: AuditTrail,
    newest: Mutex<Option<Snapshot>>,
}

impl RevisionStore {
    /// Creates a store over a key-value service.
    #[must_use]
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        let blobs = Blobs::new(Arc::clone(&kv));
        Self {
            kv,
            audit: AuditTrail::new(blobs.clone()),
            blobs,
            newest: Mutex::new(None),
        }
    }

    /// Reads the newest revision, or `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not answer or a record is damaged.
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
    /// Returns [`RevisionsError`] if the service does not answer or a record is damaged.
    pub async fn watch(
        &self,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<AcceptedRevision>, RevisionsError> {
        let deadline = Instant::now() + timeout;
        let mut version = match self.newest() {
            Some(newest) if newest.accepted.revision > after => return Ok(Some(newest.accepted)),
            newest => newest.map_or(0, |newest| newest.version),
        };
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let changed = self.kv.watch(HEAD_KEY, version, left).await;
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

    /// Reads the newest entries of the audit trail, the newest first.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not answer or a record is damaged.
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

    /// Reads an earlier revision, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not answer or a record is damaged.
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

    /// Reads one chunk of any accepted text.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError`] if the service does not answer or the chunk is damaged.
    pub async fn chunk(&self, digest: &Digest) -> Result<Arc<str>, RevisionsError> {
        if let Some(newest) = self.newest()
            && let Some(chunk) = newest.accepted.chunk(digest)
        {
            return Ok(chunk.into());
        }
        let bytes = self.blobs.read(digest).await?;
        let text =
            str::from_utf8(&bytes).map_err(|error| damaged(&format_digest(digest), &error))?;
        Ok(text.into())
    }

    /// Takes over a revision that another process handed on, so that its chunks are not read.
    pub fn cache_revision(&self, accepted: &AcceptedRevision) {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let version = newest.as_ref().map_or(0, |newest| newest.version);
        if newest
            .as_ref()
            .is_none_or(|newest| newest.accepted.revision < accepted.revision)
        {
            let accepted = accepted.clone();
            *newest = Some(Snapshot { version, accepted });
        }
    }

    pub(crate) async fn head(&self) -> Result<Option<VersionedHead>, RevisionsError> {
        let entry = retry(|| self.kv.get(HEAD_KEY))
            .await
            .map_err(|source| RevisionsError::Read { source })?;
        entry.as_ref().map(decode_head).transpose()
    }

    /// Reads the text of a head and keeps it as the newest.
    pub(crate) async fn load(
        &self,
        head: &VersionedHead,
    ) -> Result<AcceptedRevision, RevisionsError> {
        let manifest = &head.head.manifest;
        let known = self.newest().filter(|newest| {
            newest.accepted.revision == manifest.revision
                && newest.accepted.submission == manifest.submission
        });
        let accepted = match known {
            Some(known) => known.accepted,
            None => self.assemble(manifest).await?,
        };
        Ok(self.keep(head, accepted))
    }

    pub(crate) async fn assemble(
        &self,
        manifest: &Manifest,
    ) -> Result<AcceptedRevision, RevisionsError> {
        let wanted: Vec<ChunkRef> = manifest.chunks.clone();
        let chunks: HashMap<Digest, Arc<str>> = stream::iter(wanted)
            .map(|chunk| async move {
                let content = self.chunk(&chunk.digest).await?;
                Ok::<_, RevisionsError>((chunk.digest, content))
            })
            .buffer_unordered(PARALLEL_CHUNKS)
            .try_collect()
            .await?;
        AcceptedRevision::assemble(manifest, &|digest| chunks.get(digest).cloned())
            .map_err(|error| damaged(HEAD_KEY, &error))
    }

    fn newest(&self) -> Option<Snapshot> {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.clone()
    }

    /// Keeps a revision if it is not older than the one kept.
    pub(crate) fn keep(
        &self,
        head: &VersionedHead,
        accepted: AcceptedRevision,
    ) -> AcceptedRevision {
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        let older = newest
            .as_ref()
            .is_some_and(|newest| newest.accepted.revision > accepted.revision);
        if !older {
            let version = head.version;
            let accepted = accepted.clone();
            *newest = Some(Snapshot { version, accepted });
        }
        accepted
    }
}

fn decode_head(entry: &Entry) -> Result<VersionedHead, RevisionsError> {
    let head = decode(&entry.value).map_err(|error| damaged(HEAD_KEY, &error))?;
    let version = entry.version;
    Ok(VersionedHead { version, head })
}

pub(crate) fn damaged(key: &str, error: &dyn Display) -> RevisionsError {
    RevisionsError::Damaged {
        key: key.to_owned(),
        detail: error.to_string(),
    }
}
