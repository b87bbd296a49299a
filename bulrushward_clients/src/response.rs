//! HTTP client construction and size-limited reading of response bodies.

use std::time::Duration;

use bulrushward_net::with_causes;
use bytes::{Bytes, BytesMut};
use reqwest::{Client, Response};
use snafu::{ResultExt, Snafu};

/// A response body that could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ResponseError {
    #[snafu(display("the connection failed: {}", with_causes(source)))]
    Broken { source: reqwest::Error },
    #[snafu(display("the response is larger than {limit} bytes"))]
    TooLarge { limit: usize },
}

/// Builds a client that has a connect timeout and ignores proxy settings.
///
/// # Panics
///
/// Panics if the client cannot be built, which only a bug in this package can cause.
pub(crate) fn http_client(connect_timeout: Duration) -> Client {
    Client::builder()
        .connect_timeout(connect_timeout)
        .no_proxy()
        .tcp_nodelay(true)
        .build()
        .expect("a client with these settings can be built")
}

/// Reads a complete body of at most `limit` bytes.
pub(crate) async fn read_body(
    mut response: Response,
    limit: usize,
) -> Result<Bytes, ResponseError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.context(BrokenSnafu)? {
        if body.len() + chunk.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
