//! The audit trail: a list of entries linked from the newest to the first.

use std::time::SystemTime;

use bulrushward_config::text_diff;
use bulrushward_protocol::{Revision, decode, encode};
use serde::{Deserialize, Serialize};

use crate::{
    Manifest, RevisionsError,
    blobs::BlobStore,
    chunks::{Digest, format_digest},
    head::{AuditLink, Head},
};

/// Size in bytes to which the diff of an entry is truncated; the chunks keep the complete texts.
const MAX_DIFF_BYTES: usize = 64 << 10;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// Revision that the change created.
    pub revision: Revision,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Time of submission.
    pub at: SystemTime,
    /// Id of the submission.
    pub submission: u128,
    /// Unified diff from the previous revision; if truncated, its last line says so.
    pub diff: String,
}

/// Stored form of an audit entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditRecord {
    /// Manifest of the revision.
    pub(crate) manifest: Manifest,
    /// Diff from the previous revision.
    pub(crate) diff: String,
    /// Entry of the previous revision.
    pub(crate) previous: Option<AuditLink>,
    /// Skip pointer to an earlier entry, so that a revision is found in O(log n) reads.
    pub(crate) jump: Option<AuditLink>,
}

impl From<AuditRecord> for AuditEntry {
    fn from(record: AuditRecord) -> Self {
        Self {
            revision: record.manifest.revision,
            author: record.manifest.author,
            why: record.manifest.why,
            at: record.manifest.at,
            submission: record.manifest.submission,
            diff: record.diff,
        }
    }
}

/// Reads and writes the audit trail.
#[derive(Clone, Debug)]
pub(crate) struct AuditTrail {
    blobs: BlobStore,
}

impl AuditTrail {
    pub(crate) fn new(blobs: BlobStore) -> Self {
        Self { blobs }
    }

    /// Writes the entry of the revision that follows `head`.
    pub(crate) async fn write(
        &self,
        manifest: &Manifest,
        diff: String,
        head: Option<&Head>,
    ) -> Result<Digest, RevisionsError> {
        let previous = head.map(Head::link);
        let jump = match previous {
            Some(previous) => self.skip_target(previous).await?,
            None => None,
        };
        let record = AuditRecord {
            manifest: manifest.clone(),
            diff,
            previous,
            jump,
        };
        let bytes = encode(&record).map_err(|error| RevisionsError::Damaged {
            key: format!("audit entry of revision {}", manifest.revision),
            detail: error.to_string(),
        })?;
        self.blobs.write(bytes.into()).await
    }

    /// Reads an entry.
    pub(crate) async fn read(&self, link: AuditLink) -> Result<AuditRecord, RevisionsError> {
        let bytes = self.blobs.read(&link.audit).await?;
        decode(&bytes).map_err(|error| RevisionsError::Damaged {
            key: format_digest(&link.audit),
            detail: error.to_string(),
        })
    }

    /// Finds the entry of `revision`, starting at `from`; returns `None` if `revision` is newer.
    pub(crate) async fn find(
        &self,
        from: AuditLink,
        revision: Revision,
    ) -> Result<Option<AuditRecord>, RevisionsError> {
        let mut next = Some(from);
        while let Some(link) = next {
            if link.revision < revision {
                return Ok(None);
            }
            let record = self.read(link).await?;
            if link.revision == revision {
                return Ok(Some(record));
            }
            next = record
                .jump
                .filter(|jump| jump.revision >= revision)
                .or(record.previous);
        }
        Ok(None)
    }

    /// Returns the skip pointer of an entry that follows `previous`, as in a skew-binary list.
    async fn skip_target(&self, previous: AuditLink) -> Result<Option<AuditLink>, RevisionsError> {
        let Some(near) = self.read(previous).await?.jump else {
            return Ok(Some(previous));
        };
        let Some(far) = self.read(near).await?.jump else {
            return Ok(Some(previous));
        };
        let equal_distances = previous.revision - near.revision == near.revision - far.revision;
        Ok(Some(if equal_distances { far } else { previous }))
    }
}

/// Returns the diff of two texts, truncated to the size limit of an entry.
pub(crate) fn truncated_diff(old: &str, new: &str) -> String {
    let diff = text_diff(old, new);
    if diff.len() <= MAX_DIFF_BYTES {
        return diff;
    }
    let kept = &diff[..diff.floor_char_boundary(MAX_DIFF_BYTES)];
    let omitted = diff.len() - kept.len();
    format!("{kept}\n... {omitted} bytes of the diff left out\n")
}
