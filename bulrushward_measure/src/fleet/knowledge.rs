//! What routers and agents know of loads and members.

use std::sync::Arc;

use bulrushward_policy::placement::{Candidate, PlacementTable};

use super::{Fleet, Heard, REFRESH_INTERVAL, ROUTER_BLIND};
use crate::{Limits, Seen, views::share_of_lag};

impl Fleet<'_> {
    pub(super) fn refresh_router(&mut self, router: usize) {
        let state = &self.routers[router];
        let is_fresh = |at| self.now.saturating_sub(at) < REFRESH_INTERVAL;
        if state.refreshed.is_some_and(is_fresh) {
            return;
        }
        let age = self.now.saturating_sub(state.started);
        let is_blind = age < ROUTER_BLIND && !state.started.is_zero();
        let seen = |slot| {
            let backend = self.seen_backend(router, slot);
            let report = self.history.reported(router, slot, self.now);
            Seen {
                backend,
                name: Arc::clone(&self.backends[backend].name),
                load: report.filter(|_| !is_blind).map(|report| report.load),
            }
        };
        let seen: Vec<Seen> = (0..self.slots.len()).map(seen).collect();
        self.routers[router].table = placement_table(&seen);
        self.routers[router].seen = seen;
        self.routers[router].refreshed = Some(self.now);
    }

    /// Returns the occupant of a slot that a router believes in: the one before, until it hears.
    fn seen_backend(&self, router: usize, slot: usize) -> usize {
        let (current, previous) = self.slots[slot];
        let share = share_of_lag(router, slot, self.backends[current].joined);
        let age = self.size.member_lag.mul_f64(share);
        let has_heard = self.now.saturating_sub(self.backends[current].joined) >= age;
        if has_heard {
            current
        } else {
            previous.unwrap_or(current)
        }
    }

    /// Returns the mean load as an agent estimates it from late reports, as it would be with more
    /// work at this agent.
    pub(super) fn agent_mean_with(&mut self, backend: usize, work: u64) -> f64 {
        if self.policy.limits() != Limits::Bounded {
            return 0.0;
        }
        let own = self.backends[backend].slot;
        let is_fresh = |at| self.now.saturating_sub(at) < REFRESH_INTERVAL;
        if !self.heard[backend].refreshed.is_some_and(is_fresh) {
            let viewer = self.size.routers + own;
            let others = (0..self.slots.len()).filter(|slot| *slot != own);
            let report = |slot| self.history.reported(viewer, slot, self.now);
            let reports = others.filter_map(report).collect();
            let heard = &mut self.heard[backend];
            heard.refreshed = Some(self.now);
            heard.reports = reports;
        }
        let load = self.backends[backend].load() + work;
        let now = self.epoch + self.now;
        let Heard { reports, mean, .. } = &mut self.heard[backend];
        mean.estimate(load, reports, self.slots.len() - 1, now)
    }
}

fn placement_table(seen: &[Seen]) -> PlacementTable {
    let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(seen.len());
    for member in seen {
        candidates.push(Candidate {
            name: &member.name,
            weight: 1.0,
        });
    }
    PlacementTable::new(&candidates)
}
