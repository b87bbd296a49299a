//! The limit on the load of one backend server relative to the mean load.

use bulrushward_protocol::WorkUnits;

/// Admits work while the load stays within a multiple of the mean, or below a floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadBound {
    /// Allowed load as a multiple of the mean load.
    pub multiple: f64,
    /// Load that is always allowed, in work units.
    pub floor: WorkUnits,
}

impl LoadBound {
    /// Returns the highest load that is allowed at a given mean load.
    #[must_use]
    pub fn limit(&self, mean: f64) -> WorkUnits {
        let multiple = (self.multiple * mean).ceil();
        self.floor.max(multiple as WorkUnits)
    }

    /// Returns whether `work` may be added to `load`.
    #[must_use]
    pub fn admits(&self, load: WorkUnits, work: WorkUnits, mean: f64) -> bool {
        load.saturating_add(work) <= self.limit(mean)
    }
}
