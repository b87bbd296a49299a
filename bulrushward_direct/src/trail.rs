//! What the log says of a request.

use std::time::Instant;

use hyper::StatusCode;
use tracing::{info, warn};

use crate::{answer::OwnAnswer, choose::Beliefs};

/// What the log says of a request; says so as well if its caller leaves without an answer.
#[derive(Debug)]
pub(crate) struct Trail {
    request: String,
    received: Instant,
    is_answered: bool,
    pub(crate) is_stream: bool,
    pub(crate) kind: String,
    pub(crate) organisation: Option<String>,
    /// Version of the configuration that decided.
    pub(crate) config: Option<u64>,
    pub(crate) hops: u32,
    pub(crate) server: String,
    pub(crate) beliefs: Beliefs,
    pub(crate) detail: String,
}

impl Trail {
    pub(crate) fn new(request: String, received: Instant) -> Self {
        Self {
            request,
            received,
            is_answered: false,
            is_stream: false,
            kind: String::new(),
            organisation: None,
            config: None,
            hops: 0,
            server: String::new(),
            beliefs: Beliefs::default(),
            detail: String::new(),
        }
    }

    /// Notes that an answer of a server begins to go to the caller.
    pub(crate) fn answered(&mut self, status: StatusCode) {
        self.is_answered = true;
        info!(
            event = "answered",
            request = self.request,
            route = self.kind,
            organisation = self.organisation,
            config = self.config,
            server = self.server,
            status = status.as_u16(),
            hops = self.hops,
            load = self.beliefs.load,
            least_load = self.beliefs.least_load,
            report_age_ms = self.report_age_ms(),
            usable = self.beliefs.usable,
            has_prompt = self.beliefs.has_prompt,
            unread_tokens = self.beliefs.unread_tokens,
            copy_from = self.beliefs.copy_from.map(tracing::field::display),
            ms = self.ms(),
        );
    }

    /// Notes an answer of the router's own.
    pub(crate) fn refused(&mut self, own: &OwnAnswer) {
        self.is_answered = true;
        warn!(
            event = "refused",
            request = self.request,
            route = self.kind,
            organisation = self.organisation,
            config = self.config,
            server = self.server,
            status = own.status.as_u16(),
            reason = %own.reason,
            outcome = %own.outcome,
            retry_after_ms = own.retry_after.map(|time| time.as_millis() as u64),
            hops = self.hops,
            usable = self.beliefs.usable,
            detail = self.detail,
            ms = self.ms(),
        );
    }

    fn report_age_ms(&self) -> Option<u64> {
        self.beliefs.report_age.map(|age| age.as_millis() as u64)
    }

    fn ms(&self) -> u64 {
        self.received.elapsed().as_millis() as u64
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if !self.is_answered {
            info!(
                event = "caller-left",
                request = self.request,
                route = self.kind,
                organisation = self.organisation,
                config = self.config,
                server = self.server,
                hops = self.hops,
                load = self.beliefs.load,
                report_age_ms = self.report_age_ms(),
                ms = self.ms(),
            );
        }
    }
}
