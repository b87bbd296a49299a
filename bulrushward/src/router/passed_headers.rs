//! Headers of a caller: those that are passed on and those that the fleet reads itself.

use bulrushward_protocol::{Header, headers};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::refusal::Rejection;

/// Largest sum of the names and values of a caller's headers in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Longest key for a non-idempotent request in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Headers of the caller that are not for the backend server.
const DROPPED_HEADERS: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Keeps the headers for the backend server; those of the inner protocol are never the caller's.
///
/// # Errors
///
/// Returns a rejection if the headers are too large or a value is not UTF-8.
pub(super) fn passed(map: &HeaderMap) -> Result<Vec<Header>, Rejection> {
    let sizes = map
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        let message = format!("the headers are above the limit of {MAX_HEADER_BYTES} bytes");
        return Err(Rejection::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers-too-large",
            message,
        ));
    }
    let kept = map.iter().filter(|(name, _)| {
        let name = name.as_str();
        !name.starts_with(headers::PREFIX) && !DROPPED_HEADERS.contains(&name)
    });
    kept.map(|(name, value)| header(name, value)).collect()
}

fn header(name: &HeaderName, value: &HeaderValue) -> Result<Header, Rejection> {
    let Ok(value) = str::from_utf8(value.as_bytes()) else {
        return Err(invalid_header(name.as_str(), "is not UTF-8"));
    };
    Ok(Header {
        name: name.as_str().to_owned(),
        value: value.to_owned(),
    })
}

/// Returns a header that the fleet reads itself.
///
/// # Errors
///
/// Returns a rejection if the value is not visible ASCII.
pub(super) fn text_header<'a>(
    map: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = map.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_not_ascii| invalid_header(name, "is not visible ASCII"))
}

/// Returns the caller's key for a non-idempotent request.
///
/// # Errors
///
/// Returns a rejection if there are several keys or the key is empty, too long or not printable.
pub(super) fn idempotency_key(map: &HeaderMap) -> Result<Option<&str>, Rejection> {
    if map.get_all(headers::IDEMPOTENCY_KEY).iter().count() > 1 {
        return Err(invalid_header(
            headers::IDEMPOTENCY_KEY,
            "is sent more than once",
        ));
    }
    let Some(key) = map.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let printable = |byte: &u8| byte.is_ascii_graphic() || *byte == b' ';
    let valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && key.as_bytes().iter().all(printable);
    if !valid {
        let fault = format!("is not 1 to {MAX_KEY_BYTES} printable ASCII characters");
        return Err(invalid_header(headers::IDEMPOTENCY_KEY, &fault));
    }
    text_header(map, headers::IDEMPOTENCY_KEY)
}

fn invalid_header(name: &str, fault: &str) -> Rejection {
    let message = format!("the header {name:?} {fault}");
    Rejection::new(StatusCode::BAD_REQUEST, "invalid-header", message)
}
