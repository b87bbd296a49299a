//! Stand-in for a plain service whose calls may not be repeated.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
};

use salvo::{Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};

use crate::http::{Endpoint, HttpServer, Refusal, write_json};

/// Largest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16_000_000;

/// What tells one action from another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Action {
    /// Value of the `idempotency-key` header, empty if there is none.
    pub idempotency_key: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
}

/// An action and how often it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// What ran.
    #[serde(flatten)]
    pub action: Action,
    /// Number of times.
    pub count: u64,
}

/// Answer to a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainAnswer {
    /// The action that ran.
    #[serde(flatten)]
    pub action: Action,
    /// Which execution of this action it was, from 1.
    pub execution: u64,
}

/// A running plain service.
#[derive(Debug)]
pub struct FakePlain {
    server: HttpServer,
    executions: Arc<Executions>,
}

impl FakePlain {
    /// Starts the service on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await
    }

    /// Starts the service at an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let executions = Arc::new(Executions::default());
        let endpoint = PlainEndpoint {
            executions: Arc::clone(&executions),
        };
        let server = HttpServer::start(address, endpoint).await?;
        Ok(Self { server, executions })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of the service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns what ran so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.all()
    }

    /// Stops after the calls in progress.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

#[derive(Debug, Default)]
struct Executions(Mutex<BTreeMap<Action, u64>>);

impl Executions {
    fn all(&self) -> Vec<Execution> {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts
            .iter()
            .map(|(action, &count)| Execution {
                action: action.clone(),
                count,
            })
            .collect()
    }

    fn record(&self, action: &Action) -> u64 {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(action.clone()).or_default();
        *count += 1;
        *count
    }
}

#[derive(Debug)]
struct PlainEndpoint {
    executions: Arc<Executions>,
}

#[async_trait]
impl Endpoint for PlainEndpoint {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/executions") => write_json(res, self.executions.all()),
            _ => {
                let action = read_action(req).await?;
                let execution = self.executions.record(&action);
                write_json(res, PlainAnswer { action, execution })
            }
        }
    }
}

async fn read_action(req: &mut Request) -> Result<Action, Refusal> {
    let idempotency_key = req.header::<String>("idempotency-key").unwrap_or_default();
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let body = req
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .map_err(|error| Refusal::bad_request(format!("the body cannot be read: {error}")))?;
    let body = String::from_utf8_lossy(body).into_owned();
    Ok(Action {
        idempotency_key,
        method,
        path,
        body,
    })
}
