//! One waiting call for changes of a key.

use bulrushward_net::with_causes;
use bytes::{Bytes, BytesMut};
use reqwest::Response;
use tokio::time::{Instant, timeout_at};

use crate::{
    etcd::{CallError, EtcdKeyValue, key_bytes},
    gateway::{WatchCreateRequest, WatchEventKind, WatchLine, WatchRequest, WatchResult},
    key_value::{Entry, Version},
};

/// Largest line of a watch that is read, in bytes; it may hold several values.
const MAX_LINE_BYTES: usize = 4_000_000;

/// How a wait ended.
pub(crate) enum WatchEnd {
    /// The key has this entry now.
    Changed(Entry),
    /// Nothing happened in time.
    TimedOut,
    /// The changes are no longer kept, or too large together: the key must be read.
    ReadAgain,
}

/// Stream of a running watch.
pub(crate) struct WatchStream {
    answer: Response,
    buf: BytesMut,
    key: Bytes,
    after: Version,
}

impl WatchStream {
    /// Starts to watch a key for versions above `after`.
    pub(crate) async fn open(
        kv: &EtcdKeyValue,
        key: &str,
        after: Version,
        deadline: Instant,
    ) -> Result<Self, CallError> {
        let key = key_bytes(key);
        let create_request = WatchCreateRequest {
            key: key.clone(),
            start_revision: after + 1,
        };
        let answer = kv
            .send("/v3/watch", &WatchRequest { create_request }, deadline)
            .await?;
        Ok(Self {
            answer,
            buf: BytesMut::new(),
            key,
            after,
        })
    }

    /// Waits for a newer entry; the service has until `started` to confirm the watch.
    pub(crate) async fn next_entry(
        &mut self,
        kv: &EtcdKeyValue,
        started: Instant,
        deadline: Instant,
    ) -> Result<WatchEnd, CallError> {
        let mut until = started.min(deadline);
        loop {
            let read = timeout_at(until, self.next_line()).await;
            let line = match read {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return Ok(WatchEnd::ReadAgain),
                Ok(Err(detail)) => return Err(kv.no_usable_answer(detail)),
                Err(_elapsed) if until < deadline => {
                    return Err(kv.no_usable_answer(kv.timeout_text()));
                }
                Err(_elapsed) => return Ok(WatchEnd::TimedOut),
            };
            let result = match line {
                WatchLine::Result(result) => result,
                WatchLine::Error(error) => return Err(kv.no_usable_answer(error.message)),
            };
            until = deadline;
            if result.canceled {
                return if result.compact_revision > 0 {
                    Ok(WatchEnd::ReadAgain)
                } else {
                    Err(kv.no_usable_answer("the service cancelled the watch".to_owned()))
                };
            }
            if let Some(entry) = self.newest(result) {
                return Ok(WatchEnd::Changed(entry));
            }
        }
    }

    fn newest(&self, result: WatchResult) -> Option<Entry> {
        result
            .events
            .into_iter()
            .rev()
            .filter(|event| event.kind == WatchEventKind::Put && event.kv.key == self.key)
            .find(|event| event.kv.mod_revision > self.after)
            .map(|event| Entry {
                value: event.kv.value,
                version: event.kv.mod_revision,
            })
    }

    /// Reads the next line, or `None` if it is too large.
    async fn next_line(&mut self) -> Result<Option<WatchLine>, String> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|error| format!("a line of the watch is not understood: {error}"));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Ok(None);
            }
            match self.answer.chunk().await {
                Ok(Some(chunk)) => self.buf.extend_from_slice(&chunk),
                Ok(None) => return Err("the service ended the watch".to_owned()),
                Err(error) => {
                    return Err(format!("the connection failed: {}", with_causes(&error)));
                }
            }
        }
    }
}
