//! Submits a text so that it becomes at most one revision.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushward_clients::{CasOutcome, KvError};
use bulrushward_protocol::{Revision, encode};
use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::{
    AcceptedRevision, Manifest, RevisionStore, RevisionsError,
    audit::truncated_diff,
    blobs::{MAX_ATTEMPTS, backoff},
    chunks::{MAX_TEXT_BYTES, chunk_refs},
    head::{HEAD_KEY, Head},
    store::{PARALLEL_CHUNKS, VersionedHead, damaged_record},
};

/// Size limit of the author and of the reason in bytes.
const MAX_NOTE_BYTES: usize = 4 << 10;

/// A configuration text that an operator submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Revision that the text was edited from, 0 for the first text.
    pub base: Revision,
    /// The complete text.
    pub text: Arc<str>,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Id chosen by the submitter; retries carry the same id.
    pub submission: u128,
    /// Time of submission.
    pub at: SystemTime,
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The submission became this revision, through this call or an earlier one with the same id.
    Accepted(AcceptedRevision),
    /// The newest revision (given here) already has this text; nothing was written.
    Unchanged(AcceptedRevision),
    /// The base is older than the newest revision (given here); nothing was accepted.
    Conflict(AcceptedRevision),
}

impl RevisionStore {
    /// Submits a text.
    ///
    /// The same submission may be sent any number of times, also through different processes, and
    /// becomes at most one revision.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionsError::Unknown`] if it is not known whether the submission was accepted;
    /// any other error means that this call did not get it accepted.
    pub async fn submit(&self, submission: Submission) -> Result<SubmitOutcome, RevisionsError> {
        check_fields(&submission)?;
        let mut lost_response = None;
        for attempt in 1..=MAX_ATTEMPTS {
            match self.try_submit(&submission).await {
                Ok(Some(outcome)) => return Ok(outcome),
                Ok(None) => {}
                Err(RevisionsError::Unknown { source, .. }) => {
                    lost_response = Some(source);
                    backoff(attempt).await;
                }
                // An earlier write without a response may still take effect.
                Err(error) => {
                    return Err(match lost_response {
                        Some(source) => unknown_outcome(&submission, source),
                        None => error,
                    });
                }
            }
        }
        let source = lost_response.unwrap_or_else(|| KvError::Unavailable {
            key: HEAD_KEY.to_owned(),
            detail: format!("the key changed during each of {MAX_ATTEMPTS} attempts"),
        });
        Err(unknown_outcome(&submission, source))
    }

    /// Makes one attempt to submit, or returns `None` if the head record changed concurrently.
    async fn try_submit(
        &self,
        submission: &Submission,
    ) -> Result<Option<SubmitOutcome>, RevisionsError> {
        let head = self.head().await?;
        if let Some(outcome) = self
            .resolve_without_write(submission, head.as_ref())
            .await?
        {
            return Ok(Some(outcome));
        }
        let accepted = self.accept(submission, head).await?;
        Ok(accepted.map(SubmitOutcome::Accepted))
    }

    /// Returns the outcome of a submission that needs no write because it is already accepted, its
    /// text is unchanged or its base is outdated; `None` if it has to be written.
    async fn resolve_without_write(
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
        // An accepted submission is always the revision right after its base.
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

    /// Writes the chunks and the audit entry of a submission and then the head record; returns
    /// `None` if the head record changed concurrently.
    async fn accept(
        &self,
        submission: &Submission,
        head: Option<VersionedHead>,
    ) -> Result<Option<AcceptedRevision>, RevisionsError> {
        let old = match &head {
            Some(head) => Some(self.load(head).await?),
            None => None,
        };
        let manifest = new_manifest(submission);
        self.write_chunks(&manifest, &submission.text, old.as_ref())
            .await?;
        let old_text = old.as_ref().map_or("", |old| &old.text);
        let diff = truncated_diff(old_text, &submission.text);
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
                let accepted = AcceptedRevision::with_text(&head.head.manifest, text);
                Ok(Some(self.update_cache(&head, accepted)))
            }
            Ok(CasOutcome::Conflict(_)) => Ok(None),
            Err(source @ KvError::Refused { .. }) => Err(RevisionsError::NotAccepted { source }),
            Err(source) => Err(unknown_outcome(submission, source)),
        }
    }

    /// Writes the chunks that the previous revision does not have.
    async fn write_chunks(
        &self,
        manifest: &Manifest,
        text: &str,
        old: Option<&AcceptedRevision>,
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
        at: truncate_to_milliseconds(submission.at),
        submission: submission.submission,
        chunks: chunk_refs(&submission.text),
    }
}

/// Truncates a time to the precision of the encoding, so that a decoded time equals the original.
fn truncate_to_milliseconds(at: SystemTime) -> SystemTime {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    UNIX_EPOCH + Duration::from_millis(since_epoch.as_millis() as u64)
}

fn encode_head(head: &Head) -> Result<Bytes, RevisionsError> {
    let bytes = encode(head).map_err(|error| damaged_record(HEAD_KEY, &error))?;
    Ok(bytes.into())
}

fn unknown_outcome(submission: &Submission, source: KvError) -> RevisionsError {
    let submission = submission.submission;
    RevisionsError::Unknown { submission, source }
}
