//! Notices requests that a peer does not acknowledge.

use std::time::{Duration, Instant};

use bulrushward_policy::delivery::{Delivery, DeliveryWatch, stall_limit};
use tokio::time::sleep;

use crate::bounded_stream::BoundedStreamHandle;

/// Interval at which the send queue of a connection is read while a request is in transit.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until a request of more than `len` bytes is stalled; forever once it is delivered.
///
/// `is_withheld` returns whether its server takes no more requests by now.
pub(crate) async fn stalled(
    stream: &BoundedStreamHandle,
    len: usize,
    is_withheld: impl Fn() -> bool,
) {
    let mut watch = DeliveryWatch::new(len as u64, Instant::now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let Ok(queue) = stream.send_queue() else {
            // The read side reports that the connection is closed.
            return std::future::pending().await;
        };
        match watch.observe(queue, stall_limit(is_withheld()), Instant::now()) {
            Delivery::Pending => {}
            Delivery::Stalled => return,
            Delivery::Delivered => return std::future::pending().await,
        }
    }
}
