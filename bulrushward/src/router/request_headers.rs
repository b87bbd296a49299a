//! Headers of a caller's request: those forwarded to the backend server and those that the router
//! reads.

use bulrushward_protocol::{Header, headers};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use super::refusal::Rejection;

/// Largest total size of the names and values of a caller's headers in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Headers of the caller that are not forwarded to the backend server.
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

/// Returns the headers to forward to the backend server.
///
/// Headers with the prefix of the fleet are dropped, because only the fleet itself may set them.
///
/// # Errors
///
/// Returns a rejection if the headers are too large or a value is not UTF-8.
pub(super) fn forwarded_headers(map: &HeaderMap) -> Result<Vec<Header>, Rejection> {
    let sizes = map
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > MAX_HEADER_BYTES {
        let message = format!("the headers are larger than the limit of {MAX_HEADER_BYTES} bytes");
        return Err(Rejection::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers-too-large",
            message,
        ));
    }
    let forwarded = map.iter().filter(|(name, _)| {
        let name = name.as_str();
        !name.starts_with(headers::PREFIX) && !DROPPED_HEADERS.contains(&name)
    });
    forwarded
        .map(|(name, value)| to_header(name, value))
        .collect()
}

fn to_header(name: &HeaderName, value: &HeaderValue) -> Result<Header, Rejection> {
    let Ok(value) = str::from_utf8(value.as_bytes()) else {
        return Err(invalid_header(name.as_str(), "is not UTF-8"));
    };
    Ok(Header {
        name: name.as_str().to_owned(),
        value: value.to_owned(),
    })
}

/// Returns a header that the router reads.
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

/// Returns the idempotency key of the request.
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
        let problem = format!("is not 1 to {MAX_KEY_BYTES} printable ASCII characters");
        return Err(invalid_header(headers::IDEMPOTENCY_KEY, &problem));
    }
    text_header(map, headers::IDEMPOTENCY_KEY)
}

fn invalid_header(name: &str, problem: &str) -> Rejection {
    let message = format!("the header {name:?} {problem}");
    Rejection::new(StatusCode::BAD_REQUEST, "invalid-header", message)
}
