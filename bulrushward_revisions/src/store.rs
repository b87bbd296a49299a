//! Reading, watching and submitting revisions.

use std::{
    collections::HashMap,
    fmt::Display,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushward_platform::{CasOutcome, Entry, KeyValue, KvError, Version};
use bulrushward_protocol::{Revision, decode, encode};
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use tokio::time::Instant;

use crate::{
    Accepted, AuditEntry, ChunkRef, Digest, Manifest, RevisionsError,
    audit::{AuditTrail, bounded_diff},
    blobs::{ATTEMPTS, Blobs, pause, retry},
    chunks::{MAX_TEXT_BYTES, chunk_refs, format_digest},
    head::{HEAD_KEY, Head},
};

/// Chunks that are read or written at the same time.
const PARALLEL_CHUNKS: usize = 8;
/// Largest author or reason in bytes.
const MAX_NOTE_BYTES: usize = 4 << 10;

/// A text that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Revision that the text was edited from, 0 for the first text.
    pub base: Revision,
    /// The whole text.
    pub text: Arc<str>,
    /// Who submits it.
    pub author: String,
    /// Why.
    pub why: String,
    /// Id chosen by the submitter; a repeat carries the same id.
    pub submission: u128,
    /// When it was submitted.
    pub at: SystemTime,
}

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The submission is this revision, accepted now or by an earlier copy of the submission.
    Accepted(Accepted),
    /// The text is the same as that of this newest revision; nothing was written.
    Unchanged(Accepted),
    /// Others have gone on from the base; this is the newest revision.
    Conflict(Accepted),
}

/// A head and the version of its key.
#[derive(Clone, Debug)]
struct VersionedHead {
    version: Version,
    head: Head,
}

/// The newest revision that was read.
#[derive(Clone, Debug)]
struct Snapshot {
    version: Version,
    accepted: Accepted,
}

/// The accepted revisions in the key-value service.
#[derive(Debug)]
pub struct RevisionStore {
    kv: Arc<dyn KeyValue>,
    blobs: Blobs,
    audit: AuditTrail,
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
    pub async fn current(&self) -> Result<Option<Accepted>, RevisionsError> {
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
    ) -> Result<Option<Accepted>, RevisionsError> {
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

    /// Submits a text.
    ///
    /// The same submission may be sent any number of times, also through different processes; it
    /// becomes at most one revision.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError::Unknown`] if it is not known whether the submission was accepted;
    /// any other error means that this call did not get it accepted.
    pub async fn submit(&self, submission: Submission) -> Result<SubmitOutcome, RevisionsError> {
        check_fields(&submission)?;
        let mut unanswered = None;
        for attempt in 1..=ATTEMPTS {
            match self.try_submit(&submission).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(RevisionsError::Unknown { source, .. }) => {
                    unanswered = Some(source);
                    pause(attempt).await;
                }
                // An earlier write without an answer may still take effect.
                Err(error) => {
                    return Err(match unanswered {
                        Some(source) => unknown(&submission, source),
                        None => error,
                    });
                }
            }
        }
        let source = unanswered.unwrap_or_else(|| KvError::Unavailable {
            key: HEAD_KEY.to_owned(),
            detail: format!("the key changed under each of {ATTEMPTS} attempts"),
        });
        Err(unknown(&submission, source))
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
    pub async fn revision(&self, revision: Revision) -> Result<Option<Accepted>, RevisionsError> {
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
    pub fn remember(&self, accepted: &Accepted) {
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

    async fn head(&self) -> Result<Option<VersionedHead>, RevisionsError> {
        let entry = retry(|| self.kv.get(HEAD_KEY))
            .await
            .map_err(|source| RevisionsError::Read { source })?;
        entry.as_ref().map(decode_head).transpose()
    }

    /// Submits once; `None` if the head has changed meanwhile.
    async fn try_submit(
        &self,
        submission: &Submission,
    ) -> Result<Option<SubmitOutcome>, RevisionsError> {
        let head = self.head().await?;
        if let Some(outcome) = self.settle(submission, head.as_ref()).await? {
            return Ok(Some(outcome));
        }
        let accepted = self.accept(submission, head).await?;
        Ok(accepted.map(SubmitOutcome::Accepted))
    }

    /// Decides a submission that needs no write: an accepted, unchanged or late one.
    async fn settle(
        &self,
        submission: &Submission,
        head: Option<&VersionedHead>,
    ) -> Result<Option<SubmitOutcome>, RevisionsError> {
        let current = head.map_or(0, |head| head.head.manifest.revision);
        let base = submission.base;
        if base > current {
            return Err(RevisionsError::UnknownBase { base, current });
        }
        let Some(head) = head else {
            return Ok(None);
        };
        // A submission can only have become the revision right after its base.
        if base < current
            && let Some(record) = self.audit.find(head.head.link(), base + 1).await?
            && record.manifest.submission == submission.submission
        {
            let accepted = self.assemble(&record.manifest).await?;
            return Ok(Some(SubmitOutcome::Accepted(accepted)));
        }
        let newest = self.load(head).await?;
        if newest.text == submission.text {
            return Ok(Some(SubmitOutcome::Unchanged(newest)));
        }
        Ok((base < current).then_some(SubmitOutcome::Conflict(newest)))
    }

    /// Writes the parts of a submission and then the head; `None` if the head has changed.
    async fn accept(
        &self,
        submission: &Submission,
        head: Option<VersionedHead>,
    ) -> Result<Option<Accepted>, RevisionsError> {
        let old = match &head {
            Some(head) => Some(self.load(head).await?),
            None => None,
        };
        let manifest = new_manifest(submission);
        self.write_chunks(&manifest, &submission.text, old.as_ref())
            .await?;
        let old_text = old.as_ref().map_or("", |old| &old.text);
        let diff = bounded_diff(old_text, &submission.text);
        let version = head.as_ref().map_or(0, |head| head.version);
        let previous = head.as_ref().map(|head| &head.head);
        let audit = self.audit.write(&manifest, diff, previous).await?;
        let head = Head { manifest, audit };
        let outcome = self
            .kv
            .compare_and_swap(HEAD_KEY, version, encode_head(&head)?)
            .await;
        match outcome {
            Ok(CasOutcome::Written(version)) => {
                let head = VersionedHead { version, head };
                let text = Arc::clone(&submission.text);
                let accepted = Accepted::with_text(&head.head.manifest, text);
                Ok(Some(self.keep(&head, accepted)))
            }
            Ok(CasOutcome::Conflict(_)) => Ok(None),
            Err(source @ KvError::Refused { .. }) => Err(RevisionsError::NotAccepted { source }),
            Err(source) => Err(unknown(submission, source)),
        }
    }

    /// Writes the chunks that the revision before does not have.
    async fn write_chunks(
        &self,
        manifest: &Manifest,
        text: &str,
        old: Option<&Accepted>,
    ) -> Result<(), RevisionsError> {
        let mut start = 0;
        let mut writes = Vec::new();
        for chunk in &manifest.chunks {
            let end = start + chunk.bytes as usize;
            if old.is_none_or(|old| old.chunk(&chunk.digest).is_none()) {
                writes.push(Bytes::copy_from_slice(&text.as_bytes()[start..end]));
            }
            start = end;
        }
        stream::iter(writes)
            .map(|chunk| self.blobs.write(chunk))
            .buffer_unordered(PARALLEL_CHUNKS)
            .try_for_each(|_| async { Ok(()) })
            .await
    }

    /// Reads the text of a head and keeps it as the newest.
    async fn load(&self, head: &VersionedHead) -> Result<Accepted, RevisionsError> {
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

    async fn assemble(&self, manifest: &Manifest) -> Result<Accepted, RevisionsError> {
        let wanted: Vec<ChunkRef> = manifest.chunks.clone();
        let chunks: HashMap<Digest, Arc<str>> = stream::iter(wanted)
            .map(|chunk| async move {
                let content = self.chunk(&chunk.digest).await?;
                Ok::<_, RevisionsError>((chunk.digest, content))
            })
            .buffer_unordered(PARALLEL_CHUNKS)
            .try_collect()
            .await?;
        Accepted::assemble(manifest, &|digest| chunks.get(digest).cloned())
            .map_err(|error| damaged(HEAD_KEY, &error))
    }

    fn newest(&self) -> Option<Snapshot> {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.clone()
    }

    /// Keeps a revision if it is not older than the one kept.
    fn keep(&self, head: &VersionedHead, accepted: Accepted) -> Accepted {
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

fn check_fields(submission: &Submission) -> Result<(), RevisionsError> {
    let fields = [
        ("text", submission.text.len(), MAX_TEXT_BYTES),
        ("author", submission.author.len(), MAX_NOTE_BYTES),
        ("why", submission.why.len(), MAX_NOTE_BYTES),
    ];
    for (field, bytes, limit) in fields {
        if bytes == 0 || bytes > limit {
            return Err(RevisionsError::FieldSize {
                field,
                bytes,
                limit,
            });
        }
    }
    Ok(())
}

fn new_manifest(submission: &Submission) -> Manifest {
    Manifest {
        revision: submission.base + 1,
        author: submission.author.clone(),
        why: submission.why.clone(),
        at: to_milliseconds(submission.at),
        submission: submission.submission,
        chunks: chunk_refs(&submission.text),
    }
}

/// Drops what the encoding does not keep, so that a decoded time equals the original.
fn to_milliseconds(at: SystemTime) -> SystemTime {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    UNIX_EPOCH + Duration::from_millis(since_epoch.as_millis() as u64)
}

fn encode_head(head: &Head) -> Result<Bytes, RevisionsError> {
    let bytes = encode(head).map_err(|error| damaged(HEAD_KEY, &error))?;
    Ok(bytes.into())
}

fn decode_head(entry: &Entry) -> Result<VersionedHead, RevisionsError> {
    let head = decode(&entry.value).map_err(|error| damaged(HEAD_KEY, &error))?;
    let version = entry.version;
    Ok(VersionedHead { version, head })
}

fn unknown(submission: &Submission, source: KvError) -> RevisionsError {
    let submission = submission.submission;
    RevisionsError::Unknown { submission, source }
}

fn damaged(key: &str, error: &dyn Display) -> RevisionsError {
    RevisionsError::Damaged {
        key: key.to_owned(),
        detail: error.to_string(),
    }
}
