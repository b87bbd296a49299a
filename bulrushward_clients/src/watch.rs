//! A watch: a long-running call that streams the changes of a key.

use bulrushward_net::with_causes;
use bytes::{Bytes, BytesMut};
use reqwest::Response;
use tokio::time::{Instant, timeout_at};

use crate::{
    etcd::{CallError, EtcdKeyValue, key_bytes},
    gateway::{WatchCreateRequest, WatchEventKind, WatchLine, WatchRequest, WatchResult},
    key_value::{Entry, Version},
};

/// Maximum size in bytes of a line of a watch, which may hold several values.
const MAX_LINE_BYTES: usize = 4_000_000;

/// Result of waiting for a newer entry.
pub(crate) enum WatchOutcome {
    /// The key now has this entry.
    Changed(Entry),
    /// The key did not change in time.
    TimedOut,
    /// The changes were compacted or are too large for one line, so the key must be read.
    ResyncNeeded,
}

/// Response stream of a running watch.
pub(crate) struct WatchStream {
    response: Response,
    buf: BytesMut,
    key: Bytes,
    after: Version,
}

impl WatchStream {
    /// Starts a watch of a key for versions above `after`.
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
        let response = kv
            .send("/v3/watch", &WatchRequest { create_request }, deadline)
            .await?;
        Ok(Self {
            response,
            buf: BytesMut::new(),
            key,
            after,
        })
    }

    /// Waits for a newer entry until `deadline`.
    ///
    /// Fails if the service does not confirm the watch by `open_deadline`.
    pub(crate) async fn next_entry(
        &mut self,
        kv: &EtcdKeyValue,
        open_deadline: Instant,
        deadline: Instant,
    ) -> Result<WatchOutcome, CallError> {
        let mut until = open_deadline.min(deadline);
        loop {
            let read = timeout_at(until, self.next_line()).await;
            let line = match read {
                Ok(Ok(Some(line))) => line,
                Ok(Ok(None)) => return Ok(WatchOutcome::ResyncNeeded),
                Ok(Err(detail)) => return Err(kv.fail_over(detail)),
                Err(_elapsed) if until < deadline => {
                    return Err(kv.fail_over(kv.timeout_message()));
                }
                Err(_elapsed) => return Ok(WatchOutcome::TimedOut),
            };
            let result = match line {
                WatchLine::Result(result) => result,
                WatchLine::Error(error) => return Err(kv.fail_over(error.message)),
            };
            until = deadline;
            if result.canceled {
                return if result.compact_revision > 0 {
                    Ok(WatchOutcome::ResyncNeeded)
                } else {
                    Err(kv.fail_over("the service cancelled the watch".to_owned()))
                };
            }
            if let Some(entry) = self.newest(result) {
                return Ok(WatchOutcome::Changed(entry));
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

    /// Reads the next line; returns `None` if it is too large.
    async fn next_line(&mut self) -> Result<Option<WatchLine>, String> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1);
                return serde_json::from_slice(&line)
                    .map(Some)
                    .map_err(|error| format!("a line of the watch could not be parsed: {error}"));
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Ok(None);
            }
            match self.response.chunk().await {
                Ok(Some(chunk)) => self.buf.extend_from_slice(&chunk),
                Ok(None) => return Err("the service ended the watch".to_owned()),
                Err(error) => {
                    return Err(format!("the connection failed: {}", with_causes(&error)));
                }
            }
        }
    }
}
