//! Follows the VM list of the platform.

use std::time::Duration;

use bulrushward_clients::{Vm, VmList};
use rand::RngExt;
use tokio::sync::mpsc;
use tracing::warn;

/// Time between two readings of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Part of an interval by which it is shifted at random.
const JITTER: f64 = 0.2;

/// Sends the list again and again, for as long as anyone receives.
pub(crate) async fn follow(vm_list: Box<dyn VmList>, tx: mpsc::Sender<Vec<Vm>>) {
    let mut available = true;
    while !tx.is_closed() {
        let answer = vm_list.list().await;
        if available != answer.is_ok() {
            available = answer.is_ok();
            warn!(
                event = "vm-list",
                available,
                error = answer.as_ref().err().map(ToString::to_string)
            );
        }
        if let Ok(vms) = answer {
            let _receiver_gone = tx.send(vms).await;
        }
        tokio::time::sleep(jittered(VM_LIST_INTERVAL)).await;
    }
}

/// Shifts an interval at random, so that processes do not act in step.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
