//! Versioned binary encoding of messages.

use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

/// Version of the protocol, sent as the first byte of every message.
pub const VERSION: u8 = 1;

/// A message that cannot be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// The message is empty.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message has an unsupported protocol version.
    #[snafu(display("the message has protocol version {found}, expected {VERSION}"))]
    Version {
        /// Version of the message.
        found: u8,
    },
    /// The message exceeds the size limit.
    #[snafu(display("the message has {bytes} bytes, above the limit of {limit}"))]
    TooLarge {
        /// Size of the message in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The message is truncated or does not match the expected type.
    #[snafu(display("the message is malformed: {source}"))]
    Malformed {
        /// Error of the encoder or decoder.
        source: postcard::Error,
    },
}

/// Encodes a message, preceded by the version byte.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] if the value cannot be serialised.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![VERSION]).map_err(|source| CodecError::Malformed { source })
}

/// Decodes a message of the current version.
///
/// # Errors
///
/// Returns [`CodecError`] if the message is empty, truncated or malformed, has another version, or
/// is followed by further bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let (&found, payload) = bytes.split_first().ok_or(CodecError::Empty)?;
    if found != VERSION {
        return Err(CodecError::Version { found });
    }
    let (value, rest) =
        postcard::take_from_bytes(payload).map_err(|source| CodecError::Malformed { source })?;
    if !rest.is_empty() {
        let source = postcard::Error::DeserializeBadEncoding;
        return Err(CodecError::Malformed { source });
    }
    Ok(value)
}
