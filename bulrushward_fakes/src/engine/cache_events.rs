//! Events of the prefix cache, with a delay and optional gaps.

use std::{
    convert::Infallible,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use tokio::{
    sync::broadcast::{self, error::RecvError},
    time::{Instant, sleep_until},
};

use super::cache::BlockHash;

/// Number of events that a slow reader can lag behind before it misses some.
const EVENT_BUFFER_SIZE: usize = 256;

/// Event for a change of the prefix cache.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, from 1; a gap means that events were lost.
    pub number: u64,
    /// Hashes of the blocks that were stored.
    #[serde_as(as = "Vec<Hex>")]
    pub stored: Vec<[u8; 8]>,
    /// Hashes of the blocks that were removed.
    #[serde_as(as = "Vec<Hex>")]
    pub removed: Vec<[u8; 8]>,
}

/// Publisher of the cache events of an engine.
#[derive(Debug)]
pub(crate) struct CacheEvents {
    delay: Duration,
    gap: u64,
    published: AtomicU64,
    tx: broadcast::Sender<(Instant, CacheEvent)>,
}

impl CacheEvents {
    pub(crate) fn new(delay: Duration, gap: u64) -> Self {
        let (tx, _) = broadcast::channel(EVENT_BUFFER_SIZE);
        Self {
            delay,
            gap,
            published: AtomicU64::new(0),
            tx,
        }
    }

    /// Publishes a change, unless the event is dropped to create a gap.
    pub(crate) fn publish(&self, stored: Vec<BlockHash>, removed: Vec<BlockHash>) {
        if stored.is_empty() && removed.is_empty() {
            return;
        }
        let number = self.published.fetch_add(1, Ordering::Relaxed) + 1;
        if self.gap > 0 && number.is_multiple_of(self.gap) {
            return;
        }
        let bytes = |hashes: Vec<BlockHash>| hashes.into_iter().map(u64::to_be_bytes).collect();
        let event = CacheEvent {
            number,
            stored: bytes(stored),
            removed: bytes(removed),
        };
        // Sending fails only if there are no subscribers, and then no event is lost.
        drop(self.tx.send((Instant::now() + self.delay, event)));
    }

    /// Streams future events as server-sent events.
    pub(crate) fn stream(&self) -> impl Stream<Item = Result<String, Infallible>> + use<> {
        stream::unfold(self.tx.subscribe(), async |mut rx| {
            let (due, event) = loop {
                match rx.recv().await {
                    Ok(event) => break event,
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return None,
                }
            };
            sleep_until(due).await;
            let data = serde_json::to_string(&event).unwrap_or_default();
            Some((Ok(format!("data: {data}\n\n")), rx))
        })
    }
}
