//! Turns a caller's HTTP request into a job.

use std::time::{Duration, Instant};

use bulrushward_claims::ClaimSettings;
use bulrushward_config::{Config, Kind, Organisation, Protocol, Service};
use bulrushward_policy::{
    chat_key,
    claim::{action_from_content, action_from_key, shard_of},
};
use bulrushward_protocol::{ActionKey, ChatKey, Fingerprint, Header, RequestId, headers};
use salvo::{
    Request,
    http::{HeaderMap, ParseError, StatusCode},
};
use xxhash_rust::xxh3::Xxh3;

use super::{Router, chat_request::ChatRequest, job::Job, refusal::Rejection};

/// Path of chat completions, at callers and at engines.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Prefix of the paths of plain services.
pub(crate) const SERVICE_PREFIX: &str = "/svc/";
/// Estimated work of a call to a plain service.
const PLAIN_WORK: u64 = 256;
/// Deadline of work whose kind the text does not declare.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Name of the kind of work when the text declares none.
const DEFAULT_KIND: &str = "default";
/// Headers of the caller that are not for the backend server.
const DROPPED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Classifies a chat completion request.
pub(crate) async fn chat(
    router: &Router,
    request: RequestId,
    req: &mut Request,
) -> Result<Job, Rejection> {
    let received = Instant::now();
    let snapshot = router.control.snapshot();
    let config = &snapshot.config;
    let organisation = organisation(config, req.headers())?;
    let body = body(router, req).await?;
    let parsed: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat completion request: {error}");
        Rejection::new(StatusCode::BAD_REQUEST, "invalid-body", message)
    })?;
    let service = service_for_model(config, &parsed.model)?;
    let kind = kind(config, service, req.headers(), parsed.max_tokens())?;
    let opening = parsed.opening();
    let chat = match text_header(req.headers(), headers::CHAT) {
        Some(id) => chat_key::from_id(&organisation.name, id),
        None => chat_key::from_opening(
            &organisation.name,
            &parsed.model,
            opening.iter().map(String::as_str),
        ),
    };
    Ok(Job {
        request,
        received,
        deadline: received + kind.map_or(DEFAULT_DEADLINE, |kind| kind.deadline),
        fingerprint: fingerprint(&organisation.name, &service.name, "POST", CHAT_PATH, &body),
        service: service.clone(),
        organisation: organisation.name.clone(),
        kind: kind.map_or_else(|| DEFAULT_KIND.to_owned(), |kind| kind.name.clone()),
        chat,
        work: parsed.work(body.len()),
        action: None,
        revision: snapshot.revision,
        streamed: parsed.stream,
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        headers: passed_headers(req.headers()),
        body,
    })
}

/// Classifies a call to a plain service.
pub(crate) async fn plain(
    router: &Router,
    request: RequestId,
    req: &mut Request,
) -> Result<Job, Rejection> {
    let received = Instant::now();
    let snapshot = router.control.snapshot();
    let config = &snapshot.config;
    let organisation = organisation(config, req.headers())?;
    let rest = req
        .uri()
        .path()
        .strip_prefix(SERVICE_PREFIX)
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = plain_service(config, name)?;
    let path = format!("/{path}");
    let target = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.clone(),
    };
    let kind = kind(config, service, req.headers(), None)?;
    let method = req.method().as_str().to_owned();
    let body = body(router, req).await?;
    let fingerprint = fingerprint(&organisation.name, &service.name, &method, &target, &body);
    let key = text_header(req.headers(), headers::IDEMPOTENCY_KEY);
    let action = (!service.is_idempotent(&method, &path)).then(|| match key {
        Some(key) => action_from_key(&organisation.name, &service.name, key),
        None => action_from_content(fingerprint),
    });
    Ok(Job {
        request,
        received,
        deadline: received + kind.map_or(DEFAULT_DEADLINE, |kind| kind.deadline),
        service: service.clone(),
        organisation: organisation.name.clone(),
        kind: kind.map_or_else(|| DEFAULT_KIND.to_owned(), |kind| kind.name.clone()),
        // Calls without an action spread by content.
        chat: action.map_or(fingerprint as u64, placement_of),
        work: PLAIN_WORK,
        action,
        fingerprint,
        revision: snapshot.revision,
        streamed: false,
        method,
        path: target,
        headers: passed_headers(req.headers()),
        body,
    })
}

/// Returns the placement key of an action: its record of claims.
///
/// Repeats meet at one agent, and each record is written by one agent as a rule.
fn placement_of(action: ActionKey) -> ChatKey {
    shard_of(action, ClaimSettings::DEFAULT_SHARDS.get() as usize) as ChatKey
}

fn organisation<'a>(config: &'a Config, map: &HeaderMap) -> Result<&'a Organisation, Rejection> {
    let key = text_header(map, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        let message = "the request has no API key; send \"Authorization: Bearer <key>\"";
        return Err(Rejection::new(
            StatusCode::UNAUTHORIZED,
            "missing-api-key",
            message,
        ));
    };
    config.organisation_for_key(key).ok_or_else(|| {
        let message = "the API key belongs to no organisation";
        Rejection::new(StatusCode::UNAUTHORIZED, "unknown-api-key", message)
    })
}

fn service_for_model<'a>(config: &'a Config, model: &str) -> Result<&'a Service, Rejection> {
    config.service_for_model(model).ok_or_else(|| {
        let message = format!("model {model:?} is not served here");
        Rejection::new(StatusCode::NOT_FOUND, "unknown-model", message)
    })
}

fn plain_service<'a>(config: &'a Config, name: &str) -> Result<&'a Service, Rejection> {
    let mut services = config.services.iter();
    let found = services.find(|s| s.name == name && s.protocol == Protocol::Plain);
    found.ok_or_else(|| {
        let message = format!("service {name:?} does not exist");
        Rejection::new(StatusCode::NOT_FOUND, "unknown-service", message)
    })
}

fn kind<'a>(
    config: &'a Config,
    service: &Service,
    map: &HeaderMap,
    max_tokens: Option<u64>,
) -> Result<Option<&'a Kind>, Rejection> {
    let named = text_header(map, headers::KIND);
    let kind = config.kind_for(service, named, max_tokens);
    if let Some(name) = named
        && kind.is_none()
    {
        let message = format!(
            "service {:?} has no kind of work {name:?} (header {:?})",
            service.name,
            headers::KIND
        );
        return Err(Rejection::new(
            StatusCode::BAD_REQUEST,
            "unknown-kind",
            message,
        ));
    }
    Ok(kind)
}

async fn body(router: &Router, req: &mut Request) -> Result<bytes::Bytes, Rejection> {
    let limit = router.settings.body_limit;
    match req.payload_with_max_size(limit).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => {
            let message = format!("the body is above the limit of {limit} bytes");
            Err(Rejection::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-large",
                message,
            ))
        }
        Err(error) => {
            let message = format!("the body could not be read: {error}");
            Err(Rejection::new(
                StatusCode::BAD_REQUEST,
                "unreadable-body",
                message,
            ))
        }
    }
}

fn text_header<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name).and_then(|value| value.to_str().ok())
}

/// Keeps the headers for the backend server; those of the inner protocol are never the caller's.
fn passed_headers(map: &HeaderMap) -> Vec<Header> {
    let kept = map.iter().filter(|(name, _)| {
        let name = name.as_str();
        !name.starts_with(headers::PREFIX) && !DROPPED_HEADERS.contains(&name)
    });
    kept.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    })
    .collect()
}

fn fingerprint(
    organisation: &str,
    service: &str,
    method: &str,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for field in [organisation, service, method, path] {
        hasher.update(field.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest128()
}
