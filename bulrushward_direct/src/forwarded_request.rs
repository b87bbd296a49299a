//! Requests to servers, and the headers that are not passed on.

use bulrushward_policy::server_attempt::AttemptFailure;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
};

use crate::{
    attempt::AttemptError, ports::ForwardingMetadata, routed_request::RoutedRequest,
    server_selection::ServerChoice, shared::Shared,
};

/// Hop-by-hop headers other than `Connection`, `Transfer-Encoding` and `Content-Length`.
const OTHER_HOP_BY_HOP_HEADERS: [&str; 7] = [
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Builds the request to a server, with the headers that only routers may send.
///
/// # Errors
///
/// Returns [`AttemptFailure::NotSent`] if the caller's target is no valid URI.
pub(crate) fn build(
    shared: &Shared,
    request: &RoutedRequest,
    choice: &ServerChoice,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let mut headers = request.headers.clone();
    let metadata = ForwardingMetadata {
        server_id: &choice.server.id,
        time_left: request.time_left(),
        organisation: request.organisation.as_deref(),
        priority: request.priority,
        last_event_id: last_event_id.or(request.last_event_id.as_deref()),
        copy_from: choice.inputs.copy_from,
    };
    shared
        .conventions
        .write_forwarding_headers(&mut headers, &metadata);
    let mut req = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str())
        .body(Full::new(request.body.clone()))
        .map_err(|error| AttemptError::new(AttemptFailure::NotSent, &error))?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Removes the hop-by-hop headers, including those that the `Connection` header names.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH] {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
