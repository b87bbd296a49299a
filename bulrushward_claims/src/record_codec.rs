//! Stored form of a record of claims: postcard with integers of fixed size.

use bulrushward_policy::claim::{ClaimEntry, ClaimNonce, ClaimRecord, ClaimState, RecordSecond};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Format of the stored form; a value with another one is refused and left alone.
const FORMAT: u8 = 1;

/// A stored record that cannot be read or written.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// The value is not a record.
    #[snafu(display("the value is not a record of claims: {source}"))]
    Malformed {
        /// What the codec said.
        source: postcard::Error,
    },
    /// The value was written by another version of the program.
    #[snafu(display("the record of claims has format {format}, expected {FORMAT}"))]
    Format {
        /// Format of the value.
        format: u8,
    },
    /// The entries are not sorted or not unique.
    #[snafu(display("the entries of the record of claims are out of order"))]
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

/// Encodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the codec fails, which needs more than 4 G entries.
pub fn encode_record(record: &ClaimRecord) -> Result<Bytes, RecordError> {
    let header = StoredHeader {
        format: FORMAT,
        clock_ms: record.clock_ms(),
        entries: u32::try_from(record.entries().len()).unwrap_or(u32::MAX),
    };
    let buf = Vec::with_capacity(record.encoded_size());
    let mut buf = postcard::to_extend(&header, buf).context(MalformedSnafu)?;
    for entry in record.entries() {
        buf = postcard::to_extend(&stored(entry), buf).context(MalformedSnafu)?;
    }
    Ok(buf.into())
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] if the value is not a whole record in the known format.
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
        entries.push(loaded(&entry));
        rest = after;
    }
    ensure!(rest.is_empty(), OrderSnafu);
    ClaimRecord::from_parts(header.clock_ms, entries).context(OrderSnafu)
}

fn stored(entry: &ClaimEntry) -> StoredEntry {
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

fn loaded(entry: &StoredEntry) -> ClaimEntry {
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
