//! What one member of a fleet may take of an allowance that all members share.
//!
//! Handles: fleets so large that a member's share is less than one unit; members whose counts of the
//! fleet differ or jump, as after a restart or while some cannot reach each other.

use std::time::{Duration, Instant};

/// Time for which a lower count of the fleet must last before shares grow.
///
/// Members that are cut off from each other still share the allowance.
const LOWER_COUNT_TIME: Duration = Duration::from_secs(30);

/// Returns a member's share of `total` in whole units.
///
/// The units that are left after an equal division go to some of the members; `draw` is a number from
/// 0 to 1 of the member's own, which decides whether it is one of them.
#[must_use]
pub fn whole_share(total: f64, members: u32, draw: f64) -> u32 {
    let share = total.max(0.0) / f64::from(members.max(1));
    share as u32 + u32::from(share.fract() > draw)
}

/// The size of the fleet by which a member divides allowances.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    size: u32,
    /// Since when and to what at most the count has been lower.
    lower: Option<(Instant, u32)>,
}

impl FleetSize {
    /// Creates the size of a fleet of which at least `size` members are assumed.
    #[must_use]
    pub fn new(size: u32) -> Self {
        Self { size, lower: None }
    }

    /// Records the current count and returns the size to divide by.
    ///
    /// A higher count holds at once, a lower one after it has lasted.
    pub fn observe(&mut self, count: u32, now: Instant) -> u32 {
        if count >= self.size {
            self.size = count;
            self.lower = None;
            return self.size;
        }
        let (since, highest) = self.lower.unwrap_or((now, count));
        let highest = highest.max(count);
        self.lower = Some((since, highest));
        if now.saturating_duration_since(since) >= LOWER_COUNT_TIME {
            self.size = highest;
            self.lower = None;
        }
        self.size
    }
}
