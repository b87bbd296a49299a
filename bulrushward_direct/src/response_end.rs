//! The end of a server's response.

use bulrushward_policy::body_end::Framing;
use hyper::{
    Response,
    body::{Body, Incoming},
    header::TRANSFER_ENCODING,
};

/// Last transfer coding of a body that ends with its last chunk.
const CHUNKED: &str = "chunked";

/// Returns how a response marks the end of its body.
pub(crate) fn framing(res: &Response<Incoming>) -> Framing {
    let codings = res.headers().get_all(TRANSFER_ENCODING).iter();
    let last = codings.last().and_then(|value| value.to_str().ok());
    let is_chunked = last
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED));
    Framing::of(res.body().size_hint().exact(), is_chunked)
}
