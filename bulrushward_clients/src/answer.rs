//! Bounded reading of answers.

use std::time::Duration;

use bulrushward_net::with_causes;
use bytes::{Bytes, BytesMut};
use reqwest::{Client, Response};
use snafu::{ResultExt, Snafu};

/// An answer that could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum AnswerError {
    #[snafu(display("the connection failed: {}", with_causes(source)))]
    Broken { source: reqwest::Error },
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge { limit: usize },
}

/// Builds a client that connects within a time and heeds no proxy settings.
///
/// # Panics
///
/// Panics if the client cannot be built, which only a fault in this package can cause.
pub(crate) fn http_client(connect_timeout: Duration) -> Client {
    Client::builder()
        .connect_timeout(connect_timeout)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("a client without special settings can be built")
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(mut answer: Response, limit: usize) -> Result<Bytes, AnswerError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.chunk().await.context(BrokenSnafu)? {
        if body.len() + chunk.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
