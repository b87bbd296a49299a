//! HTTP server of a stand-in and the helpers that its handlers share.

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

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16_000_000;

/// Size of an oversized body, in bytes.
const OVERSIZE_BYTES: usize = 16_000_000;

// gRPC codes of refusals.
const CODE_INVALID_ARGUMENT: i32 = 3;
const CODE_NOT_FOUND: i32 = 5;
const CODE_INTERNAL: i32 = 13;

/// Everything that a stand-in answers.
#[async_trait]
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Answers one request.
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure>;

    /// Returns how answers are damaged at the moment.
    fn answer_fault(&self) -> Option<ResponseFault> {
        None
    }
}

/// Damage to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// The body is not JSON.
    Malformed,
    /// The connection ends in the middle of the body.
    Truncated,
    /// The body is larger than any reader should take.
    Oversized,
}

/// What comes instead of an answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request is not carried out, and the caller is told why.
    Refused(Refusal),
    /// The connection closes without an answer.
    Closed,
}

/// Answer to a request that is not carried out.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// gRPC code.
    pub(crate) code: i32,
    pub(crate) message: String,
}

impl Refusal {
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

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Body of a [`Refusal`], readable as an error of the etcd gateway and of an OpenAI-style engine.
#[derive(Debug, Serialize)]
struct RefusalBody {
    code: i32,
    message: String,
    error: RefusalDetail,
}

#[derive(Debug, Serialize)]
struct RefusalDetail {
    message: String,
}

struct EndpointHandler<E>(E);

#[async_trait]
impl<E: Endpoint> Handler for EndpointHandler<E> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.0.answer(req, res).await {
            Ok(()) => {}
            Err(Failure::Refused(refusal)) => write_refusal(res, refusal),
            Err(Failure::Closed) => {
                if let Some(connection) = req.extensions().get::<ConnCtrl>() {
                    connection.abort();
                }
                return;
            }
        }
        if let Some(fault) = self.0.answer_fault() {
            damage(res, fault);
        }
    }
}

fn write_refusal(res: &mut Response, refusal: Refusal) {
    let error = RefusalDetail {
        message: refusal.message.clone(),
    };
    let body = RefusalBody {
        code: refusal.code,
        message: refusal.message,
        error,
    };
    res.status_code(refusal.status);
    res.render(Json(body));
}

fn damage(res: &mut Response, fault: ResponseFault) {
    let body = match res.take_body() {
        ResBody::Once(body) => body,
        _ => Bytes::new(),
    };
    match fault {
        ResponseFault::Malformed => res.body("{\"header\": nonsense\n"),
        ResponseFault::Oversized => res.body(vec![b' '; OVERSIZE_BYTES]),
        ResponseFault::Truncated => res.body(cut_body(&body)),
    };
}

/// Makes a body that ends with the connection halfway.
pub(crate) fn cut_body(body: &Bytes) -> ResBody {
    let half = body.slice(..body.len() / 2);
    let cut = async {
        // Lets the server send the first half before it closes the connection.
        tokio::task::yield_now().await;
        Err(io::Error::other("the answer is cut"))
    };
    ResBody::stream(stream::iter([Ok(half)]).chain(stream::once(cut)))
}

/// A running HTTP server; dropping it cuts everything.
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

    /// Takes no new requests and waits for those in progress.
    pub(crate) async fn stop(&mut self) {
        self.handle.stop_graceful(None);
        if let Err(error) = (&mut self.task).await {
            tracing::error!(%error, "the HTTP server ended badly");
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a body.
pub(crate) async fn read_body(req: &mut Request) -> Result<&Bytes, Refusal> {
    req.payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| Refusal::bad_request(format!("the body cannot be read: {error}")))
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Refusal> {
    serde_json::from_slice(read_body(req).await?)
        .map_err(|error| Refusal::bad_request(format!("the body is not understood: {error}")))
}

/// Answers with JSON.
pub(crate) fn write_json<T: Serialize>(res: &mut Response, answer: T) -> Result<(), Failure> {
    let body = to_json(&answer)?;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(body);
    Ok(())
}

/// Writes an answer as JSON.
pub(crate) fn to_json<T: Serialize>(answer: &T) -> Result<Bytes, Refusal> {
    let body = serde_json::to_vec(answer)
        .map_err(|error| Refusal::internal(format!("the answer cannot be written: {error}")))?;
    Ok(Bytes::from(body))
}
