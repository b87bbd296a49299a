//! Views of members and loads that routers and agents have.

use std::sync::Arc;

use bulrushward_policy::placement::{Candidate, PlacementTable};

use super::{AgentLoadView, Fleet, REFRESH_INTERVAL, ROUTER_WITHOUT_REPORTS};
use crate::{KnownBackend, Limits, load_history::lag_fraction};

impl Fleet<'_> {
    pub(super) fn refresh_router(&mut self, router: usize) {
        let state = &self.routers[router];
        let is_fresh = |at| self.now.saturating_sub(at) < REFRESH_INTERVAL;
        if state.refreshed.is_some_and(is_fresh) {
            return;
        }
        let age = self.now.saturating_sub(state.started);
        let has_no_reports = age < ROUTER_WITHOUT_REPORTS && !state.started.is_zero();
        let known = |slot| {
            let backend = self.known_backend(router, slot);
            let report = self.history.latest_report(router, slot, self.now);
            KnownBackend {
                backend,
                name: Arc::clone(&self.backends[backend].name),
                load: report.filter(|_| !has_no_reports).map(|report| report.load),
            }
        };
        let known: Vec<KnownBackend> = (0..self.slots.len()).map(known).collect();
        self.routers[router].table = placement_table(&known);
        self.routers[router].known = known;
        self.routers[router].refreshed = Some(self.now);
    }

    /// Returns the backend server of a slot as a router knows it.
    ///
    /// That is the previous one until the router has learned of its replacement.
    fn known_backend(&self, router: usize, slot: usize) -> usize {
        let (current, previous) = self.slots[slot];
        let fraction = lag_fraction(router, slot, self.backends[current].joined);
        let lag = self.size.member_lag.mul_f64(fraction);
        let knows_current = self.now.saturating_sub(self.backends[current].joined) >= lag;
        if knows_current {
            current
        } else {
            previous.unwrap_or(current)
        }
    }

    /// Returns an agent's estimate of the mean load, from delayed reports of the other agents and
    /// from its own load with `work` added.
    pub(super) fn estimate_mean_load(&mut self, backend: usize, work: u64) -> f64 {
        if self.policy.limits() != Limits::Bounded {
            return 0.0;
        }
        let own = self.backends[backend].slot;
        let is_fresh = |at| self.now.saturating_sub(at) < REFRESH_INTERVAL;
        if !self.load_views[backend].refreshed.is_some_and(is_fresh) {
            let observer = self.size.routers + own;
            let others = (0..self.slots.len()).filter(|slot| *slot != own);
            let report = |slot| self.history.latest_report(observer, slot, self.now);
            let reports = others.filter_map(report).collect();
            let view = &mut self.load_views[backend];
            view.refreshed = Some(self.now);
            view.reports = reports;
        }
        let load = self.backends[backend].load() + work;
        let now = self.epoch + self.now;
        let AgentLoadView { reports, mean, .. } = &mut self.load_views[backend];
        mean.estimate(load, reports, self.slots.len() - 1, now)
    }
}

fn placement_table(known: &[KnownBackend]) -> PlacementTable {
    let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(known.len());
    for member in known {
        candidates.push(Candidate {
            name: &member.name,
            weight: 1.0,
        });
    }
    PlacementTable::new(&candidates)
}
