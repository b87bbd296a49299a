//! Response bodies that end for their callers only with the connection.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response, Version,
    body::{Body as HttpBody, Frame},
    header::CONTENT_LENGTH,
};

use crate::{
    lingering_stream::CloseHandle,
    local_response::{Body, StreamTruncated},
};

/// A body without chunks and length, which closes its connection in order only if it ends without an error.
struct UnframedBody {
    body: Body,
    /// Handle of the connection; `None` once the body has ended.
    close: Option<CloseHandle>,
}

/// Returns the response to a request of this version, whose connection is reset unless the caller can tell its end or it
/// is sent completely.
pub(crate) fn guard_end(
    response: Response<Body>,
    version: Version,
    close: CloseHandle,
) -> Response<Body> {
    if !is_ended_by_close(&response, version) {
        return response;
    }
    close.require_reset();
    response.map(|body| {
        let close = Some(close);
        UnframedBody { body, close }.boxed_unsync()
    })
}

fn is_ended_by_close(response: &Response<Body>, version: Version) -> bool {
    version < Version::HTTP_11
        && response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(CONTENT_LENGTH)
}

impl HttpBody for UnframedBody {
    type Data = Bytes;
    type Error = StreamTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamTruncated>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            let close = self.close.take();
            if let (None, Some(close)) = (&frame, close) {
                close.allow_close_in_order();
            }
        }
        Poll::Ready(frame)
    }
}
