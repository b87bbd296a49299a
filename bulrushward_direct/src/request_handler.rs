//! Handles one request of a caller: reads it, sends it to servers and returns a response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_attempt::{AttemptFailure, AttemptHistory, NextAttempt},
    server_scope::{ServerScope, VersionBound},
};
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use tracing::info;

use crate::{
    attempt::{self, AttemptError, AttemptResponse},
    crash_check,
    handover::{self, HandoverRefusal, SilenceWatch},
    local_response::{self, Body, LocalResponse, Reason},
    places::{self, Borrowed, Place},
    refusals, relay,
    request_log::RequestLog,
    request_reader, retry_after,
    routed_request::RoutedRequest,
    server_selection::{self, NoServer, ServerChoice},
    servers::Server,
    shared::Shared,
    stop_answers,
    stream_origins::{RegistrySource, RegistryView},
    unit_loans,
};

/// Returns the response to one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let metadata = shared.conventions.parse_request_headers(req.headers());
    let mut request_log = RequestLog::new(&shared, metadata.request_id.clone(), received);
    let _in_progress = shared.metrics.track_in_progress();
    let reading = request_reader::read(&shared, req, metadata, received, &mut request_log);
    let result = match stop_answers::read(&shared, reading).await {
        Ok(request) => {
            let request = Arc::new(request);
            let serving = send_with_retries(&shared, Arc::clone(&request), &mut request_log);
            stop_answers::serve(&shared, &request, serving).await
        }
        Err(local) => Err(local),
    };
    let (res, outcome) = match result {
        Ok(res) => {
            request_log.log_response(res.status());
            (res, "answered")
        }
        Err(local) => {
            request_log.log_refusal(&local);
            (local.http_response(), local.reason.into())
        }
    };
    shared.metrics.record_response(
        &request_log.route,
        outcome,
        request_log.is_stream,
        received.elapsed(),
    );
    res
}

/// Sends a request to servers until one responds or no further attempt is allowed.
async fn send_with_retries(
    shared: &Arc<Shared>,
    request: Arc<RoutedRequest>,
    request_log: &mut RequestLog,
) -> Result<Response<Body>, LocalResponse> {
    let service = &request.service.name;
    shared.deposit_request(service);
    request_log.is_stream = request.is_stream();
    check_emptied(shared, &request)?;
    let servers = server_selection::open_servers(shared, &request);
    shared.places.record_request(shared, &request);
    let mut needs_admission = shared.places.is_needed(shared, &request);
    if !needs_admission && !shared.overload.admits(&request, servers) {
        return Err(refuse_overload());
    }
    let mut history = AttemptHistory::new(request.route.is_idempotent(), request.route.max_servers);
    let mut scope = ServerScope::new(version_bound(shared, &request).await);
    let mut last_error: Option<AttemptError> = None;
    let mut retry_cause = None;
    let mut successor = None;
    // Failed attempt whose successor is selected once the next one has a place.
    let mut pending = None;
    // Whether the successor takes the request over from a silent server.
    let mut is_taken_over = false;
    loop {
        if let Some(refusal) = refusals::refuse_barred(shared, &request, &history, request_log) {
            return Err(refusal);
        }
        if let Some(over) = refusals::time_over(shared, &request) {
            let failed = pending.filter(|_| over == Reason::TimeOver);
            let reason = failed.map_or(over, |failed: FailedAttempt| failed.reason);
            return final_response(&history, last_error, reason);
        }
        let mut place = None;
        if !is_taken_over && shared.places.is_needed(shared, &request) {
            match wait_for_place(shared, &request, &scope, request_log).await {
                Borrowed::Place(borrowed) => place = Some(borrowed),
                Borrowed::Refused(retry) => {
                    return refuse_without_place(&history, last_error, retry);
                }
                Borrowed::NoLender if refusals::time_over(shared, &request).is_some() => continue,
                Borrowed::NoLender => {}
            }
        }
        let is_admitted = place.is_some() || !std::mem::take(&mut needs_admission);
        if !is_admitted && !shared.overload.admits(&request, servers) {
            return Err(refuse_overload());
        }
        if let Some(failed) = pending.take() {
            match select_next(shared, &request, failed, &scope) {
                Ok(choice) => successor = Some(choice),
                Err(refusal) => return refuse(&history, last_error, refusal, failed.reason),
            }
        }
        let chosen = choose(shared, &request, &scope, place.as_ref(), successor.take()).await;
        let choice = match chosen {
            Ok(choice) => choice,
            Err(no_server) => {
                return refuse(&history, last_error, no_server.into(), Reason::NoServer);
            }
        };
        let server = &choice.server;
        request_log.record_choice(&choice, history.attempts() + 1);
        scope.record_tried(&server.id);
        shared.metrics.record_attempt(choice.inputs.report_age);
        let sent = Instant::now();
        let mut silence = SilenceWatch::new(shared, &request, &history, &scope);
        let result = attempt::send(shared, &request, &choice, None, &mut silence).await;
        successor = silence.into_successor();
        is_taken_over = successor.is_some();
        let failure = result.as_ref().err().map(|error| error.failure);
        record_attempt(shared, &request, server, place, sent.elapsed(), failure);
        if let Some(cause) = retry_cause.take() {
            shared.record_retry_result(service, cause, result.is_ok());
        }
        let error = match result {
            Ok(response) => return Ok(respond(shared, &request, response, history, scope)),
            Err(error) => error,
        };
        request_log.detail.clone_from(&error.detail);
        if error.failure == AttemptFailure::ContentBarred {
            // It was barred after the check above.
            continue;
        }
        record_failed_attempt(shared, &request, server, &error);
        let failed = FailedAttempt::new(&error, &mut history);
        request.run_mark.record_failure(&history);
        last_error = Some(error);
        let NextAttempt::Send { retry } = failed.next else {
            let wait = server_selection::wait_for_server(shared, &request, &scope);
            return finish(&history, last_error, failed.reason, wait);
        };
        retry_cause = retry.then_some(failed.failure.retry_cause());
        if successor.is_some() {
            continue;
        }
        if shared.places.is_needed(shared, &request) {
            // A retry is taken from the budget only if there is a place for it.
            pending = Some(failed);
            continue;
        }
        match select_next(shared, &request, failed, &scope) {
            Ok(choice) => successor = Some(choice),
            Err(refusal) => return refuse(&history, last_error, refusal, failed.reason),
        }
    }
}

/// Returns the versions at which a request may run.
async fn version_bound(shared: &Shared, request: &RoutedRequest) -> VersionBound {
    let servers = shared.servers.load_full();
    let registry = RegistryView {
        servers: &servers,
        is_confirmed: shared.store_state.is_available(),
    };
    let source = RegistrySource {
        store: &*shared.store,
        revision: shared.store_state.servers_revision(),
    };
    let (origins, places) = (&shared.stream_origins, &shared.places);
    let bound = origins.version_bound(places, registry, source, &shared.metrics, request);
    bound.await
}

/// Checks that not all servers of a request are in emptied failure domains.
fn check_emptied(shared: &Shared, request: &RoutedRequest) -> Result<(), LocalResponse> {
    if !server_selection::are_all_emptied(shared, request) {
        return Ok(());
    }
    let retry = retry_after::for_emptied_domains();
    Err(LocalResponse::not_run(Reason::FailureDomainsEmptied, retry))
}

/// Returns the server of the granted place, or the one that takes over, or else selects one.
async fn choose(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    scope: &ServerScope,
    place: Option<&Place>,
    successor: Option<ServerChoice>,
) -> Result<ServerChoice, NoServer> {
    match (place, successor) {
        (Some(place), _) => Ok(place.choice(&request.service)),
        (None, Some(successor)) => Ok(successor),
        (None, None) => match server_selection::select(shared, request, scope) {
            Err(withheld @ NoServer::Withheld { .. }) => {
                let lent = unit_loans::borrow(shared, request, scope).await;
                lent.ok_or(withheld)
            }
            selected => selected,
        },
    }
}

/// A failed attempt and what may follow.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    next: NextAttempt,
    failure: AttemptFailure,
    /// Reason of the response if nothing follows.
    reason: Reason,
}

impl FailedAttempt {
    fn new(error: &AttemptError, history: &mut AttemptHistory) -> Self {
        Self {
            next: history.record_failure(error.failure),
            failure: error.failure,
            reason: failure_reason(error),
        }
    }
}

/// Selects the server of the next attempt, and withdraws a retry if the attempt is one.
///
/// # Errors
///
/// Returns the [`HandoverRefusal`] if there is no next attempt.
fn select_next(
    shared: &Shared,
    request: &RoutedRequest,
    failed: FailedAttempt,
    scope: &ServerScope,
) -> Result<ServerChoice, HandoverRefusal> {
    handover::select_next(shared, request, failed.next, failed.failure, scope)
}

/// Waits for a place at a server.
async fn wait_for_place(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    scope: &ServerScope,
    request_log: &mut RequestLog,
) -> Borrowed {
    let begun = Instant::now();
    let waited = request_log.place_wait.unwrap_or_default();
    // Logged also if the caller leaves meanwhile.
    request_log.place_wait = Some(waited);
    let borrowed = places::borrow(shared, request, scope).await;
    request_log.place_wait = Some(waited + begun.elapsed());
    borrowed
}

/// Records an attempt that took `time`, and gives its place back.
fn record_attempt(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    place: Option<Place>,
    time: Duration,
    failure: Option<AttemptFailure>,
) {
    shared
        .overload
        .record_attempt(request, server, time, failure);
    if failure == Some(AttemptFailure::Rejected) {
        shared.places.record_rejection(shared, request);
    }
    if let Some(mut place) = place {
        place.record_attempt(time, failure);
    }
}

fn record_failed_attempt(
    shared: &Arc<Shared>,
    request: &RoutedRequest,
    server: &Arc<Server>,
    error: &AttemptError,
) {
    shared.metrics.record_failed_attempt(error.failure.into());
    log_failed_attempt(request, &server.id, error);
    crash_check::record_failure(shared, request, server, error.failure);
    if error.failure == AttemptFailure::Misdirected {
        shared
            .replaced_servers()
            .record(server.hash, Instant::now());
    }
}

/// Logs a failed attempt.
pub(crate) fn log_failed_attempt(request: &RoutedRequest, server: &str, error: &AttemptError) {
    info!(
        event = "hop-failed",
        request = request.request_id,
        server,
        failure = %error.failure,
        content = request.content_ids(),
        detail = error.detail,
        config = request.config_version,
        ms = request.received.elapsed().as_millis() as u64,
    );
}

fn failure_reason(error: &AttemptError) -> Reason {
    match error.failure {
        AttemptFailure::NotSent
        | AttemptFailure::Unreachable
        | AttemptFailure::Crowded
        | AttemptFailure::Withheld => Reason::NoServer,
        AttemptFailure::Stopping => Reason::Stopping,
        AttemptFailure::DomainEmptied => Reason::FailureDomainsEmptied,
        AttemptFailure::Rejected | AttemptFailure::Misdirected => Reason::ServersRefused,
        AttemptFailure::ServerError
        | AttemptFailure::Broken
        | AttemptFailure::Unconfirmed
        | AttemptFailure::ServerGone => Reason::ServerBroke,
        AttemptFailure::ContentBarred => Reason::Quarantined,
        AttemptFailure::CutOff => Reason::ServerCutOff,
        AttemptFailure::Silent => Reason::ServerSilent,
    }
}

/// Returns the response to a request that is not sent again.
///
/// This is the error response of the server if it may be passed on.
fn final_response(
    history: &AttemptHistory,
    last_error: Option<AttemptError>,
    reason: Reason,
) -> Result<Response<Body>, LocalResponse> {
    let server_response = last_error
        .and_then(|error| error.response)
        .map(|response| *response);
    if let Some(AttemptResponse::Complete {
        status,
        headers,
        body,
    }) = server_response
    {
        return Ok(complete_response(status, headers, body));
    }
    match history.outcome() {
        NextAttempt::Unknown => Err(LocalResponse::unknown(reason)),
        NextAttempt::NotRun | NextAttempt::Send { .. } => {
            let retry = match reason {
                Reason::FailureDomainsEmptied => retry_after::for_emptied_domains(),
                Reason::Stopping => retry_after::STOP_RETRY,
                _ => retry_after::for_server(),
            };
            Err(LocalResponse::not_run(reason, retry))
        }
    }
}

/// Returns the response to a request whose last attempt failed.
///
/// If it has not run, its caller may come back once a server takes requests, for which it has to `wait`.
fn finish(
    history: &AttemptHistory,
    last_error: Option<AttemptError>,
    reason: Reason,
    wait: Option<Duration>,
) -> Result<Response<Body>, LocalResponse> {
    let response = final_response(history, last_error, reason);
    response.map_err(|mut local| {
        if let (Some(retry), Some(wait)) = (&mut local.retry_after, wait) {
            *retry = (*retry).max(retry_after::for_withheld_servers(wait));
        }
        local
    })
}

/// Returns the response to a request that is not admitted to its overloaded service.
fn refuse_overload() -> LocalResponse {
    LocalResponse::not_run(Reason::Overloaded, retry_after::for_overload())
}

/// Returns the response to a request for which there is no other server; `default` is its reason if the refusal has none.
fn refuse(
    history: &AttemptHistory,
    last_error: Option<AttemptError>,
    refusal: HandoverRefusal,
    default: Reason,
) -> Result<Response<Body>, LocalResponse> {
    let reason = refusal.reason().unwrap_or(default);
    let response = final_response(history, last_error, reason);
    let retry = match refusal {
        HandoverRefusal::ColdServers(next) => retry_after::for_cold_servers(next),
        HandoverRefusal::ServersWithheld(next) => retry_after::for_withheld_servers(next),
        HandoverRefusal::ContentBarred(retry) => retry,
        _ => return response,
    };
    response.map_err(|local| LocalResponse {
        retry_after: local.retry_after.map(|_| retry),
        ..local
    })
}

/// Returns the response to a request that gets no place.
fn refuse_without_place(
    history: &AttemptHistory,
    last_error: Option<AttemptError>,
    retry_after: Duration,
) -> Result<Response<Body>, LocalResponse> {
    let response = final_response(history, last_error, Reason::NoPlace);
    response.map_err(|local| LocalResponse {
        retry_after: local.retry_after.map(|_| retry_after),
        ..local
    })
}

fn respond(
    shared: &Arc<Shared>,
    request: &Arc<RoutedRequest>,
    response: AttemptResponse,
    history: AttemptHistory,
    scope: ServerScope,
) -> Response<Body> {
    match response {
        AttemptResponse::Complete {
            status,
            headers,
            body,
        } => complete_response(status, headers, body),
        AttemptResponse::Stream(open) => {
            let body = relay::body(
                shared,
                Arc::clone(request),
                history,
                scope,
                open.first_events,
                open.stream,
            );
            build_response(open.status, open.headers, body)
        }
    }
}

fn complete_response(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    build_response(status, headers, local_response::full_body(body))
}

fn build_response(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
