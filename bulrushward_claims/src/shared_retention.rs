//! The current retention, which operators can change while the store runs.

use std::sync::{Mutex, PoisonError};

use bulrushward_policy::claim::Retention;

/// Retention shared by all shards of a store.
#[derive(Debug)]
pub(crate) struct SharedRetention(Mutex<Retention>);

impl SharedRetention {
    pub(crate) fn new(retention: Retention) -> Self {
        Self(Mutex::new(retention))
    }

    pub(crate) fn get(&self) -> Retention {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, retention: Retention) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = retention;
    }
}
