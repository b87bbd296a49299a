//! Memory that the bodies of callers take together, shared by services.
//!
//! Handles: servers that read slowly, so that bodies stay for long; many large bodies at once; a service whose bodies
//! would leave no memory to those of other services.

use std::collections::HashMap;

/// Hash of the name of a service.
pub type ServiceKey = u64;

/// Bytes that each body may always have, so that ordinary requests fit.
const FREE_BYTES: usize = 64 << 10;

/// Memory of the bodies of one process.
///
/// A service may use as much as is left (dynamic thresholds): alone it gets half of the capacity, and any number of services
/// that use all they may leave room for another one.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    capacity: usize,
    /// Bytes in use beyond the free ones.
    used: HashMap<ServiceKey, usize>,
}

impl BodyBudget {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: HashMap::new(),
        }
    }

    /// Sets the capacity in bytes; bodies that exceed a smaller one stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Changes the size of a body from `old` to `new` bytes; returns whether the budget allows it.
    ///
    /// A body may always shrink.
    #[must_use]
    pub fn resize(&mut self, service: ServiceKey, old: usize, new: usize) -> bool {
        let known = self.used.get(&service).copied().unwrap_or_default();
        let others = self.used.values().sum::<usize>() - known;
        let without = known.saturating_sub(old.saturating_sub(FREE_BYTES));
        let with = without.saturating_add(new.saturating_sub(FREE_BYTES));
        let left = self.capacity.saturating_sub(others.saturating_add(with));
        if new > old.max(FREE_BYTES) && with > left {
            return false;
        }
        if with > 0 {
            self.used.insert(service, with);
        } else {
            self.used.remove(&service);
        }
        true
    }
}
