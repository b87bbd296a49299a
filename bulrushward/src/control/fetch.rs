//! Fetches a configuration revision from a peer: its manifest and the chunks that are missing here.

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

/// Maximum bytes of chunks in one response; with the rest of the exchange they fit one control
/// message.
const MAX_RESPONSE_CHUNK_BYTES: usize = 56 << 10;
/// Maximum number of chunks in one request, which is more than fit into one response.
const MAX_REQUESTED_CHUNKS: usize = 64;
/// Timeout of a whole fetch from one peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of a fetch from a peer.
#[derive(Debug, Snafu)]
pub(crate) enum FetchError {
    /// The peer did not respond.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the transport.
        source: TransportError,
    },
    /// The response does not contain what was requested.
    #[snafu(display("the response contains no {expected}"))]
    Unexpected {
        /// What was requested.
        expected: &'static str,
    },
    /// The manifest is truncated or malformed.
    #[snafu(display("the manifest is not valid: {source}"))]
    Manifest {
        /// Error of the codec.
        source: CodecError,
    },
    /// The peer announced a newer revision than it has.
    #[snafu(display("the manifest has revision {found}, expected one above {held}"))]
    NotNewer {
        /// Revision of the manifest.
        found: Revision,
        /// Newest revision held here.
        held: Revision,
    },
    /// The configuration text of the manifest is too large.
    #[snafu(display("the manifest has {bytes} bytes of text, the limit is {MAX_TEXT_BYTES}"))]
    TooLarge {
        /// Size of the text.
        bytes: u64,
    },
    /// A response contains none of the requested chunks.
    #[snafu(display("the peer sent none of the {missing} missing chunks of revision {revision}"))]
    NoChunks {
        /// The revision.
        revision: Revision,
        /// Number of missing chunks.
        missing: usize,
    },
    /// The chunks do not match the manifest.
    #[snafu(display("{source}"))]
    Assemble {
        /// Mismatch that was found.
        source: AssembleError,
    },
    /// The fetch timed out.
    #[snafu(display("the fetch took longer than {FETCH_TIMEOUT:?}"))]
    Timeout,
}

impl FetchError {
    /// Returns whether the peer sent something that a correct process never sends.
    pub(crate) fn is_protocol_violation(&self) -> bool {
        !matches!(
            self,
            Self::Call { .. } | Self::NoChunks { .. } | Self::Timeout
        )
    }
}

/// A fetch from one peer; runs on a thread that may block.
#[derive(Debug)]
pub(crate) struct Fetch {
    /// Control address of the peer.
    pub(crate) address: SocketAddr,
    /// Exchange without records of other members, the base of every request.
    pub(crate) base_exchange: Exchange,
    /// Newest revision held here; its chunks are reused.
    pub(crate) held: Option<AcceptedRevision>,
    pub(crate) metrics: ControlMetrics,
}

impl Fetch {
    /// Fetches the newest revision of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`FetchError`] if the peer does not respond or sends no valid newer revision.
    pub(crate) fn run(mut self) -> Result<AcceptedRevision, FetchError> {
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let manifest = self.fetch_manifest()?;
        let mut missing = manifest.chunks_missing_from(self.held.as_ref());
        missing.sort_unstable();
        missing.dedup();
        let mut chunks: HashMap<Digest, Arc<str>> = HashMap::new();
        while !missing.is_empty() {
            ensure!(Instant::now() < deadline, TimeoutSnafu);
            self.fetch_chunks(&missing, &mut chunks)?;
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
        let held = self.held.as_ref();
        let chunk = |digest: &Digest| {
            let reused = || held?.chunk(digest).map(Arc::from);
            chunks.get(digest).cloned().or_else(reused)
        };
        AcceptedRevision::assemble(&manifest, &chunk).context(AssembleSnafu)
    }

    fn fetch_manifest(&mut self) -> Result<Manifest, FetchError> {
        let response = self.call(ConfigurationMessage::ManifestRequest)?;
        let Some(ConfigurationMessage::Manifest(bytes)) = response else {
            let expected = "manifest";
            return UnexpectedSnafu { expected }.fail();
        };
        let manifest = Manifest::decode(&bytes).context(ManifestSnafu)?;
        let held = self.base_exchange.revision;
        let found = manifest.revision;
        ensure!(found > held, NotNewerSnafu { found, held });
        let sizes = manifest.chunks.iter().map(|chunk| u64::from(chunk.bytes));
        let bytes: u64 = sizes.sum();
        ensure!(bytes <= MAX_TEXT_BYTES as u64, TooLargeSnafu { bytes });
        Ok(manifest)
    }

    /// Requests missing chunks and keeps the requested ones of the response.
    fn fetch_chunks(
        &mut self,
        missing: &[Digest],
        chunks: &mut HashMap<Digest, Arc<str>>,
    ) -> Result<(), FetchError> {
        let requested = &missing[..missing.len().min(MAX_REQUESTED_CHUNKS)];
        let response = self.call(ConfigurationMessage::ChunkRequest(requested.to_vec()))?;
        let Some(ConfigurationMessage::Chunks(sent)) = response else {
            let expected = "chunks";
            return UnexpectedSnafu { expected }.fail();
        };
        for chunk in sent {
            if requested.contains(&chunk.digest) {
                chunks.insert(chunk.digest, chunk.text.into());
            }
        }
        Ok(())
    }

    fn call(
        &mut self,
        message: ConfigurationMessage,
    ) -> Result<Option<ConfigurationMessage>, FetchError> {
        self.base_exchange.configuration = Some(message);
        match transport::call(self.address, &self.base_exchange, CALL_TIMEOUT) {
            Ok((response, bytes)) => {
                self.metrics.sent(bytes);
                Ok(response.configuration)
            }
            Err(source) => {
                self.metrics.failed();
                Err(FetchError::Call { source })
            }
        }
    }
}

/// Responds to a peer that fetches the newest revision held here.
pub(crate) fn respond(
    request: &ConfigurationMessage,
    accepted: Option<&AcceptedRevision>,
) -> Option<ConfigurationMessage> {
    let accepted = accepted?;
    match request {
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

/// Returns the requested chunks that are held here, as many as fit one response.
fn chunks_of(accepted: &AcceptedRevision, digests: &[Digest]) -> Vec<Chunk> {
    let mut remaining = MAX_RESPONSE_CHUNK_BYTES;
    let mut chunks = Vec::new();
    for digest in digests.iter().take(MAX_REQUESTED_CHUNKS) {
        let Some(text) = accepted.chunk(digest) else {
            continue;
        };
        let Some(rest) = remaining.checked_sub(text.len() + size_of::<Digest>()) else {
            break;
        };
        remaining = rest;
        chunks.push(Chunk {
            digest: *digest,
            text: text.to_owned(),
        });
    }
    chunks
}
