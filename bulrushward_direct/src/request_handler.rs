//! Handles one request of a caller: reads it, sends it to servers and returns a response.

use std::{sync::Arc, time::Instant};

use bulrushward_policy::server_attempt::{AttemptFailure, AttemptHistory, NextAttempt};
use bulrushward_protocol::format_id;
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use tracing::info;

use crate::{
    attempt::{self, AttemptError, AttemptResponse},
    handover::{self, HandoverRefusal, SilenceWatch},
    local_response::{self, Body, LocalResponse, Reason},
    relay,
    request_log::RequestLog,
    request_reader, retry_after,
    routed_request::RoutedRequest,
    server_selection,
    servers::Server,
    shared::Shared,
};

/// Returns the response to one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let metadata = shared.conventions.parse_request_headers(req.headers());
    let mut request_log = RequestLog::new(&shared, metadata.request_id.clone(), received);
    let _in_progress = shared.metrics.track_in_progress();
    let result =
        match request_reader::read(&shared, req, metadata, received, &mut request_log).await {
            Ok(_) if shared.is_refusing() => Err(LocalResponse::not_run(
                Reason::Stopping,
                retry_after::STOP_RETRY,
            )),
            Ok(request) => send_with_retries(&shared, Arc::new(request), &mut request_log).await,
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
    if server_selection::lack_reason(shared, &request) == Reason::FailureDomainsEmptied {
        let retry = retry_after::for_emptied_domains();
        return Err(LocalResponse::not_run(Reason::FailureDomainsEmptied, retry));
    }
    let servers = server_selection::open_servers(shared, &request);
    if !shared.overload.admits(&request, servers) {
        let retry = retry_after::for_overload();
        return Err(LocalResponse::not_run(Reason::Overloaded, retry));
    }
    let mut history = AttemptHistory::new(request.route.is_idempotent(), request.route.max_servers);
    let mut tried = Vec::new();
    let mut last_error: Option<AttemptError> = None;
    let mut retry_cause = None;
    let mut successor = None;
    loop {
        if let Some(time_left) = shared.quarantine_time_left(request.fingerprint) {
            return match history.outcome() {
                NextAttempt::Unknown => Err(LocalResponse::unknown(Reason::Quarantined)),
                _ => Err(LocalResponse::not_run(Reason::Quarantined, time_left)),
            };
        }
        if Instant::now() >= request.deadline {
            return final_response(&history, last_error, Reason::TimeOver);
        }
        let choice = successor
            .take()
            .map_or_else(|| server_selection::select(shared, &request, &tried), Ok);
        let choice = match choice {
            Ok(choice) => choice,
            Err(no_server) => return refuse(&history, last_error, no_server.into()),
        };
        let server = &choice.server;
        request_log.attempts = history.attempts() + 1;
        request_log.server.clone_from(&server.id);
        request_log.inputs = choice.inputs;
        tried.push(server.id.clone());
        shared.metrics.record_attempt(choice.inputs.report_age);
        let sent = Instant::now();
        let mut silence = SilenceWatch::new(shared, &request, &history, &tried);
        let result = attempt::send(shared, &request, &choice, None, &mut silence).await;
        successor = silence.into_successor();
        let failure = result.as_ref().err().map(|error| error.failure);
        shared
            .overload
            .record_attempt(&request, server, sent.elapsed(), failure);
        if let Some(cause) = retry_cause.take() {
            shared.record_retry_result(service, cause, result.is_ok());
        }
        let error = match result {
            Ok(response) => return Ok(respond(shared, &request, response, history, tried)),
            Err(error) => error,
        };
        shared.metrics.record_failed_attempt(error.failure.into());
        request_log.detail.clone_from(&error.detail);
        log_failed_attempt(&request, &server.id, &error);
        record_suspected_crash(shared, &request, server, &error);
        if error.failure == AttemptFailure::Misdirected {
            shared
                .replaced_servers()
                .record(server.hash, Instant::now());
        }
        let failure = error.failure;
        let next = history.record_failure(failure);
        let reason = failure_reason(&error);
        let cause = failure.retry_cause();
        last_error = Some(error);
        match next {
            NextAttempt::Send { retry } => {
                if successor.is_none() {
                    match handover::select_next(shared, &request, next, failure, &tried) {
                        Ok(choice) => successor = Some(choice),
                        Err(refusal) if refusal.reason().is_some() => {
                            return refuse(&history, last_error, refusal);
                        }
                        Err(_) => return final_response(&history, last_error, reason),
                    }
                }
                retry_cause = retry.then_some(cause);
            }
            NextAttempt::NotRun | NextAttempt::Unknown => {
                return final_response(&history, last_error, reason);
            }
        }
    }
}

/// Records the server crashes that requests are suspected to have caused.
///
/// A broken connection alone proves no crash, as a server may lose a response. A server that cannot be reached
/// afterwards has crashed.
fn record_suspected_crash(
    shared: &Shared,
    request: &RoutedRequest,
    server: &Server,
    error: &AttemptError,
) {
    let now = Instant::now();
    let suspects = match error.failure {
        AttemptFailure::Broken => {
            server
                .state()
                .record_broken_connection(request.fingerprint, now);
            return;
        }
        AttemptFailure::NotSent => server.state().take_crash_suspects(now),
        _ => return,
    };
    for fingerprint in suspects {
        info!(
            event = "crash-suspected",
            server = server.id,
            content = format_id(fingerprint)
        );
        shared.record_crash(fingerprint);
    }
}

/// Logs a failed attempt.
pub(crate) fn log_failed_attempt(request: &RoutedRequest, server: &str, error: &AttemptError) {
    info!(
        event = "hop-failed",
        request = request.request_id,
        server,
        failure = %error.failure,
        detail = error.detail,
        config = request.config_version,
        ms = request.received.elapsed().as_millis() as u64,
    );
}

fn failure_reason(error: &AttemptError) -> Reason {
    match error.failure {
        AttemptFailure::NotSent | AttemptFailure::Crowded => Reason::NoServer,
        AttemptFailure::DomainEmptied => Reason::FailureDomainsEmptied,
        AttemptFailure::Rejected | AttemptFailure::Misdirected => Reason::ServersRefused,
        AttemptFailure::ServerError | AttemptFailure::Broken => Reason::ServerBroke,
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
                _ => retry_after::for_server(),
            };
            Err(LocalResponse::not_run(reason, retry))
        }
    }
}

/// Returns the response to a request for which there is no other server.
fn refuse(
    history: &AttemptHistory,
    last_error: Option<AttemptError>,
    refusal: HandoverRefusal,
) -> Result<Response<Body>, LocalResponse> {
    let reason = refusal.reason().unwrap_or(Reason::NoServer);
    let response = final_response(history, last_error, reason);
    let HandoverRefusal::ColdServers(next) = refusal else {
        return response;
    };
    response.map_err(|local| LocalResponse {
        retry_after: local
            .retry_after
            .map(|_| retry_after::for_cold_servers(next)),
        ..local
    })
}

fn respond(
    shared: &Arc<Shared>,
    request: &Arc<RoutedRequest>,
    response: AttemptResponse,
    history: AttemptHistory,
    tried: Vec<String>,
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
                tried,
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
