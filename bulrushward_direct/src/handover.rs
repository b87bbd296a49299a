//! Decides whether another server may take over a request or stream.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    server_attempt::{AttemptFailure, AttemptHistory, NextAttempt},
    server_health::ServerHealth,
    server_scope::ServerScope,
};
use strum::IntoStaticStr;
use tracing::info;

use crate::{
    local_response::Reason,
    routed_request::RoutedRequest,
    server_selection::{self, NoServer, ServerChoice},
    servers::{InProgress, Server},
    shared::Shared,
    stop_sends,
};

/// Why no other server takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum HandoverRefusal {
    /// The route allows no further server.
    Route,
    /// The time of the request is over.
    TimeOver,
    /// No event has been sent after which the stream could be resumed.
    NoEvent,
    /// No other server can be used.
    NoServer,
    /// The stream began at another version than those of the servers that can be used.
    OtherVersion,
    /// The stream began at a version that is not known.
    VersionUnknown,
    /// All servers of the service are in emptied failure domains.
    FailureDomainsEmptied,
    /// All other servers are cold, and this router may send to one of them after this time.
    ColdServers(Duration),
    /// All other servers want no requests for this time.
    ServersWithheld(Duration),
    /// The content of the request crashes servers and is refused for this time.
    ContentBarred(Duration),
    /// The fleet may send no more retries.
    RetryBudget,
    /// The router stops, and too little time is left.
    Stopping,
}

impl HandoverRefusal {
    /// Returns the reason of a local response if it is this refusal and not the failure before it.
    pub(crate) fn reason(self) -> Option<Reason> {
        match self {
            Self::NoServer => Some(Reason::NoServer),
            Self::OtherVersion => Some(Reason::OtherVersion),
            Self::VersionUnknown => Some(Reason::VersionUnknown),
            Self::ColdServers(_) => Some(Reason::ColdServers),
            Self::ServersWithheld(_) => Some(Reason::ServersWithheld),
            Self::FailureDomainsEmptied => Some(Reason::FailureDomainsEmptied),
            Self::ContentBarred(_) => Some(Reason::Quarantined),
            Self::RetryBudget => Some(Reason::RetryBudget),
            Self::Stopping => Some(Reason::Stopping),
            Self::Route | Self::TimeOver | Self::NoEvent => None,
        }
    }
}

/// Selects the server of the next attempt after `failure`, and withdraws a retry if the attempt is one.
///
/// # Errors
///
/// Returns a [`HandoverRefusal`] if there may be no next attempt; no retry is withdrawn then.
pub(crate) fn select_next(
    shared: &Shared,
    request: &RoutedRequest,
    next: NextAttempt,
    failure: AttemptFailure,
    scope: &ServerScope,
) -> Result<ServerChoice, HandoverRefusal> {
    if Instant::now() >= request.deadline {
        return Err(HandoverRefusal::TimeOver);
    }
    let NextAttempt::Send { retry } = next else {
        return Err(HandoverRefusal::Route);
    };
    if !stop_sends::are_permitted(shared, request) {
        return Err(HandoverRefusal::Stopping);
    }
    if let Some(retry) = shared.content_refusal(request) {
        return Err(HandoverRefusal::ContentBarred(retry));
    }
    server_selection::check_candidates(shared, request, scope)?;
    if retry && !shared.withdraw_retry(&request.service.name, failure.retry_cause()) {
        return Err(HandoverRefusal::RetryBudget);
    }
    Ok(server_selection::select(shared, request, scope)?)
}

impl From<NoServer> for HandoverRefusal {
    fn from(reason: NoServer) -> Self {
        match reason {
            NoServer::NoneUsable => Self::NoServer,
            NoServer::OtherVersion => Self::OtherVersion,
            NoServer::VersionUnknown => Self::VersionUnknown,
            NoServer::Emptied => Self::FailureDomainsEmptied,
            NoServer::Cold { next } => Self::ColdServers(next),
            NoServer::Withheld { next } => Self::ServersWithheld(next),
        }
    }
}

/// Looks for another server while the server of an attempt is silent.
#[derive(Debug)]
pub(crate) struct SilenceWatch<'a> {
    shared: &'a Shared,
    request: &'a RoutedRequest,
    /// Failed attempts before the present one.
    history: &'a AttemptHistory,
    /// Scope of the request after the present attempt.
    scope: &'a ServerScope,
    successor: Option<ServerChoice>,
    is_logged: bool,
}

impl<'a> SilenceWatch<'a> {
    pub(crate) fn new(
        shared: &'a Shared,
        request: &'a RoutedRequest,
        history: &'a AttemptHistory,
        scope: &'a ServerScope,
    ) -> Self {
        Self {
            shared,
            request,
            history,
            scope,
            successor: None,
            is_logged: false,
        }
    }

    /// Returns whether the attempt waits on, as its time is not over and no other server takes over.
    pub(crate) fn waits_on(&mut self, progress: &InProgress) -> bool {
        let next = self.history.clone().record_failure(AttemptFailure::Silent);
        let selected = select_next(
            self.shared,
            self.request,
            next,
            AttemptFailure::Silent,
            self.scope,
        );
        match selected {
            Ok(successor) => {
                self.successor = Some(successor);
                false
            }
            Err(HandoverRefusal::TimeOver) => false,
            Err(refusal) => {
                // Other requests should avoid the server meanwhile.
                progress.update_health(ServerHealth::record_failure);
                if !std::mem::replace(&mut self.is_logged, true) {
                    log_kept(self.request, progress.server(), refusal.into());
                }
                true
            }
        }
    }

    /// Returns the server that takes over, if the attempt was given up for one.
    pub(crate) fn into_successor(self) -> Option<ServerChoice> {
        self.successor
    }
}

/// Logs that a silent server keeps a request or stream.
pub(crate) fn log_kept(request: &RoutedRequest, server: &Server, reason: &'static str) {
    info!(
        event = "silent-server-kept",
        request = request.request_id,
        server = server.id,
        reason,
        ms = request.received.elapsed().as_millis() as u64,
    );
}
