//! The router: receives requests from callers, sends them to agents and reports their outcome.

mod admin;
mod attempt_stream;
mod candidates;
mod chat_request;
mod classify;
mod forward;
mod listener;
mod refusal;
mod request_headers;
mod request_log;
mod routed_request;
mod unresponsive_agents;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{organisation_limit::OrganisationLimits, retry_budget::RetryBudget};
use bulrushward_revisions::RevisionStore;

use self::unresponsive_agents::UnresponsiveAgents;
use crate::{
    control::Control, http_client::HttpClient, metrics::RouterMetrics, settings::RouterSettings,
};

/// A router of the fleet.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    control: Arc<Control>,
    store: Arc<RevisionStore>,
    /// Reuses connections to agents.
    pooled_client: HttpClient,
    /// Opens a new connection for each request; used after a connection became unresponsive.
    unpooled_client: HttpClient,
    retry_budget: Mutex<RetryBudget>,
    unresponsive: UnresponsiveAgents,
    rate_limits: Mutex<OrganisationLimits>,
    metrics: RouterMetrics,
}

impl Router {
    pub(crate) fn new(
        settings: RouterSettings,
        control: Arc<Control>,
        store: Arc<RevisionStore>,
        metrics: RouterMetrics,
    ) -> Arc<Self> {
        let fraction = bulrushward_config::Fleet::default().retry_fraction;
        Arc::new(Self {
            settings,
            control,
            store,
            pooled_client: HttpClient::pooled(),
            unpooled_client: HttpClient::unpooled(),
            retry_budget: Mutex::new(RetryBudget::new(fraction)),
            unresponsive: UnresponsiveAgents::default(),
            rate_limits: Mutex::default(),
            metrics,
        })
    }

    /// Returns the routes for callers.
    pub(crate) fn routes(self: &Arc<Self>) -> salvo::Router {
        listener::routes(self)
    }

    /// Returns the routes of the admin API.
    pub(crate) fn admin_routes(self: &Arc<Self>) -> salvo::Router {
        admin::routes(self)
    }

    /// Starts the background tasks of the router.
    pub(crate) fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow_configuration());
    }

    async fn follow_configuration(self: Arc<Self>) {
        let mut revisions = self.control.revisions_including_current();
        while revisions.changed().await.is_ok() {
            let snapshot = self.control.snapshot();
            let config = &snapshot.config;
            self.lock_retry_budget()
                .set_fraction(config.fleet.retry_fraction);
            let rates = config.organisations.iter().filter_map(|organisation| {
                Some((organisation.name.clone(), organisation.requests_per_second?))
            });
            self.lock_rate_limits().reconfigure(rates, Instant::now());
            self.control.set_active_revision(snapshot.revision);
        }
    }

    /// Returns the time without a frame after which a connection to an agent counts as unresponsive.
    pub(crate) fn heartbeat_timeout(&self) -> Duration {
        self.settings.heartbeat_timeout
    }

    fn lock_rate_limits(&self) -> MutexGuard<'_, OrganisationLimits> {
        self.rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
