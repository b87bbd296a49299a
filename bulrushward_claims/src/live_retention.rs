//! The retention in force, which operators change while the store runs.

use std::sync::{Mutex, PoisonError};

use bulrushward_policy::claim::Retention;

/// Retention that all records of a store share.
#[derive(Debug)]
pub(crate) struct LiveRetention(Mutex<Retention>);

impl LiveRetention {
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
