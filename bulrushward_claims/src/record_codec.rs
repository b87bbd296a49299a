//! Encoding of claims records: postcard with fixed-size integers.

use bulrushward_policy::claim::{ClaimEntry, ClaimNonce, ClaimRecord, ClaimState, RecordSecond};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Version of the encoding; values of other versions are rejected and never overwritten.
const FORMAT: u8 = 1;

/// A claims record that could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The codec failed.
    #[snafu(display("the value is not a claims record: {source}"))]
    Malformed {
        /// Error of the codec.
        source: postcard::Error,
    },
    /// The value has another version of the encoding.
    #[snafu(display("the claims record has format {format}, expected {FORMAT}"))]
    Format {
        /// Version that was found.
        format: u8,
    },
    /// The entries are unsorted or not unique, or other bytes follow them.
    #[snafu(display("the claims record has unsorted or duplicate entries, or trailing bytes"))]
    Order,
}

#[derive(Serialize, Deserialize)]
struct StoredHeader {
    format: u8,
    #[serde(with = "postcard::fixint::le")]
    clock_ms: u64,
    #[serde(with = "postcard::fixint::le")]
    entries: u32,
}

#[derive(Serialize, Deserialize)]
struct StoredEntry {
    #[serde(with = "postcard::fixint::le")]
    action: u128,
    #[serde(with = "postcard::fixint::le")]
    attempt: u128,
    state: StoredState,
    #[serde(with = "postcard::fixint::le")]
    changed: RecordSecond,
}

#[derive(Serialize, Deserialize)]
enum StoredState {
    Claimed {
        #[serde(with = "postcard::fixint::le")]
        nonce: ClaimNonce,
    },
    Finished,
    Barred,
}

/// Encodes a claims record.
///
/// # Errors
///
/// Returns [`RecordError`] if the codec fails. The header can count at most 2^32 - 1 entries.
pub fn encode_record(record: &ClaimRecord) -> Result<Bytes, RecordError> {
    let header = StoredHeader {
        format: FORMAT,
        clock_ms: record.clock_ms(),
        entries: u32::try_from(record.entries().len()).unwrap_or(u32::MAX),
    };
    let buf = Vec::with_capacity(record.encoded_size());
    let mut buf = postcard::to_extend(&header, buf).context(MalformedSnafu)?;
    for entry in record.entries() {
        buf = postcard::to_extend(&to_stored(entry), buf).context(MalformedSnafu)?;
    }
    Ok(buf.into())
}

/// Decodes a claims record.
///
/// # Errors
///
/// Returns [`RecordError`] if the value is not a complete record in the known format.
pub fn decode_record(value: &[u8]) -> Result<ClaimRecord, RecordError> {
    let (header, mut rest) =
        postcard::take_from_bytes::<StoredHeader>(value).context(MalformedSnafu)?;
    ensure!(
        header.format == FORMAT,
        FormatSnafu {
            format: header.format
        }
    );
    let mut entries = Vec::new();
    for _ in 0..header.entries {
        let (entry, after) =
            postcard::take_from_bytes::<StoredEntry>(rest).context(MalformedSnafu)?;
        entries.push(from_stored(&entry));
        rest = after;
    }
    ensure!(rest.is_empty(), OrderSnafu);
    ClaimRecord::from_parts(header.clock_ms, entries).context(OrderSnafu)
}

fn to_stored(entry: &ClaimEntry) -> StoredEntry {
    StoredEntry {
        action: entry.action,
        attempt: entry.attempt,
        state: match entry.state {
            ClaimState::Claimed { nonce } => StoredState::Claimed { nonce },
            ClaimState::Finished => StoredState::Finished,
            ClaimState::Barred => StoredState::Barred,
        },
        changed: entry.changed,
    }
}

fn from_stored(entry: &StoredEntry) -> ClaimEntry {
    ClaimEntry {
        action: entry.action,
        attempt: entry.attempt,
        state: match entry.state {
            StoredState::Claimed { nonce } => ClaimState::Claimed { nonce },
            StoredState::Finished => ClaimState::Finished,
            StoredState::Barred => ClaimState::Barred,
        },
        changed: entry.changed,
    }
}
