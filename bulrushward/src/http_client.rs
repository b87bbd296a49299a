//! HTTP client inside the fleet, whose connections are reset when they close.
//!
//! A request that is given up drops its connection. The reset discards what was not delivered, so that an agent or a
//! backend server does not receive the request later.

use std::{
    error::Error,
    io, iter,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bulrushward_net::with_causes;
use bulrushward_policy::body_end::Framing;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header::TRANSFER_ENCODING,
};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use snafu::{IntoError, ResultExt, Snafu};
use tokio::net::TcpStream;
use tower_service::Service;

/// Connect timeout inside the fleet: to agents and backend servers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

type BoxError = Box<dyn Error + Send + Sync>;

/// Error of a request.
#[derive(Debug, Snafu)]
pub(crate) enum HttpError {
    /// No connection could be made, so that nothing was sent.
    #[snafu(display("{}", with_causes(source)))]
    Connect { source: legacy::Error },
    /// The connection failed later.
    #[snafu(display("{}", with_causes(source)))]
    Send { source: legacy::Error },
    /// The body of the response ended early.
    #[snafu(display("{}", with_causes(source)))]
    Body { source: hyper::Error },
}

impl HttpError {
    /// Returns whether no connection was made, and for another reason than a timeout.
    pub(crate) fn is_refused(&self) -> bool {
        let Self::Connect { source } = self else {
            return false;
        };
        let causes = iter::successors(Some(source as &(dyn Error + 'static)), |error| {
            (*error).source()
        });
        let mut causes = causes.filter_map(|error| error.downcast_ref::<io::Error>());
        !causes.any(|error| error.kind() == io::ErrorKind::TimedOut)
    }
}

/// A client for requests inside the fleet.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: legacy::Client<ResettingConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that pools connections.
    pub(crate) fn pooled() -> Self {
        Self::new(usize::MAX)
    }

    /// Creates a client that opens a new connection for each request.
    ///
    /// Used for health probes, and after a pooled connection became unresponsive.
    pub(crate) fn unpooled() -> Self {
        Self::new(0)
    }

    fn new(idle_connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_connections)
            .build(ResettingConnector(connector));
        Self { client }
    }

    /// Sends a request and returns the head of its response.
    pub(crate) async fn send(&self, req: Request<Full<Bytes>>) -> Result<HttpResponse, HttpError> {
        let sent = self.client.request(req).await;
        let response = sent.map_err(|error| {
            if error.is_connect() {
                ConnectSnafu.into_error(error)
            } else {
                SendSnafu.into_error(error)
            }
        })?;
        Ok(HttpResponse(response))
    }
}

/// A response whose body is not read yet.
#[derive(Debug)]
pub(crate) struct HttpResponse(Response<Incoming>);

impl HttpResponse {
    pub(crate) fn status(&self) -> StatusCode {
        self.0.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.0.headers()
    }

    /// Returns how the body shows where it ends; valid until its first part is read.
    pub(crate) fn framing(&self) -> Framing {
        let codings = self.headers().get_all(TRANSFER_ENCODING).iter().next_back();
        let codings = codings.and_then(|codings| codings.to_str().ok());
        let last = codings.and_then(|codings| codings.rsplit(',').next());
        let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
        Framing::of(self.0.body().size_hint().exact(), is_chunked)
    }

    /// Returns the next part of the body, or `None` at its end.
    ///
    /// The end of a body that has neither a length nor chunks is the close of its connection, which says nothing of whether it
    /// is complete.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        while let Some(frame) = self.0.frame().await {
            if let Ok(data) = frame.context(BodySnafu)?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Returns the complete body.
    pub(crate) async fn bytes(mut self) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Opens connections that are reset when they close.
#[derive(Clone, Debug)]
struct ResettingConnector(HttpConnector);

impl Service<Uri> for ResettingConnector {
    type Response = TokioIo<TcpStream>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.0.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            stream.inner().set_zero_linger()?;
            Ok(stream)
        })
    }
}
