//! Streams that stay open, to measure what an open request costs.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::{
    arrivals::Arrival,
    bounds::{self, BoundError},
    client::{Client, Work},
    target::Target,
};

/// Streams that are read until this is dropped.
#[derive(Debug)]
pub struct HeldStreams {
    readers: JoinSet<()>,
    open: usize,
}

impl HeldStreams {
    /// Returns how many streams had their first bytes.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns how many of them have ended since.
    pub fn ended(&mut self) -> usize {
        while self.readers.try_join_next().is_some() {}
        self.open - self.readers.len()
    }
}

/// Opens a stream for each arrival and waits for the first bytes of all, within a time.
///
/// # Errors
///
/// Returns [`BoundError`] if there are too many.
pub async fn hold(
    client: &Client,
    target: &Target,
    arrivals: &[Arrival],
    time: Duration,
) -> Result<HeldStreams, BoundError> {
    bounds::check_concurrency(arrivals.len())?;
    let mut openings = JoinSet::new();
    for arrival in arrivals {
        let request = client.request(target, Work::StreamedChat, arrival);
        openings.spawn(tokio::time::timeout(time, async move {
            let mut response = request.send().await.ok()?;
            if !response.status().is_success() {
                return None;
            }
            response.chunk().await.ok()??;
            Some(response)
        }));
    }
    let mut readers = JoinSet::new();
    let opened = openings.join_all().await;
    let in_time = opened.into_iter().filter_map(Result::ok);
    for mut response in in_time.flatten() {
        readers.spawn(async move { while let Ok(Some(_chunk)) = response.chunk().await {} });
    }
    let open = readers.len();
    Ok(HeldStreams { readers, open })
}
