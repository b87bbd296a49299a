//! Memory of the bodies that callers send, which is reserved before they are read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bulrushward_policy::body_budget::{BodyBudget, ServiceKey};
use xxhash_rust::xxh3::xxh3_64;

/// Memory of all bodies of callers in the process.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory(Arc<Mutex<BodyBudget>>);

impl BodyMemory {
    /// Creates a memory of `capacity` bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self(Arc::new(Mutex::new(BodyBudget::new(capacity))))
    }

    /// Sets the capacity in bytes.
    pub(crate) fn set_capacity(&self, capacity: usize) {
        self.lock().set_capacity(capacity);
    }

    /// Returns a reservation of no bytes for a body that is sent to a service.
    pub(crate) fn reservation(&self, service: &str) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            service: xxh3_64(service.as_bytes()),
            bytes: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BodyBudget> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one body, which is returned when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    memory: BodyMemory,
    service: ServiceKey,
    bytes: usize,
}

impl BodyReservation {
    /// Changes the reservation to the size of the body; returns whether there is memory for it.
    #[must_use]
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let is_allowed = self.memory.lock().resize(self.service, self.bytes, bytes);
        if is_allowed {
            self.bytes = bytes;
        }
        is_allowed
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        // Shrinking is always allowed.
        let _is_allowed = self.resize(0);
    }
}
