//! Validates a caller's HTTP request and matches it to a service.

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
    refusal::{Rejection, truncated},
    request_headers::{forwarded_headers, idempotency_key, text_header},
    routed_request::RoutedRequest,
};

/// Path of chat completions, both for callers and at engines.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";
/// Path prefix of plain services.
pub(crate) const SERVICE_PREFIX: &str = "/svc/";
/// Estimated work of a call to a plain service, in work units.
const PLAIN_CALL_WORK: u64 = 256;
/// Deadline of requests whose kind of work is not configured.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);
/// Name of the kind of work of requests that match no configured kind.
const DEFAULT_KIND: &str = "default";

/// Classifies a chat completion request.
pub(crate) async fn chat(
    router: &Router,
    request: RequestId,
    req: &mut Request,
) -> Result<RoutedRequest, Rejection> {
    let received = Instant::now();
    let snapshot = router.control.snapshot();
    let config = &snapshot.config;
    if req.method() != Method::POST {
        return Err(Rejection::method(CHAT_PATH, "POST"));
    }
    let organisation = authenticate(config, req.headers())?;
    let headers = forwarded_headers(req.headers())?;
    let chat_id = text_header(req.headers(), headers::CHAT)?.map(ToOwned::to_owned);
    // Only validated: chat requests are idempotent and have no action key.
    idempotency_key(req.headers())?;
    let body = read_body(router, req).await?;
    let parsed: ChatRequest = serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a chat completion request: {error}");
        Rejection::new(StatusCode::BAD_REQUEST, "invalid-body", message)
    })?;
    parsed.check()?;
    let service = service_for_model(config, &parsed.model)?;
    let kind = select_kind(config, service, req.headers(), parsed.max_tokens())?;
    let opening = parsed.opening();
    let chat = match &chat_id {
        Some(id) => chat_key::from_id(&organisation.name, id),
        None => chat_key::from_opening(
            &organisation.name,
            &parsed.model,
            opening.iter().map(String::as_str),
        ),
    };
    Ok(RoutedRequest {
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
) -> Result<RoutedRequest, Rejection> {
    let received = Instant::now();
    let snapshot = router.control.snapshot();
    let config = &snapshot.config;
    let organisation = authenticate(config, req.headers())?;
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
    let kind = select_kind(config, service, req.headers(), None)?;
    let headers = forwarded_headers(req.headers())?;
    let key = idempotency_key(req.headers())?.map(ToOwned::to_owned);
    let method = req.method().as_str().to_owned();
    let body = read_body(router, req).await?;
    let fingerprint = fingerprint(&organisation.name, &service.name, &method, &target, &body);
    let action = (!service.is_idempotent(&method, &path)).then(|| match &key {
        Some(key) => action_from_key(&organisation.name, &service.name, key),
        None => action_from_content(fingerprint),
    });
    Ok(RoutedRequest {
        request,
        received,
        deadline: received + kind.map_or(DEFAULT_DEADLINE, |kind| kind.deadline),
        service: service.clone(),
        organisation: organisation.name.clone(),
        kind: kind.map_or_else(|| DEFAULT_KIND.to_owned(), |kind| kind.name.clone()),
        // Idempotent calls are spread by their content.
        chat: action.map_or(fingerprint as u64, placement_key),
        work: PLAIN_CALL_WORK,
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

/// Returns the placement key of an action: the shard of the claims record that holds it.
///
/// Repeated requests for an action therefore reach the same agent, and each shard is usually written
/// by one agent only.
fn placement_key(action: ActionKey) -> ChatKey {
    shard_of(action, ClaimSettings::DEFAULT_SHARDS.get() as usize) as ChatKey
}

fn authenticate<'a>(config: &'a Config, map: &HeaderMap) -> Result<&'a Organisation, Rejection> {
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
        let message = format!(
            "the model {:?} is not served by any service",
            truncated(model)
        );
        Rejection::new(StatusCode::NOT_FOUND, "unknown-model", message)
    })
}

fn plain_service<'a>(config: &'a Config, name: &str) -> Result<&'a Service, Rejection> {
    let mut services = config.services.iter();
    let found = services.find(|s| s.name == name && s.protocol == Protocol::Plain);
    found.ok_or_else(|| {
        let message = format!("the service {:?} does not exist", truncated(name));
        Rejection::new(StatusCode::NOT_FOUND, "unknown-service", message)
    })
}

fn select_kind<'a>(
    config: &'a Config,
    service: &Service,
    map: &HeaderMap,
    max_tokens: Option<u64>,
) -> Result<Option<&'a Kind>, Rejection> {
    let requested = text_header(map, headers::KIND)?;
    let kind = config.kind_for(service, requested, max_tokens);
    if let Some(name) = requested
        && kind.is_none()
    {
        let message = format!(
            "service {:?} has no kind of work {:?} (header {:?})",
            service.name,
            truncated(name),
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

/// Rejects a path that URL normalisation would change, such as one with `..`.
///
/// Whether a call is idempotent is decided by the path as sent, so the service must receive the same
/// path.
fn check_path(path: &str) -> Result<(), Rejection> {
    let url = reqwest::Url::parse(&format!("http://service{path}"));
    if url.is_ok_and(|url| url.path() == path) {
        return Ok(());
    }
    let message = format!(
        "the path {:?} is not in its normal form; encode special characters and do not use \
         \"..\" or \".\" as a path segment",
        truncated(path)
    );
    Err(Rejection::new(
        StatusCode::BAD_REQUEST,
        "invalid-path",
        message,
    ))
}

/// Reads the request body, limited in size and time.
async fn read_body(router: &Router, req: &mut Request) -> Result<bytes::Bytes, Rejection> {
    let limit = router.settings.body_limit;
    if content_length(req.headers()) > limit as u64 {
        return Err(body_too_large(limit));
    }
    let timeout = router.settings.caller_timeout;
    match tokio::time::timeout(timeout, req.payload_with_max_size(limit)).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(ParseError::PayloadTooLarge)) => Err(body_too_large(limit)),
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

fn content_length(map: &HeaderMap) -> u64 {
    let length = map
        .get("content-length")
        .and_then(|length| length.to_str().ok());
    length
        .and_then(|length| length.parse().ok())
        .unwrap_or_default()
}

fn body_too_large(limit: usize) -> Rejection {
    let message = format!("the body is larger than the limit of {limit} bytes");
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
