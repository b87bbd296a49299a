//! The response of an agent: a stream of length-prefixed frames.

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, Header, Refusal, WorkUnits,
    codec::{CodecError, decode, encode},
};

/// Bytes of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;
/// Largest accepted frame in bytes, which exceeds the largest body chunk of a plain response.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// One frame of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The attempt was admitted; always the first frame unless the attempt is refused.
    Admitted {
        /// The attempt that all following frames belong to.
        attempt: AttemptId,
        /// Load of the backend server after admission.
        load: WorkUnits,
    },
    /// The attempt is about to be sent to the backend server; from here on it may have run.
    Started,
    /// Status and headers of the backend server's response.
    Head {
        /// HTTP status.
        status: u16,
        /// HTTP headers.
        headers: Vec<Header>,
    },
    /// A part of the body.
    Data {
        /// Offset of this part in the body.
        offset: u64,
        /// Content of this part.
        bytes: Bytes,
    },
    /// Keep-alive that shows that the agent and the connection work.
    Heartbeat,
    /// The response is complete.
    End {
        /// Length of the body in bytes.
        length: u64,
    },
    /// The attempt was refused or failed; always the last frame.
    Refused(Refusal),
}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// Returns [`CodecError`] if the frame cannot be encoded or is too large.
pub fn encode_frame(frame: &Frame) -> Result<Bytes, CodecError> {
    let payload = encode(frame)?;
    if payload.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge {
            bytes: payload.len(),
            limit: MAX_FRAME_BYTES,
        });
    }
    let mut buf = Vec::with_capacity(PREFIX_BYTES + payload.len());
    buf.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    buf.extend_from_slice(&payload);
    Ok(buf.into())
}

/// Reassembles frames from the chunks of a connection.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: BytesMut,
}

impl FrameDecoder {
    /// Appends the next bytes of the connection.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next complete frame, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the frame is too large or malformed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, CodecError> {
        let Some(prefix) = self.buf.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(CodecError::TooLarge {
                bytes: length,
                limit: MAX_FRAME_BYTES,
            });
        }
        if self.buf.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(PREFIX_BYTES);
        let payload = self.buf.split_to(length);
        decode(&payload).map(Some)
    }
}
