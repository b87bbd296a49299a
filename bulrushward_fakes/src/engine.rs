//! Stand-in for a model engine.

mod chat;
mod settings;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use salvo::{Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};

use self::chat::ChatRequest;
pub use self::{chat::answer_tokens, settings::EngineSettings};
use crate::http::{Endpoint, HttpServer, Refusal, read_json, write_json};

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that produce tokens.
    pub running: usize,
    /// Requests that wait for a place in the batch.
    pub waiting: usize,
}

/// A running engine.
#[derive(Debug)]
pub struct FakeEngine {
    server: HttpServer,
}

impl FakeEngine {
    /// Starts an engine on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), settings).await
    }

    /// Starts an engine at an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let state = Arc::new(EngineState {
            settings,
            running: AtomicUsize::new(0),
        });
        let server = HttpServer::start(address, EngineEndpoint(state)).await?;
        Ok(Self { server })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of the engine.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Stops after the requests in progress.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

#[derive(Debug)]
struct EngineState {
    settings: EngineSettings,
    running: AtomicUsize,
}

struct EngineEndpoint(Arc<EngineState>);

#[async_trait]
impl Endpoint for EngineEndpoint {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/load") => {
                let running = self.0.running.load(Ordering::Relaxed);
                write_json(
                    res,
                    EngineLoad {
                        running,
                        waiting: 0,
                    },
                )
            }
            (&Method::POST, "/v1/chat/completions") => {
                let request: ChatRequest = read_json(req).await?;
                chat::answer(Arc::clone(&self.0), request, res).await
            }
            _ => Err(Refusal::unknown_path(req)),
        }
    }
}
