//! The agent: the only door to one backend server.
//!
//! Every promise that needs one exact place is kept here: the load bound, draining, the repeat of
//! an attempt, claims and the blame for crashes. Routers only guess well.

mod attempts;
mod backend;
mod listener;
mod refusals;
mod runner;
mod transcript;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_claims::Claims;
use bulrushward_config::{Config, Service};
use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionRequest, AdmissionSettings, Decision, KindSettings},
    load_bound::LoadBound,
    quarantine::Verdict,
};
use bulrushward_protocol::{AttemptId, Refusal, RefusalReason, RunRequest};
use tokio::sync::Semaphore;
use tracing::info;

pub(crate) use self::runner::Ending;
use self::{
    attempts::{Attempt, Attempts, Entry},
    backend::Backend,
};
use crate::{control::Control, error::DaemonError, metrics::AgentMetrics, settings::AgentSettings};

/// Time between two looks at waiting attempts that ran out of time.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a crash for which the suspect still counts as running.
const CRASH_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time for which the answer of an abandoned attempt goes on, so that a router can resume.
const ABANDONED_GRACE: Duration = Duration::from_secs(10);
/// Time between two looks for the end of all attempts during a planned stop.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// The agent of one backend server.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    control: Arc<Control>,
    claims: Arc<dyn Claims>,
    queue: Mutex<AdmissionQueue>,
    attempts: Attempts,
    backend: Backend,
    /// One suspect request runs at a time.
    suspects: Semaphore,
    metrics: AgentMetrics,
}

impl Agent {
    /// Builds an agent; [`Agent::start`] starts its background work.
    pub(crate) fn new(
        settings: AgentSettings,
        control: Arc<Control>,
        claims: Arc<dyn Claims>,
        metrics: AgentMetrics,
    ) -> Result<Arc<Self>, DaemonError> {
        let backend = Backend::new(
            settings.backend_url.clone(),
            settings.health_path.clone(),
            settings.backend_read_timeout,
        )?;
        let config = Arc::clone(&control.snapshot().config);
        let queue = Mutex::new(AdmissionQueue::new(admission_settings(&config, &settings)));
        Ok(Arc::new(Self {
            settings,
            control,
            claims,
            queue,
            attempts: Attempts::default(),
            backend,
            suspects: Semaphore::new(1),
            metrics,
        }))
    }

    /// Returns the routes of the inner listener.
    pub(crate) fn routes(self: &Arc<Self>) -> salvo::Router {
        listener::routes(self)
    }

    /// Starts the background work of the agent.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_configuration());
        tokio::spawn(Arc::clone(self).expire_waiting());
        tokio::spawn(Arc::clone(self).probe_backend());
    }

    /// Refuses new attempts and returns when all others have ended, however long they take.
    pub(crate) async fn drain(&self) {
        self.lock_queue().drain();
        self.control.leave();
        loop {
            let left = self.attempts.unfinished().len();
            if left == 0 {
                return;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Admits an attempt or says why not.
    fn receive(self: &Arc<Self>, mut req: RunRequest) -> Result<Arc<Attempt>, Refusal> {
        let id = req.attempt;
        self.check(&req)?;
        self.check_quarantine(&mut req)?;
        let attempt = match self.attempts.enter(req, Instant::now()) {
            Entry::New(attempt) => attempt,
            Entry::Known(known) => return Ok(known),
            Entry::Barred => {
                let message = "the attempt was given up before it arrived";
                return Err(refusals::not_run(RefusalReason::Barred, message));
            }
            Entry::KeyReused => {
                let message = "the idempotency key was used for a request with other content";
                return Err(refusals::not_run(RefusalReason::KeyReused, message));
            }
        };
        if let Err(refusal) = self.admit(&attempt) {
            attempt.transcript.refuse(refusal.clone());
            self.attempts.finished(id, Instant::now());
            return Err(refusal);
        }
        tokio::spawn(runner::run(Arc::clone(self), Arc::clone(&attempt)));
        Ok(attempt)
    }

    /// Refuses what must not reach the queue.
    fn check(&self, req: &RunRequest) -> Result<(), Refusal> {
        if req.agent != self.control.incarnation() {
            let message = "the attempt was meant for an earlier start of this agent";
            return Err(refusals::not_run(RefusalReason::Restarted, message));
        }
        let snapshot = self.control.snapshot();
        let draining = snapshot
            .config
            .services
            .iter()
            .any(|service| service.draining.contains(&self.settings.backend));
        if draining || self.control.is_leaving() {
            let message = format!("backend server {:?} is leaving", self.settings.backend);
            return Err(refusals::not_run(RefusalReason::Draining, message));
        }
        if !self.backend.is_well() {
            let message = format!("backend server {:?} does not answer", self.settings.backend);
            return Err(refusals::not_run(RefusalReason::BackendDown, message));
        }
        Ok(())
    }

    /// Refuses a quarantined content and marks a suspect one, which its router may not know yet.
    fn check_quarantine(&self, req: &mut RunRequest) -> Result<(), Refusal> {
        match self.control.quarantine_verdict(req.fingerprint) {
            Verdict::Clear => Ok(()),
            Verdict::Suspect => {
                req.suspect = true;
                Ok(())
            }
            Verdict::Quarantined => {
                let message = "the request crashed backend servers and is not run any more";
                let period = self.control.snapshot().config.fleet.quarantine;
                let reason = RefusalReason::Quarantined;
                Err(refusals::not_run_until(reason, period, message))
            }
        }
    }

    fn admit(&self, attempt: &Attempt) -> Result<(), Refusal> {
        let req = &attempt.req;
        let ticket = AdmissionRequest {
            attempt: req.attempt,
            organisation: req.organisation.clone(),
            kind: req.kind.clone(),
            work: req.work,
            deadline: attempt.deadline(),
        };
        let mean = self.control.mean_load_with(req.work);
        let mut queue = self.lock_queue();
        let decision = queue.submit(&ticket, mean, Instant::now());
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
                Err(refusals::not_run_until(reason, retry_after, message))
            }
        }
    }

    /// Takes an attempt out of the queue and starts those that have a place now.
    fn leave_queue(&self, id: AttemptId, whole: bool, now: Instant) {
        let mut queue = self.lock_queue();
        let started = if whole {
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

    /// Notes that a piece of an answer arrived, which is about one token.
    fn progress(&self, id: AttemptId) {
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
        let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
        loop {
            interval.tick().await;
            let now = Instant::now();
            let expired = self.lock_queue().expire(now);
            for id in expired {
                if let Some(attempt) = self.attempts.get(id) {
                    let message = "the request cannot finish before its deadline";
                    let refusal = refusals::not_run(RefusalReason::Deadline, message);
                    attempt.transcript.bar(refusal);
                    attempt.cancelled.cancel();
                }
            }
            if let Some(time) = now.checked_sub(self.settings.response_retention) {
                self.attempts.forget_before(time);
            }
        }
    }

    async fn probe_backend(self: Arc<Self>) {
        let mut interval = tokio::time::interval(self.settings.health_interval);
        let mut was_well = true;
        loop {
            interval.tick().await;
            let well = self.backend.probe().await;
            if well != was_well {
                info!(
                    event = "backend-health",
                    backend = self.settings.backend,
                    well
                );
            }
            was_well = well;
        }
    }

    fn lock_queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Works out the admission settings of one backend server from the operators' text.
///
/// A service that the text does not declare gets no places, so nothing is admitted for it.
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
