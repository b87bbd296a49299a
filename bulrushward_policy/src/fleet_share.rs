//! What one member of a fleet may take of an allowance that all members share.
//!
//! Handles: fleets so large that a member's share is less than one unit; members whose counts of the
//! fleet differ or jump, as after a restart or while some cannot reach each other.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a lower count of the fleet must last before shares grow.
///
/// Members that are cut off from each other still share the allowance.
const LOWER_COUNT_TIME: Duration = Duration::from_secs(30);
/// Time after its last sign of life for which a lost member keeps its share of a strict allowance.
const LOST_MEMBER_TIME: Duration = Duration::from_mins(10);
/// Largest number of members that are remembered, several times the size of the largest fleets.
const MAX_MEMBERS: usize = 4_096;
/// Time from the start for which a member takes no share of a strict allowance.
///
/// Units that the previous process took are then a second old.
const START_TIME: Duration = Duration::from_millis(1_050);
/// Interval at the end of which a member that has just started checks whether it still discovers others.
const SETTLING_INTERVAL: Duration = Duration::from_millis(600);
/// Growth within an interval up to which the fleet counts as known, as a divisor of its size.
const SETTLED_GROWTH_DIVISOR: usize = 8;

/// Returns a member's share of `total` in whole units.
///
/// The units that are left after an equal division go to some of the members; `draw`, the member's own
/// number from 0 to 1, decides whether it is one of them.
#[must_use]
pub fn whole_share(total: f64, members: u32, draw: f64) -> u32 {
    let share = total.max(0.0) / f64::from(members.max(1));
    share as u32 + u32::from(share.fract() > draw)
}

/// The size of the fleet by which a member divides allowances.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    size: u32,
    /// Start and highest value of a period of lower counts.
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
    /// A higher count applies at once, a lower one only if it lasts.
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

/// Place of a member among all members, by which allowances are divided into whole units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Number of members that come first; all members rank in the same way.
    pub rank: u32,
    /// Number of all members.
    pub members: u32,
}

impl FleetPosition {
    /// Returns the place of the member `own` among `members` in the order that belongs to `item`.
    ///
    /// Each item has an order of its own, so that each member has a share of some of them.
    #[must_use]
    pub fn ranked(own: u64, members: &[u64], item: u64) -> Self {
        let own = order_key(own, item);
        let earlier = members
            .iter()
            .filter(|member| order_key(**member, item) < own);
        Self {
            rank: earlier.count() as u32,
            members: members.len() as u32,
        }
    }

    /// Returns the indices of `members` in the order that belongs to `item`.
    #[must_use]
    pub fn order(members: &[u64], item: u64) -> Vec<usize> {
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_cached_key(|index| order_key(members[*index], item));
        order
    }

    /// Returns the member's share; the shares of members with the same view add up to `units`.
    #[must_use]
    pub fn share(self, units: u32) -> u32 {
        let members = self.members.max(1);
        units / members + u32::from(self.rank < units % members)
    }
}

/// The members among which allowances are divided that must never be exceeded.
///
/// Lost members are kept for a long time, as they may only be unreachable.
#[derive(Clone, Debug)]
pub struct FleetMembers<K> {
    last_alive: HashMap<K, Instant>,
    started: Instant,
    /// Number of members at the beginning of the current settling interval.
    settling: (Instant, usize),
    is_settled: bool,
}

impl<K: Clone + Eq + Hash + Ord> FleetMembers<K> {
    /// Creates the fleet of a member that has just started and knows only itself.
    #[must_use]
    pub fn new(own: K, now: Instant) -> Self {
        Self {
            last_alive: HashMap::from([(own, now)]),
            started: now,
            settling: (now, 1),
            is_settled: false,
        }
    }

    /// Records the members that are alive; returns whether the set of members or what is known of it changed.
    pub fn observe(&mut self, alive: impl IntoIterator<Item = K>, now: Instant) -> bool {
        let mut has_changed = false;
        for member in alive {
            let is_known = self.last_alive.contains_key(&member);
            if is_known || self.last_alive.len() < MAX_MEMBERS {
                self.last_alive.insert(member, now);
                has_changed |= !is_known;
            }
        }
        let known = self.last_alive.len();
        self.last_alive
            .retain(|_, seen| now.saturating_duration_since(*seen) < LOST_MEMBER_TIME);
        has_changed |= self.last_alive.len() < known;
        has_changed | self.settle(now)
    }

    /// Returns whether the members have been discovered, so that this one may take its shares.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns the members in ascending order.
    #[must_use]
    pub fn members(&self) -> Vec<K> {
        let mut members: Vec<_> = self.last_alive.keys().cloned().collect();
        members.sort_unstable();
        members
    }

    /// Returns whether the members have become known with this call.
    fn settle(&mut self, now: Instant) -> bool {
        if self.is_settled {
            return false;
        }
        let (since, count) = self.settling;
        let members = self.last_alive.len();
        let is_growing = members > count + count / SETTLED_GROWTH_DIVISOR;
        if now.saturating_duration_since(since) >= SETTLING_INTERVAL {
            let has_started = now.saturating_duration_since(self.started) >= START_TIME;
            self.is_settled = has_started && !is_growing;
            self.settling = (now, members);
        }
        self.is_settled
    }
}

/// Returns the key by which members are ordered for `item`.
fn order_key(member: u64, item: u64) -> (u64, u64) {
    (xxh3_64_with_seed(&member.to_le_bytes(), item), member)
}
