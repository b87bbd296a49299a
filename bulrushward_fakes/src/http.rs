//! HTTP server of a stand-in and the helpers that its handlers share.

use std::{io, net::SocketAddr};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait,
    conn::tcp::TcpAcceptor,
    http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
    server::ServerHandle,
    writing::Json,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, task::JoinHandle};

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16_000_000;

/// Everything that a stand-in answers.
#[async_trait]
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Answers one request.
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal>;
}

/// Answer to a request that is not carried out.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) message: String,
}

impl Refusal {
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            message: message.into(),
        }
    }

    pub(crate) fn unknown_path(req: &Request) -> Self {
        let message = format!("{} {} is not served here", req.method(), req.uri().path());
        Self {
            status: StatusCode::NOT_FOUND,
            message,
        }
    }
}

/// Body of a [`Refusal`], readable as an error of the etcd gateway and of an OpenAI-style engine.
#[derive(Debug, Serialize)]
struct RefusalBody {
    /// gRPC code of an invalid argument.
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
        let Err(refusal) = self.0.answer(req, res).await else {
            return;
        };
        let error = RefusalDetail {
            message: refusal.message.clone(),
        };
        let body = RefusalBody {
            code: 3,
            message: refusal.message,
            error,
        };
        res.status_code(refusal.status);
        res.render(Json(body));
    }
}

/// A running HTTP server; dropping it cuts everything.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    pub(crate) async fn start(address: SocketAddr, endpoint: impl Endpoint) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
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

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, Refusal> {
    let body = req
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| Refusal::bad_request(format!("the body cannot be read: {error}")))?;
    serde_json::from_slice(body)
        .map_err(|error| Refusal::bad_request(format!("the body is not understood: {error}")))
}

/// Answers with JSON.
pub(crate) fn write_json<T: Serialize>(res: &mut Response, answer: T) -> Result<(), Refusal> {
    let body = serde_json::to_vec(&answer).map_err(|error| Refusal {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        message: format!("the answer cannot be written: {error}"),
    })?;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.body(body);
    Ok(())
}
