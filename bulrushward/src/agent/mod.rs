//! The agent: a proxy that receives all requests to one backend server.
//!
//! The agent enforces every rule that needs exact knowledge of the server: its load bound, draining,
//! deduplication of attempts, claims of actions and the attribution of crashes. Routers choose
//! agents by estimates.

mod attempts;
mod backend;
mod listener;
mod refusals;
mod replay_buffer;
mod runner;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_claims::Claims;
use bulrushward_config::{Config, Service};
use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionRequest, AdmissionSettings, Decision, KindSettings},
    crash_evidence::Verdict,
    load_bound::LoadBound,
};
use bulrushward_protocol::{AttemptId, Refusal, RefusalReason, RunRequest};
use tokio::sync::Semaphore;
use tracing::info;

pub(crate) use self::runner::Ending;
use self::{
    attempts::{Attempt, Attempts, Registration},
    backend::Backend,
};
use crate::{control::Control, metrics::AgentMetrics, settings::AgentSettings};

/// Interval between checks for waiting attempts whose deadline expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a crash during which the suspect request still counts as running.
const CRASH_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time that an attempt without readers continues, so that a router can resume it.
const ABANDONED_GRACE: Duration = Duration::from_secs(10);
/// Interval between checks during a planned stop for whether all attempts have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The agent of one backend server.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    control: Arc<Control>,
    claims: Arc<dyn Claims>,
    queue: Mutex<AdmissionQueue>,
    attempts: Attempts,
    backend: Backend,
    /// Limits requests suspected of crashing backend servers to one at a time.
    suspect_permit: Semaphore,
    metrics: AgentMetrics,
}

impl Agent {
    /// Builds an agent; [`Agent::start`] starts its background tasks.
    pub(crate) fn new(
        settings: AgentSettings,
        control: Arc<Control>,
        claims: Arc<dyn Claims>,
        metrics: AgentMetrics,
    ) -> Arc<Self> {
        let backend = Backend::new(
            settings.backend_url.clone(),
            settings.health_path.clone(),
            settings.backend_read_timeout,
        );
        let config = Arc::clone(&control.snapshot().config);
        let queue = Mutex::new(AdmissionQueue::new(admission_settings(&config, &settings)));
        Arc::new(Self {
            settings,
            control,
            claims,
            queue,
            attempts: Attempts::default(),
            backend,
            suspect_permit: Semaphore::new(1),
            metrics,
        })
    }

    /// Returns the routes of the inner listener, to which routers send attempts.
    pub(crate) fn routes(self: &Arc<Self>) -> salvo::Router {
        listener::routes(self)
    }

    /// Starts the background tasks of the agent.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_configuration());
        tokio::spawn(Arc::clone(self).expire_waiting());
        tokio::spawn(Arc::clone(self).probe_backend());
    }

    /// Refuses new attempts and waits without a time limit until all others have ended.
    pub(crate) async fn drain(&self) {
        self.lock_queue().drain();
        self.control.leave();
        loop {
            let unfinished = self.attempts.unfinished().len();
            if unfinished == 0 {
                return;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Admits an attempt, or returns the known attempt whose response serves this one too.
    fn receive(self: &Arc<Self>, mut req: RunRequest) -> Result<Arc<Attempt>, Refusal> {
        let id = req.attempt;
        self.check_availability(&req)?;
        self.check_quarantine(&mut req)?;
        let attempt = match self.attempts.register(req, Instant::now()) {
            Registration::New(attempt) => attempt,
            Registration::Known(known) => return Ok(known),
            Registration::Barred => {
                let message = "the attempt was abandoned before it arrived";
                return Err(refusals::not_run(RefusalReason::Barred, message));
            }
            Registration::KeyReused => {
                let message = "the idempotency key was used for a request with different content";
                return Err(refusals::not_run(RefusalReason::KeyReused, message));
            }
        };
        if let Err(refusal) = self.admit(&attempt) {
            attempt.buffer.refuse(refusal.clone());
            self.attempts.record_end(id, Instant::now());
            return Err(refusal);
        }
        tokio::spawn(runner::run(Arc::clone(self), Arc::clone(&attempt)));
        Ok(attempt)
    }

    /// Refuses attempts for an earlier start of this agent, and all attempts while the backend
    /// server is draining or unhealthy.
    fn check_availability(&self, req: &RunRequest) -> Result<(), Refusal> {
        if req.agent != self.control.incarnation() {
            let message = "the attempt was sent to an earlier start of this agent";
            return Err(refusals::not_run(RefusalReason::Restarted, message));
        }
        let snapshot = self.control.snapshot();
        let draining = snapshot
            .config
            .services
            .iter()
            .any(|service| service.draining.contains(&self.settings.backend));
        if draining || self.control.is_leaving() {
            let message = format!("backend server {:?} is draining", self.settings.backend);
            return Err(refusals::not_run(RefusalReason::Draining, message));
        }
        if !self.backend.is_healthy() {
            let message = format!(
                "backend server {:?} does not respond",
                self.settings.backend
            );
            return Err(refusals::not_run(RefusalReason::BackendDown, message));
        }
        Ok(())
    }

    /// Refuses a quarantined request. Marks a suspect one, because its router may not know of the
    /// suspicion yet.
    fn check_quarantine(&self, req: &mut RunRequest) -> Result<(), Refusal> {
        match self.control.quarantine_verdict(req.fingerprint) {
            Verdict::Clear => Ok(()),
            Verdict::Suspect | Verdict::HalfOpen => {
                req.suspect = true;
                Ok(())
            }
            Verdict::Barred { remaining } => {
                let message = "the request crashed backend servers and is quarantined";
                let reason = RefusalReason::Quarantined;
                Err(refusals::not_run_retry_after(reason, remaining, message))
            }
        }
    }

    fn admit(&self, attempt: &Attempt) -> Result<(), Refusal> {
        let req = &attempt.req;
        let admission_request = AdmissionRequest {
            attempt: req.attempt,
            organisation: req.organisation.clone(),
            kind: req.kind.clone(),
            work: req.work,
            deadline: attempt.deadline(),
        };
        let mean_load = self.control.mean_load_with(req.work);
        let mut queue = self.lock_queue();
        let decision = queue.submit(&admission_request, mean_load, Instant::now());
        self.publish_load(&queue);
        drop(queue);
        match decision {
            Decision::Start => {
                attempt.start.notify_one();
                Ok(())
            }
            Decision::Queue => Ok(()),
            Decision::Refuse {
                reason,
                retry_after,
            } => {
                self.metrics.refused(reason);
                let message = format!("backend server {:?}: {reason}", self.settings.backend);
                Err(refusals::not_run_retry_after(reason, retry_after, message))
            }
        }
    }

    /// Removes an attempt from the admission queue and starts those that now have a slot.
    ///
    /// Only a completed attempt counts towards the queue's estimate of service times.
    fn remove_from_queue(&self, id: AttemptId, completed: bool, now: Instant) {
        let mut queue = self.lock_queue();
        let started = if completed {
            queue.finish(id, now)
        } else {
            queue.cancel(id, now)
        };
        self.publish_load(&queue);
        drop(queue);
        self.start_attempts(&started);
    }

    fn start_attempts(&self, started: &[AttemptId]) {
        for id in started {
            if let Some(attempt) = self.attempts.get(*id) {
                attempt.start.notify_one();
            }
        }
    }

    /// Records that a chunk of a response arrived, which is about one token.
    fn record_progress(&self, id: AttemptId) {
        let mut queue = self.lock_queue();
        queue.progress(id, 1);
        self.publish_load(&queue);
    }

    fn publish_load(&self, queue: &AdmissionQueue) {
        self.control
            .publish_load(queue.load(), queue.queued() as u32);
        self.metrics
            .load(queue.load(), queue.queued(), queue.running());
    }

    async fn follow_configuration(self: Arc<Self>) {
        let mut revisions = self.control.revisions_including_current();
        while revisions.changed().await.is_ok() {
            let snapshot = self.control.snapshot();
            let settings = admission_settings(&snapshot.config, &self.settings);
            let started = self.lock_queue().reconfigure(settings, Instant::now());
            self.start_attempts(&started);
            self.control.set_active_revision(snapshot.revision);
            info!(
                event = "configuration-in-force",
                revision = snapshot.revision
            );
        }
    }

    async fn expire_waiting(self: Arc<Self>) {
        let mut interval = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        loop {
            interval.tick().await;
            let now = Instant::now();
            let expired = self.lock_queue().expire(now);
            for id in expired {
                if let Some(attempt) = self.attempts.get(id) {
                    let message = "the request cannot finish before its deadline";
                    let refusal = refusals::not_run(RefusalReason::Deadline, message);
                    attempt.buffer.bar(refusal);
                    attempt.cancelled.cancel();
                }
            }
            if let Some(time) = now.checked_sub(self.settings.response_retention) {
                self.attempts.remove_ended_before(time);
            }
        }
    }

    async fn probe_backend(self: Arc<Self>) {
        let mut interval = tokio::time::interval(self.settings.health_interval);
        let mut was_healthy = true;
        loop {
            interval.tick().await;
            let healthy = self.backend.probe().await;
            if healthy != was_healthy {
                info!(
                    event = "backend-health",
                    backend = self.settings.backend,
                    well = healthy
                );
            }
            was_healthy = healthy;
        }
    }

    fn lock_queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the admission settings of one backend server from the configuration.
///
/// A service that the configuration does not declare gets no slots, so all its attempts are
/// refused.
fn admission_settings(config: &Config, settings: &AgentSettings) -> AdmissionSettings {
    let service = config
        .services
        .iter()
        .find(|service| service.name == settings.service);
    let bound = LoadBound {
        multiple: config.fleet.load_multiple,
        floor: service.map_or(0, |service| service.load_floor),
    };
    AdmissionSettings {
        concurrency: service.map_or(0, |service: &Service| service.concurrency as usize),
        queue: service.map_or(0, |service| service.queue as usize),
        bound,
        kinds: config
            .kinds
            .iter()
            .map(|kind| KindSettings {
                name: kind.name.clone(),
                priority: kind.priority,
                reserved_share: kind.reserved_share,
                deadline: kind.deadline,
            })
            .collect(),
        weights: config
            .organisations
            .iter()
            .filter(|organisation| (organisation.weight - 1.0).abs() > f64::EPSILON)
            .map(|organisation| (organisation.name.clone(), organisation.weight))
            .collect(),
    }
}
