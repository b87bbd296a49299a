//! Pauses between failed calls to the store.

use std::time::Duration;

use rand::RngExt;

/// Longest pause after the first failed call; it doubles with each further one up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between calls while the store is unavailable.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Exponential backoff with jitter between failed calls.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Pauses after a failed call.
    pub(crate) async fn pause(&mut self) {
        let longest =
            (INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        // Jitter keeps routers that lost the store together from retrying together.
        let pause = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
    }
}
