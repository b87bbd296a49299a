//! Reads bodies completely, whatever the chunks in which they arrive.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bulrushward_policy::buffer_budget::BufferBudget;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::{ResultExt, Snafu, ensure};

/// Largest buffer that is allocated before any of the body has arrived, in bytes.
const MAX_FIRST_CAPACITY: usize = 16 << 10;

/// Reason why a body was not read completely.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    #[snafu(display("the body of {len} bytes or more is longer than {limit} bytes"))]
    TooLarge { len: usize, limit: usize },
    /// The buffers take too much memory together.
    #[snafu(display("no memory for incomplete responses"))]
    OutOfMemory,
    /// The connection broke.
    #[snafu(display("{source}"))]
    Broken { source: hyper::Error },
}

/// Memory that all incomplete responses of the process share.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedBuffers(Arc<Mutex<BufferBudget>>);

impl SharedBuffers {
    /// Returns a reservation of no bytes.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation {
            buffers: self.clone(),
            bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one buffer, which is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    buffers: SharedBuffers,
    bytes: usize,
}

impl Reservation {
    /// Changes the reservation to the size of the buffer; returns whether there is memory for it.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let is_allowed = self.buffers.lock().resize(self.bytes, bytes);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Shrinking is always allowed.
        let _is_allowed = self.resize(0);
    }
}

/// Reads a body of up to `limit` bytes into one buffer.
///
/// `resize` is asked before the buffer takes more memory, and `record_chunk` receives the length of each chunk.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or incomplete.
pub(crate) async fn collect(
    mut body: Incoming,
    limit: usize,
    mut resize: impl FnMut(usize) -> bool,
    mut record_chunk: impl FnMut(usize),
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint().lower() as usize;
    let len = announced;
    ensure!(len <= limit, TooLargeSnafu { len, limit });
    let exact = body.size_hint().exact().map(|len| len as usize);
    let mut buf = Vec::with_capacity(announced.min(MAX_FIRST_CAPACITY));
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        record_chunk(chunk.len());
        let len = buf.len() + chunk.len();
        ensure!(len <= limit, TooLargeSnafu { len, limit });
        if len > buf.capacity() {
            // A body of known length needs no more than that.
            let capacity = (2 * buf.capacity()).clamp(len, exact.unwrap_or(limit).max(len));
            ensure!(resize(capacity), OutOfMemorySnafu);
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.into())
}
