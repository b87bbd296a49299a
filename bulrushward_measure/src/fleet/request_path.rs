//! Handling of a request from its arrival to its end.

use std::{cmp::Reverse, time::Duration};

use bulrushward_policy::{
    admission::{AdmissionRequest, Decision},
    attempt::{RequestProgress, RequestProperties, Step},
};
use bulrushward_protocol::{AttemptId, Outcome, RefusalReason};

use super::{CALLER_DELAY, Event, Fleet, Pending};
use crate::{Backend, View, engine::EngineEvent, policies::STICKY_CANDIDATES};

impl Fleet<'_> {
    pub(super) fn handle_arrival(&mut self, request: usize) {
        if let Some(next) = self.arrivals.get(request + 1) {
            let at = next.at;
            let request = request + 1;
            self.events.push(Reverse((at, Event::Arrive { request })));
        }
        let arrival = self.arrivals[request];
        self.refresh_router(arrival.router);
        let view = View {
            router: arrival.router,
            known: &self.routers[arrival.router].known,
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
        self.continue_request(request, Duration::ZERO);
    }

    /// Runs the next step of a request that is not admitted.
    ///
    /// `delay` is the time that the last response takes to reach the router.
    fn continue_request(&mut self, request: usize, delay: Duration) {
        let arrival = self.arrivals[request];
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let now = self.epoch + self.now + delay;
        let budget = &mut self.routers[arrival.router].budget;
        match pending.progress.next(now, budget) {
            Step::Send { candidate, .. } => {
                let backend = pending.candidates[candidate];
                let delay = delay + self.one_way_delay(arrival.router, backend);
                self.schedule(delay, Event::Attempt { request, backend });
            }
            Step::Refuse { reason, .. } => {
                self.pending.remove(&request);
                self.results
                    .record_refusal(arrival.kind, reason, self.is_measured(&arrival));
            }
            Step::Resume { .. } | Step::Wait | Step::Done => {}
        }
    }

    pub(super) fn handle_attempt(&mut self, request: usize, backend: usize) {
        let arrival = self.arrivals[request];
        self.advance_engine(backend);
        let admission_request = AdmissionRequest {
            attempt: request as AttemptId,
            organisation: arrival.organisation.to_string(),
            kind: arrival.kind.to_string(),
            work: arrival.work(),
            deadline: self.deadline(&arrival),
        };
        let mean = self.estimate_mean_load(backend, arrival.work());
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
        let refuses_spilled = is_sticky && self.policy.remembers_spills();
        let decision = self.update_load(backend, |backend| {
            let is_spilled = backend.spilled.tokens(arrival.chat) > 0;
            if refuses_spilled && is_spilled {
                return Decision::Refuse {
                    reason: RefusalReason::LoadBound,
                    retry_after: Duration::ZERO,
                };
            }
            backend.admission.submit(&admission_request, mean, now)
        });
        if let Decision::Refuse {
            reason,
            retry_after,
        } = decision
        {
            if reason == RefusalReason::LoadBound {
                self.backends[backend].spilled.insert(arrival.chat, 1);
            }
            let response_delay = self.one_way_delay(arrival.router, backend);
            if let Some(pending) = self.pending.get_mut(&request) {
                pending
                    .progress
                    .refused(reason, Outcome::NotRun, retry_after);
            }
            self.continue_request(request, response_delay);
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

    /// Advances an engine, starts queued requests and schedules the next wake-up.
    pub(super) fn advance_engine(&mut self, backend: usize) {
        for event in self.backends[backend].engine.advance(self.now) {
            match event {
                EngineEvent::FirstToken(request) => self.handle_first_token(request, backend),
                EngineEvent::Finished(request) => self.handle_finished(request, backend),
            }
        }
        self.schedule_wake(backend);
    }

    fn schedule_wake(&mut self, backend: usize) {
        let engine = &self.backends[backend].engine;
        let generation = engine.generation;
        if let Some(at) = engine.next_event_time() {
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
        let cached = self.backends[backend].engine.start(request, arrival);
        let holders = self.holders.entry(arrival.conversation).or_default();
        if !holders.contains(&backend) {
            holders.push(backend);
        }
        let is_measured = self.is_measured(arrival);
        self.results
            .record_prompt(cached, arrival.prompt(), is_measured);
    }

    fn handle_first_token(&mut self, request: usize, backend: usize) {
        let arrival = &self.arrivals[request];
        let network_delay = 2 * CALLER_DELAY + self.one_way_delay(arrival.router, backend);
        let elapsed = self.now.saturating_sub(arrival.at) + network_delay;
        self.results
            .record_first_token(arrival.kind, elapsed, self.is_measured(arrival));
    }

    fn handle_finished(&mut self, request: usize, backend: usize) {
        let now = self.epoch + self.now;
        let (started, expired) = self.update_load(backend, |backend| {
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
                .record_refusal(arrival.kind, RefusalReason::Deadline, is_measured);
        }
    }

    /// Applies a change to a backend server and updates the total load.
    pub(super) fn update_load<T>(
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
