//! Log lines of a request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tracing::{info, warn};

use crate::{
    local_response::LocalResponse,
    server_selection::{ChoiceInputs, ServerChoice},
    shared::Shared,
};

/// Collects what is logged about a request.
///
/// If it is dropped before a response was logged, it logs that the caller left or that the router abandoned the
/// request.
#[derive(Debug)]
pub(crate) struct RequestLog {
    shared: Arc<Shared>,
    request: String,
    received: Instant,
    is_logged: bool,
    pub(crate) is_stream: bool,
    pub(crate) route: String,
    pub(crate) organisation: Option<String>,
    /// Version of the configuration that was applied.
    pub(crate) config: Option<u64>,
    attempts: u32,
    /// Time for which the request waited for a place, if it needed a lent one.
    pub(crate) place_wait: Option<Duration>,
    server: String,
    inputs: ChoiceInputs,
    pub(crate) detail: String,
}

impl RequestLog {
    pub(crate) fn new(shared: &Arc<Shared>, request: String, received: Instant) -> Self {
        Self {
            shared: Arc::clone(shared),
            request,
            received,
            is_logged: false,
            is_stream: false,
            route: String::new(),
            organisation: None,
            config: None,
            attempts: 0,
            place_wait: None,
            server: String::new(),
            inputs: ChoiceInputs::default(),
            detail: String::new(),
        }
    }

    /// Records the server of the `attempts`th attempt.
    pub(crate) fn record_choice(&mut self, choice: &ServerChoice, attempts: u32) {
        self.attempts = attempts;
        self.server.clone_from(&choice.server.id);
        self.inputs = choice.inputs;
    }

    /// Logs that the response of a server is about to be sent to the caller.
    pub(crate) fn log_response(&mut self, status: StatusCode) {
        self.is_logged = true;
        info!(
            event = "answered",
            request = self.request,
            route = self.route,
            organisation = self.organisation,
            config = self.config,
            server = self.server,
            status = status.as_u16(),
            hops = self.attempts,
            place_wait_ms = self.place_wait_ms(),
            load = self.inputs.load,
            least_load = self.inputs.least_load,
            report_age_ms = self.report_age_ms(),
            usable = self.inputs.usable,
            has_prompt = self.inputs.has_prompt,
            unread_tokens = self.inputs.unread_tokens,
            copy_from = self.inputs.copy_from.map(tracing::field::display),
            ms = self.ms(),
        );
    }

    /// Logs a local response.
    pub(crate) fn log_refusal(&mut self, local: &LocalResponse) {
        self.is_logged = true;
        warn!(
            event = "refused",
            request = self.request,
            route = self.route,
            organisation = self.organisation,
            config = self.config,
            server = self.server,
            status = local.status.as_u16(),
            reason = %local.reason,
            outcome = %local.outcome,
            retry_after_ms = local.retry_after.map(|time| time.as_millis() as u64),
            hops = self.attempts,
            place_wait_ms = self.place_wait_ms(),
            usable = self.inputs.usable,
            detail = self.detail,
            ms = self.ms(),
        );
    }

    fn report_age_ms(&self) -> Option<u64> {
        self.inputs.report_age.map(|age| age.as_millis() as u64)
    }

    fn place_wait_ms(&self) -> Option<u64> {
        self.place_wait.map(|wait| wait.as_millis() as u64)
    }

    fn ms(&self) -> u64 {
        self.received.elapsed().as_millis() as u64
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        if self.shared.stop.is_ending() {
            warn!(
                event = "abandoned",
                request = self.request,
                route = self.route,
                organisation = self.organisation,
                config = self.config,
                server = self.server,
                hops = self.attempts,
                ms = self.ms(),
            );
        } else {
            info!(
                event = "caller-left",
                request = self.request,
                route = self.route,
                organisation = self.organisation,
                config = self.config,
                server = self.server,
                hops = self.attempts,
                place_wait_ms = self.place_wait_ms(),
                load = self.inputs.load,
                report_age_ms = self.report_age_ms(),
                ms = self.ms(),
            );
        }
    }
}
