//! An accepted revision, and the forms in which processes transfer it.

use std::{ops::Range, sync::Arc, time::SystemTime};

use bulrushward_protocol::{CodecError, Revision, decode, encode};
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use snafu::Snafu;

use crate::chunks::{ChunkRef, Digest, chunk_refs, digest, format_digest};

/// Error of assembling a text from its manifest and chunks.
#[derive(Debug, Snafu)]
pub enum AssembleError {
    /// Some chunks are not available.
    #[snafu(display("{} chunks of revision {revision} are missing", missing.len()))]
    Missing {
        /// The revision.
        revision: Revision,
        /// Digests of the missing chunks.
        missing: Vec<Digest>,
    },
    /// The content of a chunk does not match its digest or length.
    #[snafu(display(
        "the content of chunk {} of revision {revision} does not match its digest",
        format_digest(digest)
    ))]
    Mismatch {
        /// The revision.
        revision: Revision,
        /// Digest in the manifest.
        digest: Digest,
    },
}

/// A revision with references to its chunks in place of the text.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Number of the revision.
    pub revision: Revision,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Time of submission, truncated to milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// Id of the submission.
    pub submission: u128,
    /// Chunks of the text in order.
    pub chunks: Vec<ChunkRef>,
}

impl Manifest {
    /// Encodes the manifest for transfer to another process.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if it cannot be serialised.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Decodes a manifest from another process.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the bytes are not a complete manifest of this protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        decode(bytes)
    }

    /// Returns the digests of the chunks that `known` does not have, or of all chunks if it is
    /// `None`.
    #[must_use]
    pub fn chunks_missing_from(&self, known: Option<&AcceptedRevision>) -> Vec<Digest> {
        self.chunks
            .iter()
            .filter(|chunk| known.is_none_or(|known| known.chunk(&chunk.digest).is_none()))
            .map(|chunk| chunk.digest)
            .collect()
    }
}

/// An accepted revision of the configuration text.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// Number of the revision, from 1.
    pub revision: Revision,
    /// The complete text.
    pub text: Arc<str>,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub why: String,
    /// Time of submission, truncated to milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub at: SystemTime,
    /// Id of the submission.
    pub submission: u128,
    /// Chunks of the text in order.
    #[serde(skip)]
    chunks: Arc<[ChunkRef]>,
}

impl AcceptedRevision {
    /// Encodes the revision with its complete text for transfer to another process.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if it cannot be serialised.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        encode(self)
    }

    /// Decodes a revision from another process.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the bytes are not a complete revision of this protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let mut accepted: Self = decode(bytes)?;
        accepted.chunks = chunk_refs(&accepted.text).into();
        Ok(accepted)
    }

    /// Returns the manifest of the revision.
    #[must_use]
    pub fn manifest(&self) -> Manifest {
        Manifest {
            revision: self.revision,
            author: self.author.clone(),
            why: self.why.clone(),
            at: self.at,
            submission: self.submission,
            chunks: self.chunks.to_vec(),
        }
    }

    /// Returns the chunk with the given digest if the text has one.
    #[must_use]
    pub fn chunk(&self, digest: &Digest) -> Option<&str> {
        let (_, range) = self.ranges().find(|(chunk, _)| chunk.digest == *digest)?;
        Some(&self.text[range])
    }

    /// Assembles a revision from its manifest and its chunks.
    ///
    /// # Errors
    ///
    /// Returns [`AssembleError`] if `chunk` returns no content or different content for a digest.
    pub fn assemble(
        manifest: &Manifest,
        chunk: &dyn Fn(&Digest) -> Option<Arc<str>>,
    ) -> Result<Self, AssembleError> {
        let revision = manifest.revision;
        let mut text = String::new();
        let mut missing = Vec::new();
        for part in &manifest.chunks {
            let Some(content) = chunk(&part.digest) else {
                missing.push(part.digest);
                continue;
            };
            if content.len() != part.bytes as usize || digest(content.as_bytes()) != part.digest {
                let digest = part.digest;
                return Err(AssembleError::Mismatch { revision, digest });
            }
            text.push_str(&content);
        }
        if !missing.is_empty() {
            return Err(AssembleError::Missing { revision, missing });
        }
        Ok(Self::with_text(manifest, text.into()))
    }

    /// Creates a revision from a manifest and its text, without verifying that they match.
    pub(crate) fn with_text(manifest: &Manifest, text: Arc<str>) -> Self {
        Self {
            revision: manifest.revision,
            text,
            author: manifest.author.clone(),
            why: manifest.why.clone(),
            at: manifest.at,
            submission: manifest.submission,
            chunks: manifest.chunks.clone().into(),
        }
    }

    /// Returns the chunks and their byte ranges in the text.
    fn ranges(&self) -> impl Iterator<Item = (&ChunkRef, Range<usize>)> {
        self.chunks.iter().scan(0, |start, chunk| {
            let range = *start..*start + chunk.bytes as usize;
            *start = range.end;
            Some((chunk, range))
        })
    }
}
