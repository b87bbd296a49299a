//! The life of one request: route, organisation, hops, answer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::hop::{HopFailure, HopHistory, NextHop};
use bulrushward_protocol::format_id;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, header::HOST};
use rand::RngExt;
use tokio::time::{Instant as TokioInstant, timeout_at};
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    answer::{self, Body, OwnAnswer, Reason},
    choose,
    hop::{self, HopAnswer, HopError, drop_connection_headers},
    job::{self, Job},
    model::Organisation,
    ports::CallerFacts,
    relay,
    routes::RouteTable,
    servers::Server,
    shared::Shared,
};

/// Time after which a caller may come back while this router starts.
const START_RETRY: Duration = Duration::from_millis(300);
/// Shortest and longest time after which a caller may come back while the store that holds the configuration
/// does not answer; outages last seconds, and most callers come back once.
const OUTAGE_RETRY: (Duration, Duration) =
    (Duration::from_millis(1_500), Duration::from_millis(2_500));
/// Shortest and longest time after which a caller may come back for a server with room.
const SERVER_RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));

/// What the log says of a request; says so as well if its caller leaves without an answer.
#[derive(Debug)]
struct Trail {
    request: String,
    received: Instant,
    is_answered: bool,
    kind: String,
    hops: u32,
    server: String,
    load: f64,
    report_age_ms: Option<u64>,
    usable: usize,
    has_prompt: bool,
    unread_tokens: u64,
    copy_from: Option<SocketAddr>,
    detail: String,
}

impl Trail {
    fn new(request: String, received: Instant) -> Self {
        Self {
            request,
            received,
            is_answered: false,
            kind: String::new(),
            hops: 0,
            server: String::new(),
            load: 0.0,
            report_age_ms: None,
            usable: 0,
            has_prompt: false,
            unread_tokens: 0,
            copy_from: None,
            detail: String::new(),
        }
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
                server = self.server,
                hops = self.hops,
                load = self.load,
                report_age_ms = self.report_age_ms,
                ms = self.ms(),
            );
        }
    }
}

/// Answers one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    let received = Instant::now();
    let facts = shared.dialect.caller(req.headers());
    let mut trail = Trail::new(facts.request_id.clone(), received);
    shared.metrics.in_progress.inc();
    let in_progress = shared.metrics.in_progress.clone();
    let _counted = OnDrop(move || {
        in_progress.dec();
    });
    let answered = match read(&shared, req, facts, received, &mut trail).await {
        Ok(job) => hops(&shared, Arc::new(job), &mut trail).await,
        Err(own) => Err(own),
    };
    trail.is_answered = true;
    let (res, outcome) = match answered {
        Ok(res) => {
            log_answer(&trail, res.status());
            (res, "answered")
        }
        Err(own) => {
            log_own_answer(&trail, &own);
            (own.response(), own.reason.into())
        }
    };
    shared
        .metrics
        .answered(&trail.kind, outcome, received.elapsed());
    res
}

/// Runs a closure when it is dropped.
struct OnDrop<F: FnMut()>(F);

impl<F: FnMut()> Drop for OnDrop<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

fn log_answer(trail: &Trail, status: StatusCode) {
    info!(
        event = "answered",
        request = trail.request,
        route = trail.kind,
        server = trail.server,
        status = status.as_u16(),
        hops = trail.hops,
        load = trail.load,
        report_age_ms = trail.report_age_ms,
        usable = trail.usable,
        has_prompt = trail.has_prompt,
        unread_tokens = trail.unread_tokens,
        copy_from = trail.copy_from.map(tracing::field::display),
        ms = trail.ms(),
    );
}

fn log_own_answer(trail: &Trail, own: &OwnAnswer) {
    warn!(
        event = "refused",
        request = trail.request,
        route = trail.kind,
        server = trail.server,
        status = own.status.as_u16(),
        reason = %own.reason,
        outcome = %own.outcome,
        retry_after_ms = own.retry_after.map(|time| time.as_millis() as u64),
        hops = trail.hops,
        usable = trail.usable,
        detail = trail.detail,
        ms = trail.ms(),
    );
}

/// Finds out what a request is and reads it whole.
async fn read(
    shared: &Shared,
    req: Request<Incoming>,
    facts: CallerFacts,
    received: Instant,
    trail: &mut Trail,
) -> Result<Job, OwnAnswer> {
    let Some(table) = shared.routes.load_full() else {
        let retry = configuration_retry(shared);
        return Err(OwnAnswer::not_run(Reason::NoConfiguration, retry));
    };
    let (head, body) = req.into_parts();
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let route = table
        .route(host, head.uri.path())
        .ok_or_else(|| OwnAnswer::wrong(StatusCode::NOT_FOUND, Reason::UnknownRoute))?;
    trail.kind.clone_from(&route.name);
    let organisation = organisation(&table, facts.key.as_deref(), route.is_public)?;
    let timeout = facts
        .patience
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let due = received + timeout;
    let body = read_body(body, table.config().limits.body_bytes, due).await?;
    let session = job::session(&facts.prompt);
    let key = session.unwrap_or_else(|| xxh3_64(facts.request_id.as_bytes()));
    let service = route
        .service_for(key)
        .and_then(|name| table.service(name))
        .ok_or_else(|| OwnAnswer::not_run(Reason::UnknownService, START_RETRY))?;
    let mut headers = head.headers;
    drop_connection_headers(&mut headers);
    shared.dialect.strip(&mut headers);
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let name = organisation.map(|organisation| organisation.name.clone());
    Ok(Job {
        content: job::fingerprint(target, name.as_deref(), &body),
        request_id: facts.request_id,
        received,
        due,
        method: head.method,
        target: target.to_owned(),
        headers,
        body,
        route: route.clone(),
        service: service.clone(),
        organisation: name,
        urgency: Some(
            organisation
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
        ),
        session,
        prompt: facts.prompt,
        last_event: facts.last_event,
        config_version: table.config().version,
    })
}

fn organisation<'a>(
    table: &'a RouteTable,
    key: Option<&str>,
    is_public: bool,
) -> Result<Option<&'a Organisation>, OwnAnswer> {
    let found = key.and_then(|key| table.organisation(key));
    if found.is_none() && table.asks_for_keys() && !is_public {
        return Err(OwnAnswer::wrong(
            StatusCode::UNAUTHORIZED,
            Reason::UnknownKey,
        ));
    }
    Ok(found)
}

async fn read_body(body: Incoming, limit: usize, due: Instant) -> Result<Bytes, OwnAnswer> {
    let collected = timeout_at(
        TokioInstant::from_std(due),
        Limited::new(body, limit).collect(),
    );
    match collected.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(OwnAnswer::wrong(
            StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyTooLarge,
        )),
        Ok(Err(_cut)) => Err(OwnAnswer::wrong(StatusCode::BAD_REQUEST, Reason::BodyCut)),
        Err(_elapsed) => Err(OwnAnswer::wrong(
            StatusCode::REQUEST_TIMEOUT,
            Reason::TimeOver,
        )),
    }
}

/// Sends a request to servers until one answers or nothing more may be tried.
async fn hops(
    shared: &Arc<Shared>,
    job: Arc<Job>,
    trail: &mut Trail,
) -> Result<Response<Body>, OwnAnswer> {
    let service = &job.service.name;
    shared.deposit(service);
    let mut history = HopHistory::new(job.route.is_idempotent(), job.route.max_servers);
    let mut tried = Vec::new();
    let mut last_error: Option<HopError> = None;
    loop {
        if let Some(left) = shared.quarantined(job.content) {
            return match history.outcome() {
                NextHop::Unknown => Err(OwnAnswer::unknown(Reason::Quarantined)),
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
        trail.hops = history.hops() + 1;
        trail.server.clone_from(&server.id);
        trail.load = choice.load;
        trail.report_age_ms = choice.report_age_ms;
        trail.usable = choice.usable;
        trail.has_prompt = choice.has_prompt;
        trail.unread_tokens = choice.unread_tokens;
        trail.copy_from = choice.copy_from;
        tried.push(server.id.clone());
        let error = match hop::send(shared, &job, &choice, None).await {
            Ok(answer) => return Ok(respond(shared, &job, answer, history, tried)),
            Err(error) => error,
        };
        shared.metrics.hop_failed(error.failure.into());
        trail.detail.clone_from(&error.detail);
        log_failed_hop(&job, &server.id, &error);
        note_crash(shared, &job, server, &error);
        let next = history.failed(error.failure);
        let reason = reason(&error);
        last_error = Some(error);
        match next {
            NextHop::Send { repeat } if !repeat || shared.withdraw(service) => {
                if repeat {
                    shared.metrics.repeats.inc();
                }
            }
            NextHop::Send { .. } => {
                return give_up(&history, last_error, Reason::RetryBudget);
            }
            NextHop::NotRun | NextHop::Unknown => {
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
        HopFailure::Broken => {
            server.state().broke(job.content, now);
            return;
        }
        HopFailure::NotSent => server.state().crashed(now),
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

fn log_failed_hop(job: &Job, server: &str, error: &HopError) {
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
        HopFailure::NotSent => Reason::NoServer,
        HopFailure::Rejected | HopFailure::Misdirected => Reason::ServersRefused,
        HopFailure::ServerError | HopFailure::Broken => Reason::ServerBroke,
        HopFailure::Silent => Reason::ServerSilent,
    }
}

/// Ends a request that is not sent any more, with the server's own error where there is one.
fn give_up(
    history: &HopHistory,
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
        NextHop::Unknown => Err(OwnAnswer::unknown(reason)),
        NextHop::NotRun | NextHop::Send { .. } => {
            Err(OwnAnswer::not_run(reason, drawn(SERVER_RETRY)))
        }
    }
}

/// Returns when a caller may come back for a configuration.
fn configuration_retry(shared: &Shared) -> Duration {
    if shared.store_answers() {
        START_RETRY
    } else {
        drawn(OUTAGE_RETRY)
    }
}

/// Draws a time, so that callers who were refused together do not return together.
fn drawn((least, most): (Duration, Duration)) -> Duration {
    rand::rng().random_range(least..most)
}

fn respond(
    shared: &Arc<Shared>,
    job: &Arc<Job>,
    answer: HopAnswer,
    history: HopHistory,
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
