//! The router: takes callers' requests, places them and answers for the outcome.

mod admin;
mod attempt_stream;
mod candidates;
mod chat_request;
mod classify;
mod forward;
mod job;
mod listener;
mod passed_headers;
mod refusal;
mod request_log;
mod silent_agents;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{organisation_limit::OrganisationLimits, retry_budget::RetryBudget};
use bulrushward_revisions::RevisionStore;

use self::silent_agents::SilentAgents;
use crate::{
    control::Control, error::DaemonError, http, metrics::RouterMetrics, settings::RouterSettings,
};

/// A router of the fleet.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    control: Arc<Control>,
    store: Arc<RevisionStore>,
    /// Keeps connections to agents for reuse.
    pooled: reqwest::Client,
    /// Opens a new connection each time; used after a connection went silent.
    fresh: reqwest::Client,
    budget: Mutex<RetryBudget>,
    silent: SilentAgents,
    limits: Mutex<OrganisationLimits>,
    metrics: RouterMetrics,
}

impl Router {
    pub(crate) fn new(
        settings: RouterSettings,
        control: Arc<Control>,
        store: Arc<RevisionStore>,
        metrics: RouterMetrics,
    ) -> Result<Arc<Self>, DaemonError> {
        let fraction = bulrushward_config::Fleet::default().retry_fraction;
        Ok(Arc::new(Self {
            settings,
            control,
            store,
            pooled: http::pooled_client()?,
            fresh: http::unpooled_client()?,
            budget: Mutex::new(RetryBudget::new(fraction)),
            silent: SilentAgents::default(),
            limits: Mutex::default(),
            metrics,
        }))
    }

    /// Returns the routes for callers.
    pub(crate) fn routes(self: &Arc<Self>) -> salvo::Router {
        listener::routes(self)
    }

    /// Returns the routes for the operators' tool.
    pub(crate) fn admin_routes(self: &Arc<Self>) -> salvo::Router {
        admin::routes(self)
    }

    /// Starts the background work of the router.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_configuration());
    }

    async fn follow_configuration(self: Arc<Self>) {
        let mut revisions = self.control.revisions_including_current();
        while revisions.changed().await.is_ok() {
            let snapshot = self.control.snapshot();
            let config = &snapshot.config;
            self.lock_budget().set_fraction(config.fleet.retry_fraction);
            let rates = config.organisations.iter().filter_map(|organisation| {
                Some((organisation.name.clone(), organisation.requests_per_second?))
            });
            self.lock_limits().reconfigure(rates, Instant::now());
            self.control.set_active_revision(snapshot.revision);
        }
    }

    /// Returns the time without a frame after which a connection to an agent counts as silent.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        self.settings.heartbeat_timeout
    }

    fn lock_limits(&self) -> MutexGuard<'_, OrganisationLimits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
