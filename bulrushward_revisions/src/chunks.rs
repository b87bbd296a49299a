//! Content-defined chunking of a text: an edit only changes the chunks around it.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// Size of the largest accepted text in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;
/// Size in bytes from which a chunk may end at a boundary line.
const MIN_CHUNK_BYTES: usize = 8 << 10;
/// Size of the largest chunk in bytes.
const MAX_CHUNK_BYTES: usize = 32 << 10;
/// Mean number of lines between two boundary lines, which are chosen by their hashes.
const LINES_PER_BOUNDARY: u64 = 128;

/// First 128 bits of the SHA-256 hash of immutable content.
pub type Digest = [u8; 16];

/// Reference to a chunk of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChunkRef {
    /// Digest of the chunk.
    pub digest: Digest,
    /// Length of the chunk in bytes.
    pub bytes: u32,
}

/// Returns the digest of some content.
pub(crate) fn digest(content: &[u8]) -> Digest {
    let hash = Sha256::digest(content);
    let mut short = Digest::default();
    short.copy_from_slice(&hash[..size_of::<Digest>()]);
    short
}

/// Formats a digest for keys and error messages.
pub(crate) fn format_digest(digest: &Digest) -> String {
    format!("{:032x}", u128::from_be_bytes(*digest))
}

/// Splits a text and returns references to its chunks in order.
pub(crate) fn chunk_refs(text: &str) -> Vec<ChunkRef> {
    split(text)
        .into_iter()
        .map(|chunk| ChunkRef {
            digest: digest(chunk.as_bytes()),
            bytes: chunk.len() as u32,
        })
        .collect()
}

/// Splits a text into chunks at the ends of lines, and inside lines longer than a chunk.
fn split(text: &str) -> Vec<&str> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        if end > start && end + line.len() - start > MAX_CHUNK_BYTES {
            chunks.push(&text[start..end]);
            start = end;
        }
        end += line.len();
        while end - start > MAX_CHUNK_BYTES {
            let cut = text.floor_char_boundary(start + MAX_CHUNK_BYTES);
            chunks.push(&text[start..cut]);
            start = cut;
        }
        let boundary = xxh3_64(line.as_bytes()).is_multiple_of(LINES_PER_BOUNDARY);
        if boundary && end - start >= MIN_CHUNK_BYTES {
            chunks.push(&text[start..end]);
            start = end;
        }
    }
    if end > start {
        chunks.push(&text[start..end]);
    }
    chunks
}
