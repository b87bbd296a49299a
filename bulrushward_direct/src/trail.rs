//! What the log says of a request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tracing::{info, warn};

use crate::answer::OwnAnswer;

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
    pub(crate) load: f64,
    /// Least load among the servers that could be chosen.
    pub(crate) least_load: f64,
    pub(crate) report_age: Option<Duration>,
    pub(crate) usable: usize,
    pub(crate) has_prompt: bool,
    pub(crate) unread_tokens: u64,
    pub(crate) copy_from: Option<SocketAddr>,
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
            load: 0.0,
            least_load: 0.0,
            report_age: None,
            usable: 0,
            has_prompt: false,
            unread_tokens: 0,
            copy_from: None,
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
            load = self.load,
            least_load = self.least_load,
            report_age_ms = self.report_age_ms(),
            usable = self.usable,
            has_prompt = self.has_prompt,
            unread_tokens = self.unread_tokens,
            copy_from = self.copy_from.map(tracing::field::display),
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
            usable = self.usable,
            detail = self.detail,
            ms = self.ms(),
        );
    }

    fn report_age_ms(&self) -> Option<u64> {
        self.report_age.map(|age| age.as_millis() as u64)
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
                load = self.load,
                report_age_ms = self.report_age_ms(),
                ms = self.ms(),
            );
        }
    }
}
