//! Turns a caller's HTTP request into a job.

use std::time::{Duration, Instant};

use bulrushward_claims::ClaimSettings;
use bulrushward_config::{Config, Kind, Organisation, Protocol, Service};
use bulrushward_policy::{
    chat_key,
    claim::{action_from_content, action_from_key, shard_of},
};
use bulrushward_protocol::{ActionKey, ChatKey, Fingerprint, RequestId, headers};
use salvo::{
    Request,
    http::{HeaderMap, Method, ParseError, StatusCode},
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    Router,
    chat_request::ChatRequest,
    job::Job,
    passed_headers::{idempotency_key, passed, text_header},
    refusal::{Rejection, shortened},
};

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

/// Classifies a chat completion request.
pub(crate) async fn chat(
    router: &Router,
    request: RequestId,
    req: &mut Request,
) -> Result<Job, Rejection> {
    let received = Instant::now();
    let snapshot = router.control.snapshot();
    let config = &snapshot.config;
    if req.method() != Method::POST {
        return Err(Rejection::method(CHAT_PATH, "POST"));
    }
    let organisation = organisation(config, req.headers())?;
    let headers = passed(req.headers())?;
    let named_chat = text_header(req.headers(), headers::CHAT)?.map(ToOwned::to_owned);
    idempotency_key(req.headers())?;
    let body = body(router, req).await?;
    let parsed: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat completion request: {error}");
        Rejection::new(StatusCode::BAD_REQUEST, "invalid-body", message)
    })?;
    parsed.check()?;
    let service = service_for_model(config, &parsed.model)?;
    let kind = kind(config, service, req.headers(), parsed.max_tokens())?;
    let opening = parsed.opening();
    let chat = match &named_chat {
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
        streamed: parsed.is_streamed(),
        method: "POST".to_owned(),
        path: CHAT_PATH.to_owned(),
        headers,
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
    check_path(&path)?;
    let kind = kind(config, service, req.headers(), None)?;
    let headers = passed(req.headers())?;
    let key = idempotency_key(req.headers())?.map(ToOwned::to_owned);
    let method = req.method().as_str().to_owned();
    let body = body(router, req).await?;
    let fingerprint = fingerprint(&organisation.name, &service.name, &method, &target, &body);
    let action = (!service.is_idempotent(&method, &path)).then(|| match &key {
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
        headers,
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
    let key = text_header(map, "authorization")?.and_then(|value| value.strip_prefix("Bearer "));
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
        let message = format!("model {:?} is not served here", shortened(model));
        Rejection::new(StatusCode::NOT_FOUND, "unknown-model", message)
    })
}

fn plain_service<'a>(config: &'a Config, name: &str) -> Result<&'a Service, Rejection> {
    let mut services = config.services.iter();
    let found = services.find(|s| s.name == name && s.protocol == Protocol::Plain);
    found.ok_or_else(|| {
        let message = format!("service {:?} does not exist", shortened(name));
        Rejection::new(StatusCode::NOT_FOUND, "unknown-service", message)
    })
}

fn kind<'a>(
    config: &'a Config,
    service: &Service,
    map: &HeaderMap,
    max_tokens: Option<u64>,
) -> Result<Option<&'a Kind>, Rejection> {
    let named = text_header(map, headers::KIND)?;
    let kind = config.kind_for(service, named, max_tokens);
    if let Some(name) = named
        && kind.is_none()
    {
        let message = format!(
            "service {:?} has no kind of work {:?} (header {:?})",
            service.name,
            shortened(name),
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

/// Refuses a path that would reach the service as another one, such as one with `..`.
///
/// Whether a call is idempotent is decided by its path as sent.
fn check_path(path: &str) -> Result<(), Rejection> {
    let url = reqwest::Url::parse(&format!("http://service{path}"));
    if url.is_ok_and(|url| url.path() == path) {
        return Ok(());
    }
    let message = format!(
        "the path {:?} is not in its normal form; encode special characters, and use neither \
         \"..\" nor \".\" as a part",
        shortened(path)
    );
    Err(Rejection::new(
        StatusCode::BAD_REQUEST,
        "invalid-path",
        message,
    ))
}

/// Reads a body, which may be neither too large nor too slow.
async fn body(router: &Router, req: &mut Request) -> Result<bytes::Bytes, Rejection> {
    let limit = router.settings.body_limit;
    if announced_length(req.headers()) > limit as u64 {
        return Err(too_large(limit));
    }
    let timeout = router.settings.caller_timeout;
    match tokio::time::timeout(timeout, req.payload_with_max_size(limit)).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(too_large(limit)),
        Ok(Err(error)) => {
            let message = format!("the body could not be read: {error}");
            Err(Rejection::new(
                StatusCode::BAD_REQUEST,
                "unreadable-body",
                message,
            ))
        }
        Err(_elapsed) => {
            let message = format!("the body did not arrive within {} ms", timeout.as_millis());
            Err(Rejection::new(
                StatusCode::REQUEST_TIMEOUT,
                "slow-body",
                message,
            ))
        }
    }
}

fn announced_length(map: &HeaderMap) -> u64 {
    let length = map
        .get("content-length")
        .and_then(|length| length.to_str().ok());
    length
        .and_then(|length| length.parse().ok())
        .unwrap_or_default()
}

fn too_large(limit: usize) -> Rejection {
    let message = format!("the body is above the limit of {limit} bytes");
    Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
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
