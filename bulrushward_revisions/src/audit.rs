//! The audit trail: entries that are linked from the newest to the first.

use std::time::SystemTime;

use bulrushward_config::text_diff;
use bulrushward_protocol::{Revision, decode, encode};
use serde::{Deserialize, Serialize};

use crate::{
    Manifest, RevisionsError,
    blobs::Blobs,
    chunks::{Digest, format_digest},
    head::{Head, Link},
};

/// Largest diff kept in an entry in bytes; the texts themselves stay readable.
const MAX_DIFF_BYTES: usize = 64 << 10;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditEntry {
    /// Revision that the change led to.
    pub revision: Revision,
    /// Who submitted it.
    pub author: String,
    /// Why it was submitted.
    pub why: String,
    /// When it was submitted.
    pub at: SystemTime,
    /// Id of the submission.
    pub submission: u128,
    /// Unified diff from the revision before, cut short with a note if it is large.
    pub diff: String,
}

/// An entry as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AuditRecord {
    /// The revision and its text.
    pub(crate) manifest: Manifest,
    /// Diff from the revision before.
    pub(crate) diff: String,
    /// Entry of the revision before.
    pub(crate) previous: Option<Link>,
    /// An earlier entry, so that any revision is found in a logarithmic number of reads.
    pub(crate) jump: Option<Link>,
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
    blobs: Blobs,
}

impl AuditTrail {
    pub(crate) fn new(blobs: Blobs) -> Self {
        Self { blobs }
    }

    /// Writes the entry of a revision that follows `head`.
    pub(crate) async fn write(
        &self,
        manifest: &Manifest,
        diff: String,
        head: Option<&Head>,
    ) -> Result<Digest, RevisionsError> {
        let previous = head.map(Head::link);
        let jump = match previous {
            Some(previous) => self.jump_from(previous).await?,
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

    /// Reads one entry.
    pub(crate) async fn read(&self, link: Link) -> Result<AuditRecord, RevisionsError> {
        let bytes = self.blobs.read(&link.audit).await?;
        decode(&bytes).map_err(|error| RevisionsError::Damaged {
            key: format_digest(&link.audit),
            detail: error.to_string(),
        })
    }

    /// Finds the entry of a revision that is not newer than `from`.
    pub(crate) async fn find(
        &self,
        from: Link,
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

    /// Where an entry that follows `previous` jumps to, as in a skew-binary list.
    async fn jump_from(&self, previous: Link) -> Result<Option<Link>, RevisionsError> {
        let Some(near) = self.read(previous).await?.jump else {
            return Ok(Some(previous));
        };
        let Some(far) = self.read(near).await?.jump else {
            return Ok(Some(previous));
        };
        let equal_steps = previous.revision - near.revision == near.revision - far.revision;
        Ok(Some(if equal_steps { far } else { previous }))
    }
}

/// Returns the diff that an entry keeps.
pub(crate) fn bounded_diff(old: &str, new: &str) -> String {
    let diff = text_diff(old, new);
    if diff.len() <= MAX_DIFF_BYTES {
        return diff;
    }
    let kept = &diff[..diff.floor_char_boundary(MAX_DIFF_BYTES)];
    let omitted = diff.len() - kept.len();
    format!("{kept}\n... {omitted} bytes of the diff left out\n")
}
