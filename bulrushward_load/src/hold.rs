//! Keeps streams open, so that the cost of an open request can be measured.

use std::time::Duration;

use tokio::task::JoinSet;

use crate::{
    arrivals::Arrival,
    bounds::{self, BoundError},
    client::{Client, Work},
    target::Target,
};

/// Open streams; they are read in the background until this value is dropped.
#[derive(Debug)]
pub struct HeldStreams {
    readers: JoinSet<()>,
    open: usize,
}

impl HeldStreams {
    /// Returns how many streams received their first bytes.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns how many of these streams have ended.
    pub fn ended(&mut self) -> usize {
        while self.readers.try_join_next().is_some() {}
        self.open - self.readers.len()
    }
}

/// Opens a stream for each arrival and waits up to `time` for the first bytes of all streams.
///
/// # Errors
///
/// Returns [`BoundError`] if there are no arrivals or too many.
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
