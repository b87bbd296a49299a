//! The life of one request: route, organisation, hops, answer.

use std::{sync::Arc, time::Instant};

use bulrushward_policy::server_attempt::{AttemptFailure, AttemptHistory, NextAttempt};
use bulrushward_protocol::format_id;
use bytes::Bytes;
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use tracing::info;

use crate::{
    answer::{self, Body, OwnAnswer, Reason},
    choose,
    hop::{self, HopAnswer, HopError},
    intake,
    job::Job,
    relay, retry_after,
    servers::Server,
    shared::Shared,
    trail::Trail,
};

/// Answers one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let facts = shared.dialect.caller(req.headers());
    let mut trail = Trail::new(facts.request_id.clone(), received);
    let _counted = shared.metrics.begin();
    let answered = match intake::read(&shared, req, facts, received, &mut trail).await {
        Ok(job) => hops(&shared, Arc::new(job), &mut trail).await,
        Err(own) => Err(own),
    };
    let (res, outcome) = match answered {
        Ok(res) => {
            trail.answered(res.status());
            (res, "answered")
        }
        Err(own) => {
            trail.refused(&own);
            (own.response(), own.reason.into())
        }
    };
    shared
        .metrics
        .answered(&trail.kind, outcome, trail.is_stream, received.elapsed());
    res
}

/// Sends a request to servers until one answers or nothing more may be tried.
async fn hops(
    shared: &Arc<Shared>,
    job: Arc<Job>,
    trail: &mut Trail,
) -> Result<Response<Body>, OwnAnswer> {
    let service = &job.service.name;
    shared.deposit(service);
    trail.is_stream = job.is_stream();
    let mut history = AttemptHistory::new(job.route.is_idempotent(), job.route.max_servers);
    let mut tried = Vec::new();
    let mut last_error: Option<HopError> = None;
    loop {
        if let Some(left) = shared.quarantined(job.content) {
            return match history.outcome() {
                NextAttempt::Unknown => Err(OwnAnswer::unknown(Reason::Quarantined)),
                _ => Err(OwnAnswer::not_run(Reason::Quarantined, left)),
            };
        }
        if Instant::now() >= job.due {
            return give_up(&history, last_error, Reason::TimeOver);
        }
        let Some(choice) = choose::server(shared, &job, &tried) else {
            return give_up(&history, last_error, Reason::NoServer);
        };
        let server = &choice.server;
        trail.hops = history.attempts() + 1;
        trail.server.clone_from(&server.id);
        trail.beliefs = choice.beliefs;
        tried.push(server.id.clone());
        shared.metrics.hop(choice.beliefs.report_age);
        let error = match hop::send(shared, &job, &choice, None).await {
            Ok(answer) => return Ok(respond(shared, &job, answer, history, tried)),
            Err(error) => error,
        };
        shared.metrics.hop_failed(error.failure.into());
        trail.detail.clone_from(&error.detail);
        log_failed_hop(&job, &server.id, &error);
        note_crash(shared, &job, server, &error);
        let next = history.record_failure(error.failure);
        let reason = reason(&error);
        last_error = Some(error);
        match next {
            NextAttempt::Send { retry } if !retry || shared.withdraw(service) => {
                if retry {
                    shared.metrics.repeats.inc();
                }
            }
            NextAttempt::Send { .. } => {
                return give_up(&history, last_error, Reason::RetryBudget);
            }
            NextAttempt::NotRun | NextAttempt::Unknown => {
                return give_up(&history, last_error, reason);
            }
        }
    }
}

/// Counts the crashes of contents: connections that break do not tell, as a server may lose an answer, but
/// one that cannot be reached after that has crashed.
fn note_crash(shared: &Shared, job: &Job, server: &Server, error: &HopError) {
    let now = Instant::now();
    let crashed = match error.failure {
        AttemptFailure::Broken => {
            server.state().broke(job.content, now);
            return;
        }
        AttemptFailure::NotSent => server.state().crashed(now),
        _ => return,
    };
    for content in crashed {
        info!(
            event = "crash-suspected",
            server = server.id,
            content = format_id(content)
        );
        shared.crashed(content);
    }
}

/// Logs that a server failed a request.
pub(crate) fn log_failed_hop(job: &Job, server: &str, error: &HopError) {
    info!(
        event = "hop-failed",
        request = job.request_id,
        server,
        failure = %error.failure,
        detail = error.detail,
        config = job.config_version,
        ms = job.received.elapsed().as_millis() as u64,
    );
}

fn reason(error: &HopError) -> Reason {
    match error.failure {
        AttemptFailure::NotSent | AttemptFailure::Crowded => Reason::NoServer,
        AttemptFailure::Rejected | AttemptFailure::Misdirected => Reason::ServersRefused,
        AttemptFailure::ServerError | AttemptFailure::Broken => Reason::ServerBroke,
        AttemptFailure::Silent => Reason::ServerSilent,
    }
}

/// Ends a request that is not sent any more, with the server's own error where there is one.
fn give_up(
    history: &AttemptHistory,
    last_error: Option<HopError>,
    reason: Reason,
) -> Result<Response<Body>, OwnAnswer> {
    let own_error = last_error
        .and_then(|error| error.answer)
        .map(|answer| *answer);
    if let Some(HopAnswer::Whole {
        status,
        headers,
        body,
    }) = own_error
    {
        return Ok(whole(status, headers, body));
    }
    match history.outcome() {
        NextAttempt::Unknown => Err(OwnAnswer::unknown(reason)),
        NextAttempt::NotRun | NextAttempt::Send { .. } => {
            Err(OwnAnswer::not_run(reason, retry_after::for_server()))
        }
    }
}

fn respond(
    shared: &Arc<Shared>,
    job: &Arc<Job>,
    answer: HopAnswer,
    history: AttemptHistory,
    tried: Vec<String>,
) -> Response<Body> {
    match answer {
        HopAnswer::Whole {
            status,
            headers,
            body,
        } => whole(status, headers, body),
        HopAnswer::Stream(open) => {
            let body = relay::body(
                shared,
                Arc::clone(job),
                history,
                tried,
                open.first,
                open.rest,
            );
            with_head(open.status, open.headers, body)
        }
    }
}

fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<Body> {
    with_head(status, headers, answer::full(body))
}

fn with_head(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}
