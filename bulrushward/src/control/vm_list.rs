//! Polls the VM list of the platform.

use std::time::Duration;

use bulrushward_clients::{Vm, VmList};
use rand::RngExt;
use tokio::sync::mpsc;
use tracing::warn;

/// Mean time between two reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Largest random change of an interval, as a fraction of it.
const JITTER: f64 = 0.2;

/// Reads the list periodically and sends it until the receiver is closed.
pub(crate) async fn poll(vm_list: Box<dyn VmList>, tx: mpsc::Sender<Vec<Vm>>) {
    let mut available = true;
    while !tx.is_closed() {
        let result = vm_list.list().await;
        if available != result.is_ok() {
            available = result.is_ok();
            warn!(
                event = "vm-list",
                available,
                error = result.as_ref().err().map(ToString::to_string)
            );
        }
        if let Ok(vms) = result {
            let _receiver_gone = tx.send(vms).await;
        }
        tokio::time::sleep(jittered(VM_LIST_INTERVAL)).await;
    }
}

/// Adds random jitter to an interval, so that processes do not act in lockstep.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0 - JITTER..1.0 + JITTER))
}
