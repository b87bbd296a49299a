//! The way of a request from its arrival to its end.

use std::{cmp::Reverse, time::Duration};

use bulrushward_policy::{
    admission::{AdmissionRequest, Decision},
    attempt::{RequestProgress, RequestProperties, Step},
};
use bulrushward_protocol::{AttemptId, Outcome, RefusalReason};

use super::{Event, Fleet, Pending, TO_CALLER};
use crate::{Backend, View, engine::Progress, policies::STICKY_CANDIDATES};

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        if let Some(next) = self.arrivals.get(request + 1) {
            let at = next.at;
            let request = request + 1;
            self.events.push(Reverse((at, Event::Arrive { request })));
        }
        let arrival = self.arrivals[request];
        self.refresh_router(arrival.router);
        let view = View {
            router: arrival.router,
            seen: &self.routers[arrival.router].seen,
            table: &self.routers[arrival.router].table,
            bound: self.bound,
            backends: &self.backends,
            holders: &self.holders,
        };
        let candidates = self.policy.order(&view, &arrival, &mut self.rng);
        let progress = RequestProgress::new(RequestProperties {
            candidates: candidates.len(),
            idempotent: true,
            suspect: false,
            deadline: self.deadline(&arrival),
        });
        self.pending.insert(
            request,
            Pending {
                candidates,
                progress,
            },
        );
        self.results.arrived += 1;
        self.routers[arrival.router].budget.deposit();
        self.proceed(request, Duration::ZERO);
    }

    /// Does the next step of a request that is not admitted, after its last answer came back.
    fn proceed(&mut self, request: usize, delay: Duration) {
        let arrival = self.arrivals[request];
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let now = self.epoch + self.now + delay;
        let budget = &mut self.routers[arrival.router].budget;
        match pending.progress.next(now, budget) {
            Step::Send { candidate, .. } => {
                let backend = pending.candidates[candidate];
                let delay = delay + self.one_way(arrival.router, backend);
                self.schedule(delay, Event::Attempt { request, backend });
            }
            Step::Refuse { reason, .. } => {
                self.pending.remove(&request);
                self.results
                    .refuse(arrival.kind, reason, self.is_measured(&arrival));
            }
            Step::Resume { .. } | Step::Wait | Step::Done => {}
        }
    }

    pub(super) fn attempt(&mut self, request: usize, backend: usize) {
        let arrival = self.arrivals[request];
        self.step(backend);
        let ticket = AdmissionRequest {
            attempt: request as AttemptId,
            organisation: arrival.organisation.to_string(),
            kind: arrival.kind.to_string(),
            work: arrival.work(),
            deadline: self.deadline(&arrival),
        };
        let mean = self.agent_mean_with(backend, arrival.work());
        let now = self.epoch + self.now;
        let candidates = self
            .pending
            .get(&request)
            .map(|pending| &pending.candidates);
        let is_sticky = candidates.is_some_and(|all| {
            all.iter()
                .take(STICKY_CANDIDATES)
                .any(|&candidate| candidate == backend)
        });
        let may_send_on = is_sticky && self.policy.remembers_spills();
        let decision = self.change_load(backend, |backend| {
            let is_spilled = backend.spilled.tokens(arrival.chat) > 0;
            if may_send_on && is_spilled {
                return Decision::Refuse {
                    reason: RefusalReason::LoadBound,
                    retry_after: Duration::ZERO,
                };
            }
            backend.admission.submit(&ticket, mean, now)
        });
        if let Decision::Refuse {
            reason,
            retry_after,
        } = decision
        {
            if reason == RefusalReason::LoadBound {
                self.backends[backend].spilled.insert(arrival.chat, 1);
            }
            let back = self.one_way(arrival.router, backend);
            if let Some(pending) = self.pending.get_mut(&request) {
                pending
                    .progress
                    .refused(reason, Outcome::NotRun, retry_after);
            }
            self.proceed(request, back);
            return;
        }
        self.backends[backend].spilled.remove(arrival.chat);
        self.pending.remove(&request);
        self.results.admitted += 1;
        if self.is_measured(&arrival) {
            let mean = self.total_load as f64 / self.slots.len() as f64;
            let load = self.backends[backend].load();
            self.results.record_skew(load, mean, self.bound.floor);
        }
        if decision == Decision::Start {
            self.start(request, backend);
            self.schedule_wake(backend);
        }
    }

    /// Lets an engine make progress, starts what waits beside it and schedules its next step.
    pub(super) fn step(&mut self, backend: usize) {
        for progress in self.backends[backend].engine.advance(self.now) {
            match progress {
                Progress::FirstToken(request) => self.first_token(request, backend),
                Progress::Finished(request) => self.finished(request, backend),
            }
        }
        self.schedule_wake(backend);
    }

    fn schedule_wake(&mut self, backend: usize) {
        let engine = &self.backends[backend].engine;
        let generation = engine.generation;
        if let Some(at) = engine.next_step() {
            self.events.push(Reverse((
                at,
                Event::Wake {
                    backend,
                    generation,
                },
            )));
        }
    }

    fn start(&mut self, request: usize, backend: usize) {
        let arrival = &self.arrivals[request];
        let found = self.backends[backend].engine.start(request, arrival);
        let holders = self.holders.entry(arrival.conversation).or_default();
        if !holders.contains(&backend) {
            holders.push(backend);
        }
        let is_measured = self.is_measured(arrival);
        self.results
            .record_prompt(found, arrival.prompt(), is_measured);
    }

    fn first_token(&mut self, request: usize, backend: usize) {
        let arrival = &self.arrivals[request];
        let way = 2 * TO_CALLER + self.one_way(arrival.router, backend);
        let elapsed = self.now.saturating_sub(arrival.at) + way;
        self.results
            .record_first_token(arrival.kind, elapsed, self.is_measured(arrival));
    }

    fn finished(&mut self, request: usize, backend: usize) {
        let now = self.epoch + self.now;
        let (started, expired) = self.change_load(backend, |backend| {
            let started = backend.admission.finish(request as AttemptId, now);
            (started, backend.admission.expire(now))
        });
        self.results.finished += 1;
        for attempt in started {
            self.start(attempt as usize, backend);
        }
        for attempt in expired {
            let arrival = self.arrivals[attempt as usize];
            let is_measured = self.is_measured(&arrival);
            self.results
                .refuse(arrival.kind, RefusalReason::Deadline, is_measured);
        }
    }

    /// Applies a change to a backend server and keeps the sum of loads in step.
    pub(super) fn change_load<T>(
        &mut self,
        backend: usize,
        change: impl FnOnce(&mut Backend) -> T,
    ) -> T {
        let backend = &mut self.backends[backend];
        let before = backend.load();
        let value = change(backend);
        if !backend.is_leaving {
            self.total_load = self.total_load + backend.load() - before;
        }
        value
    }
}
