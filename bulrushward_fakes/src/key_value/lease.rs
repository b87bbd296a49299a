//! Leases of the key-value service.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use bulrushward_clients::gateway::Header;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use super::state::KeyValueState;

/// Body of `POST /v3/lease/grant`.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "TTL")]
    ttl: u32,
    /// Requested id, or 0 for any free id.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "ID", default)]
    id: i64,
}

/// Body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize)]
pub(crate) struct LeaseRequest {
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "ID")]
    id: i64,
}

/// State of a lease after a call; a TTL of 0 means that the lease no longer exists.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LeaseResponse {
    header: Header,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "ID")]
    id: i64,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(rename = "TTL")]
    ttl: u32,
}

/// Lease that expires at its deadline.
#[derive(Debug)]
pub(super) struct Lease {
    ttl: u32,
    deadline: watch::Sender<Instant>,
}

fn deadline(ttl: u32) -> Instant {
    Instant::now() + Duration::from_secs(ttl.into())
}

impl KeyValueState {
    pub(crate) fn grant(self: &Arc<Self>, request: LeaseGrantRequest) -> LeaseResponse {
        self.count(|counters| counters.lease_grants += 1);
        let (tx, rx) = watch::channel(deadline(request.ttl));
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let id = match request.id {
            0 => leases.keys().max().map_or(1, |id| id + 1),
            id => id,
        };
        leases.insert(
            id,
            Lease {
                ttl: request.ttl,
                deadline: tx,
            },
        );
        drop(leases);
        tokio::spawn(Arc::clone(self).expire_at_deadline(id, rx));
        self.lease_response(id, request.ttl)
    }

    pub(crate) fn keep_alive(&self, request: LeaseRequest) -> LeaseResponse {
        self.count(|counters| counters.lease_keepalives += 1);
        let leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let ttl = leases.get(&request.id).map_or(0, |lease| {
            lease.deadline.send_replace(deadline(lease.ttl));
            lease.ttl
        });
        drop(leases);
        self.lease_response(request.id, ttl)
    }

    pub(crate) fn revoke(&self, request: LeaseRequest) -> LeaseResponse {
        self.count(|counters| counters.lease_revokes += 1);
        self.remove_lease(request.id);
        self.lease_response(request.id, 0)
    }

    /// Expires all leases immediately.
    pub(crate) fn expire_all(&self) {
        let leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let ids: Vec<i64> = leases.keys().copied().collect();
        drop(leases);
        for id in ids {
            self.remove_lease(id);
        }
    }

    async fn expire_at_deadline(self: Arc<Self>, id: i64, mut deadline: watch::Receiver<Instant>) {
        loop {
            let until = *deadline.borrow_and_update();
            tokio::select! {
                () = sleep_until(until) => return self.remove_lease(id),
                changed = deadline.changed() => {
                    // The sender is dropped when the lease is revoked.
                    let Ok(()) = changed else { return };
                }
            }
        }
    }

    fn remove_lease(&self, id: i64) {
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        leases.remove(&id);
        drop(leases);
        self.store().delete_leased(id);
        self.notify_watches();
    }

    fn lease_response(&self, id: i64, ttl: u32) -> LeaseResponse {
        LeaseResponse {
            header: self.store().header(),
            id,
            ttl,
        }
    }
}
