//! Fetching a revision from a peer, as a manifest and the chunks that are missing here.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Chunk, CodecError, ConfigurationMessage, Exchange, Revision};
use bulrushward_revisions::{AcceptedRevision, AssembleError, Digest, MAX_TEXT_BYTES, Manifest};
use bulrushward_transport::{self as transport, TransportError};
use snafu::{ResultExt, Snafu, ensure};

use super::exchange::CALL_TIMEOUT;
use crate::metrics::ControlMetrics;

/// Bytes of chunks in one answer; with the rest of the exchange they fit one control message.
const ANSWER_CHUNK_BYTES: usize = 56 << 10;
/// Chunks that one message asks for; more than fit one answer.
const CHUNKS_ASKED: usize = 64;
/// Time after which a fetch from one peer is given up.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A fetch that failed.
#[derive(Debug, Snafu)]
pub(crate) enum FetchError {
    /// The peer did not answer.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the transport.
        source: TransportError,
    },
    /// The peer answered with something else.
    #[snafu(display("the answer holds no {expected}"))]
    Unexpected {
        /// What was asked for.
        expected: &'static str,
    },
    /// The manifest is truncated or malformed.
    #[snafu(display("the manifest is not valid: {source}"))]
    Manifest {
        /// Error of the codec.
        source: CodecError,
    },
    /// The peer announced a revision that it does not have.
    #[snafu(display("the manifest has revision {found}, expected one above {known}"))]
    NotNewer {
        /// Revision of the manifest.
        found: Revision,
        /// Revision in force here.
        known: Revision,
    },
    /// The manifest describes a larger text than is accepted.
    #[snafu(display("the manifest has {bytes} bytes of text, above {MAX_TEXT_BYTES}"))]
    TooLarge {
        /// Bytes of the text.
        bytes: u64,
    },
    /// An answer has none of the chunks that were asked for.
    #[snafu(display("none of {missing} missing chunks of revision {revision} was sent"))]
    NoChunks {
        /// The revision.
        revision: Revision,
        /// Chunks that are still missing.
        missing: usize,
    },
    /// The chunks are not those of the manifest.
    #[snafu(display("{source}"))]
    Assemble {
        /// What does not fit.
        source: AssembleError,
    },
    /// The fetch took too long.
    #[snafu(display("the fetch took longer than {FETCH_TIMEOUT:?}"))]
    TooSlow,
}

impl FetchError {
    /// Returns whether the peer sent something that no correct process sends.
    pub(crate) fn is_bad_content(&self) -> bool {
        !matches!(
            self,
            Self::Call { .. } | Self::NoChunks { .. } | Self::TooSlow
        )
    }
}

/// What a fetch needs to know; it runs on a thread that may block.
#[derive(Debug)]
pub(crate) struct Fetch {
    /// The peer.
    pub(crate) address: SocketAddr,
    /// An exchange without records, for the process's own side of each call.
    pub(crate) own_side: Exchange,
    /// The revision in force here.
    pub(crate) known: Option<AcceptedRevision>,
    pub(crate) metrics: ControlMetrics,
}

impl Fetch {
    /// Fetches the newest revision of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`FetchError`] if the peer does not answer or sends what is not a newer revision.
    pub(crate) fn run(mut self) -> Result<AcceptedRevision, FetchError> {
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let manifest = self.manifest()?;
        let mut missing = manifest.chunks_missing_from(self.known.as_ref());
        missing.sort_unstable();
        missing.dedup();
        let mut chunks: HashMap<Digest, Arc<str>> = HashMap::new();
        while !missing.is_empty() {
            ensure!(Instant::now() < deadline, TooSlowSnafu);
            self.chunks(&missing, &mut chunks)?;
            let before = missing.len();
            missing.retain(|digest| !chunks.contains_key(digest));
            let revision = manifest.revision;
            ensure!(
                missing.len() < before,
                NoChunksSnafu {
                    revision,
                    missing: before
                }
            );
        }
        let known = self.known.as_ref();
        let chunk = |digest: &Digest| {
            let held = || known?.chunk(digest).map(Arc::from);
            chunks.get(digest).cloned().or_else(held)
        };
        AcceptedRevision::assemble(&manifest, &chunk).context(AssembleSnafu)
    }

    fn manifest(&mut self) -> Result<Manifest, FetchError> {
        let answer = self.call(ConfigurationMessage::ManifestRequest)?;
        let Some(ConfigurationMessage::Manifest(bytes)) = answer else {
            let expected = "manifest";
            return UnexpectedSnafu { expected }.fail();
        };
        let manifest = Manifest::decode(&bytes).context(ManifestSnafu)?;
        let known = self.own_side.revision;
        let found = manifest.revision;
        ensure!(found > known, NotNewerSnafu { found, known });
        let sizes = manifest.chunks.iter().map(|chunk| u64::from(chunk.bytes));
        let bytes: u64 = sizes.sum();
        ensure!(bytes <= MAX_TEXT_BYTES as u64, TooLargeSnafu { bytes });
        Ok(manifest)
    }

    /// Asks for missing chunks and keeps those of the answer that were asked for.
    fn chunks(
        &mut self,
        missing: &[Digest],
        chunks: &mut HashMap<Digest, Arc<str>>,
    ) -> Result<(), FetchError> {
        let asked = &missing[..missing.len().min(CHUNKS_ASKED)];
        let answer = self.call(ConfigurationMessage::ChunkRequest(asked.to_vec()))?;
        let Some(ConfigurationMessage::Chunks(sent)) = answer else {
            let expected = "chunks";
            return UnexpectedSnafu { expected }.fail();
        };
        for chunk in sent {
            if asked.contains(&chunk.digest) {
                chunks.insert(chunk.digest, chunk.text.into());
            }
        }
        Ok(())
    }

    fn call(
        &mut self,
        message: ConfigurationMessage,
    ) -> Result<Option<ConfigurationMessage>, FetchError> {
        self.own_side.configuration = Some(message);
        match transport::call(self.address, &self.own_side, CALL_TIMEOUT) {
            Ok((answer, bytes)) => {
                self.metrics.sent(bytes);
                Ok(answer.configuration)
            }
            Err(source) => {
                self.metrics.call_failed();
                Err(FetchError::Call { source })
            }
        }
    }
}

/// Answers the question of a peer that fetches the revision in force here.
pub(crate) fn answer(
    question: &ConfigurationMessage,
    accepted: Option<&AcceptedRevision>,
) -> Option<ConfigurationMessage> {
    let accepted = accepted?;
    match question {
        ConfigurationMessage::ManifestRequest => {
            let manifest = accepted.manifest().encode().ok()?;
            Some(ConfigurationMessage::Manifest(manifest))
        }
        ConfigurationMessage::ChunkRequest(digests) => {
            Some(ConfigurationMessage::Chunks(chunks_of(accepted, digests)))
        }
        ConfigurationMessage::Manifest(_) | ConfigurationMessage::Chunks(_) => None,
    }
}

/// Returns the chunks that are held here, as many as fit one message.
fn chunks_of(accepted: &AcceptedRevision, digests: &[Digest]) -> Vec<Chunk> {
    let mut left = ANSWER_CHUNK_BYTES;
    let mut chunks = Vec::new();
    for digest in digests.iter().take(CHUNKS_ASKED) {
        let Some(text) = accepted.chunk(digest) else {
            continue;
        };
        let Some(rest) = left.checked_sub(text.len() + size_of::<Digest>()) else {
            break;
        };
        left = rest;
        chunks.push(Chunk {
            digest: *digest,
            text: text.to_owned(),
        });
    }
    chunks
}
