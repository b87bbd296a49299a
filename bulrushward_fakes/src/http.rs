//! HTTP server of a fake and the helpers that its handlers share.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::{ConnCtrl, tcp::TcpAcceptor},
    http::{HeaderValue, ResBody, StatusCode, header::CONTENT_TYPE},
    server::ServerHandle,
    writing::Json,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, task::JoinHandle};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16_000_000;

/// Size of an oversized response body, in bytes.
const OVERSIZED_BODY_BYTES: usize = 16_000_000;

// gRPC status codes of error responses.
const CODE_INVALID_ARGUMENT: i32 = 3;
const CODE_NOT_FOUND: i32 = 5;
const CODE_INTERNAL: i32 = 13;

/// Request handler of a fake.
#[async_trait]
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Handles one request.
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure>;

    /// Returns the fault that applies to responses at present.
    fn response_fault(&self) -> Option<ResponseFault> {
        None
    }
}

/// Corruption of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// The body is not JSON.
    Malformed,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The body is larger than any client should accept.
    Oversized,
}

/// Outcome of a request that has no regular response.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The caller receives an error response.
    ErrorResponse(ErrorResponse),
    /// The connection closes without a response.
    ConnectionClosed,
}

/// Error response with a status and a message.
#[derive(Debug)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    /// gRPC status code.
    pub(crate) code: i32,
    pub(crate) message: String,
}

impl ErrorResponse {
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        let code = CODE_INVALID_ARGUMENT;
        Self {
            status: StatusCode::BAD_REQUEST,
            code,
            message: message.into(),
        }
    }

    pub(crate) fn internal(message: impl Into<String>) -> Self {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Self {
            status,
            code: CODE_INTERNAL,
            message: message.into(),
        }
    }

    pub(crate) fn unknown_path(req: &Request) -> Self {
        let message = format!("{} {} is not served here", req.method(), req.uri().path());
        Self {
            status: StatusCode::NOT_FOUND,
            code: CODE_NOT_FOUND,
            message,
        }
    }
}

impl From<ErrorResponse> for Failure {
    fn from(response: ErrorResponse) -> Self {
        Self::ErrorResponse(response)
    }
}

/// JSON body of an [`ErrorResponse`], valid for both the etcd gateway and an OpenAI-style API.
#[derive(Debug, Serialize)]
struct ErrorBody {
    code: i32,
    message: String,
    error: ErrorDetail,
}

#[derive(Debug, Serialize)]
struct ErrorDetail {
    message: String,
}

struct EndpointHandler<E>(E);

#[async_trait]
impl<E: Endpoint> Handler for EndpointHandler<E> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.0.respond(req, res).await {
            Ok(()) => {}
            Err(Failure::ErrorResponse(response)) => write_error(res, response),
            Err(Failure::ConnectionClosed) => {
                if let Some(connection) = req.extensions().get::<ConnCtrl>() {
                    connection.abort();
                }
                return;
            }
        }
        if let Some(fault) = self.0.response_fault() {
            corrupt(res, fault);
        }
    }
}

fn write_error(res: &mut Response, response: ErrorResponse) {
    let error = ErrorDetail {
        message: response.message.clone(),
    };
    let body = ErrorBody {
        code: response.code,
        message: response.message,
        error,
    };
    res.status_code(response.status);
    res.render(Json(body));
}

fn corrupt(res: &mut Response, fault: ResponseFault) {
    let body = match res.take_body() {
        ResBody::Once(body) => body,
        _ => Bytes::new(),
    };
    match fault {
        ResponseFault::Malformed => res.body("{\"header\": nonsense\n"),
        ResponseFault::Oversized => res.body(vec![b' '; OVERSIZED_BODY_BYTES]),
        ResponseFault::Truncated => res.body(truncated_body(&body)),
    };
}

/// Builds a body that fails after its first half, which closes the connection.
pub(crate) fn truncated_body(body: &Bytes) -> ResBody {
    let first_half = body.slice(..body.len() / 2);
    let truncation = async {
        // Lets the server send the first half before it closes the connection.
        tokio::task::yield_now().await;
        Err(io::Error::other("the response is truncated by a fault"))
    };
    ResBody::stream(stream::iter([Ok(first_half)]).chain(stream::once(truncation)))
}

/// A running HTTP server; dropping it stops the server.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    pub(crate) fn start(listener: TcpListener, endpoint: impl Endpoint) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Server::new(TcpAcceptor::try_from(listener)?).disable_fuse();
        let handle = server.handle();
        let router = Router::with_path("{**rest}").goal(EndpointHandler(endpoint));
        let task = tokio::spawn(server.serve(router));
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests and waits for those in progress.
    pub(crate) async fn stop(&mut self) {
        self.handle.stop_graceful(None);
        if let Err(error) = (&mut self.task).await {
            tracing::error!(%error, "HTTP server task failed");
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the request body.
pub(crate) async fn read_body(req: &mut Request) -> Result<&Bytes, ErrorResponse> {
    req.payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            ErrorResponse::bad_request(format!("cannot read the request body: {error}"))
        })
}

/// Reads the request body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ErrorResponse> {
    serde_json::from_slice(read_body(req).await?).map_err(|error| {
        ErrorResponse::bad_request(format!("cannot parse the request body: {error}"))
    })
}

/// Writes a JSON response.
pub(crate) fn write_json<T: Serialize>(res: &mut Response, response: T) -> Result<(), Failure> {
    let body = to_json(&response)?;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(body);
    Ok(())
}

/// Serializes a response as JSON.
pub(crate) fn to_json<T: Serialize>(response: &T) -> Result<Bytes, ErrorResponse> {
    let body = serde_json::to_vec(response).map_err(|error| {
        ErrorResponse::internal(format!("cannot serialize the response: {error}"))
    })?;
    Ok(Bytes::from(body))
}
