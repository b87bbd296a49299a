//! Matches a request to its route, organisation and service, and reads its body.

use std::time::Instant;

use bytes::Bytes;
use hyper::{
    Request, StatusCode,
    body::{Body, Incoming},
    header::HOST,
};
use tokio::time::{Instant as TokioInstant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    body_memory::BodyReservation,
    buffered_body::{self, BodyError},
    forwarded_request::remove_hop_by_hop_headers,
    local_response::{LocalResponse, Reason},
    model::Organisation,
    ports::RequestMetadata,
    request_log::RequestLog,
    retry_after,
    routed_request::{self, RoutedRequest},
    routes::RouteTable,
    run_mark::RunMark,
    shared::Shared,
};

/// Matches a request to its route, organisation and service, and reads its body, once the router knows what it needs.
///
/// # Errors
///
/// Returns the [`LocalResponse`] to a request that is not sent to any server.
pub(crate) async fn read(
    shared: &Shared,
    req: Request<Incoming>,
    metadata: RequestMetadata,
    received: Instant,
    request_log: &mut RequestLog,
) -> Result<RoutedRequest, LocalResponse> {
    if let Some(end) = shared.start_gate.pass(metadata.caller_timeout).await {
        shared.metrics.record_start_wait(end);
    }
    let Some(table) = shared.routes.load_full() else {
        let retry = retry_after::for_configuration(shared);
        return Err(LocalResponse::not_run(Reason::NoConfiguration, retry));
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
        .ok_or_else(|| denial(shared, StatusCode::NOT_FOUND, Reason::UnknownRoute))?;
    request_log.route.clone_from(&route.name);
    request_log.config = Some(table.config().version);
    let organisation = organisation(shared, &table, metadata.key.as_deref(), route.is_public)?;
    request_log.organisation = organisation.map(|organisation| organisation.name.clone());
    let timeout = metadata
        .caller_timeout
        .map_or(route.timeout, |caller_timeout| {
            caller_timeout.min(route.timeout)
        });
    let deadline = received + timeout;
    let session = routed_request::session_key(&metadata.prompt);
    let routing_key = session.unwrap_or_else(|| xxh3_64(metadata.request_id.as_bytes()));
    let service = route
        .service_for(routing_key)
        .and_then(|name| table.service(name))
        .ok_or_else(|| LocalResponse::not_run(Reason::UnknownService, retry_after::START_RETRY))?;
    let mut memory = shared.body_memory.reservation(&service.name);
    let limit = table.config().limits.body_bytes;
    let body = read_body(body, limit, deadline, &mut memory).await?;
    let mut headers = head.headers;
    remove_hop_by_hop_headers(&mut headers);
    shared.conventions.strip_request_headers(&mut headers);
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let organisation_name = organisation.map(|organisation| organisation.name.clone());
    Ok(RoutedRequest {
        fingerprint: routed_request::fingerprint(target, organisation_name.as_deref(), &body),
        request_id: metadata.request_id,
        received,
        deadline,
        method: head.method,
        target: target.to_owned(),
        headers,
        body,
        _memory: memory,
        route: route.clone(),
        service: service.clone(),
        organisation: organisation_name,
        priority: Some(
            organisation
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
        ),
        session,
        prompt: metadata.prompt,
        last_event_id: metadata.last_event_id,
        resumes: metadata.resumes,
        config_version: table.config().version,
        run_mark: RunMark::default(),
    })
}

/// Returns the response to a request that the configuration does not allow.
///
/// While a newer configuration may allow it, the caller is asked to retry instead.
fn denial(shared: &Shared, status: StatusCode, reason: Reason) -> LocalResponse {
    if shared.store_state.is_config_in_doubt() {
        let retry = retry_after::for_configuration(shared);
        return LocalResponse::not_run(Reason::ConfigurationInDoubt, retry);
    }
    LocalResponse::client_error(status, reason)
}

fn organisation<'a>(
    shared: &Shared,
    table: &'a RouteTable,
    key: Option<&str>,
    is_public: bool,
) -> Result<Option<&'a Organisation>, LocalResponse> {
    let found = key.and_then(|key| table.organisation(key));
    if found.is_none() && table.requires_keys() && !is_public {
        return Err(denial(shared, StatusCode::UNAUTHORIZED, Reason::UnknownKey));
    }
    Ok(found)
}

/// Reads a body, for which `memory` is reserved before any of it is read.
///
/// # Errors
///
/// Returns the [`LocalResponse`] if there is no memory for the body, or if it is too large, incomplete or too late.
async fn read_body(
    body: Incoming,
    limit: usize,
    deadline: Instant,
    memory: &mut BodyReservation,
) -> Result<Bytes, LocalResponse> {
    let too_large =
        LocalResponse::client_error(StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge);
    let no_memory = LocalResponse::not_run(Reason::NoMemory, retry_after::for_overload());
    let announced = body.size_hint().lower().min(limit as u64) as usize;
    if !memory.resize(announced) {
        return Err(no_memory);
    }
    let resize = |bytes: usize| memory.resize(bytes.max(announced));
    let collected = timeout_at(
        TokioInstant::from_std(deadline),
        buffered_body::collect(body, limit, resize, |_len| {}),
    );
    match collected.await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge { .. })) => Err(too_large),
        Ok(Err(BodyError::OutOfMemory)) => Err(no_memory),
        Ok(Err(_aborted)) => Err(LocalResponse::client_error(
            StatusCode::BAD_REQUEST,
            Reason::BodyCut,
        )),
        Err(_elapsed) => Err(LocalResponse::client_error(
            StatusCode::REQUEST_TIMEOUT,
            Reason::TimeOver,
        )),
    }
}
