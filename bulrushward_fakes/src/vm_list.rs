//! Stand-in for the platform's VM list.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bulrushward_platform::TargetGroup;
use salvo::{
    Request, Response, async_trait,
    http::{Method, StatusCode},
};

use crate::http::{Endpoint, HttpServer, Refusal, read_json, write_json};

/// A running VM list.
#[derive(Debug)]
pub struct FakeVmList {
    server: HttpServer,
    source: Arc<Mutex<Source>>,
}

/// Where the list comes from.
#[derive(Clone, Debug)]
enum Source {
    /// Read anew for every call.
    File(PathBuf),
    /// Set while running.
    Memory(Vec<TargetGroup>),
}

impl FakeVmList {
    /// Starts an empty list on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), None).await
    }

    /// Starts a list at an address, port 0 for a free one; a file is read anew for every call.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(address: SocketAddr, file: Option<PathBuf>) -> io::Result<Self> {
        let source = file.map_or_else(|| Source::Memory(Vec::new()), Source::File);
        let source = Arc::new(Mutex::new(source));
        let endpoint = VmListEndpoint {
            source: Arc::clone(&source),
        };
        let server = HttpServer::start(address, endpoint).await?;
        Ok(Self { server, source })
    }

    /// Returns the address that the list is served on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the URL for [`bulrushward_platform::HttpVmList`].
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}/list", self.address())
    }

    /// Replaces the list.
    pub fn set(&self, groups: Vec<TargetGroup>) {
        *lock(&self.source) = Source::Memory(groups);
    }

    /// Stops after the calls in progress.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

#[derive(Debug)]
struct VmListEndpoint {
    source: Arc<Mutex<Source>>,
}

#[async_trait]
impl Endpoint for VmListEndpoint {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/list") => write_json(res, self.read().await?),
            (&Method::PUT, "/list") => {
                let groups: Vec<TargetGroup> = read_json(req).await?;
                *lock(&self.source) = Source::Memory(groups);
                Ok(())
            }
            _ => Err(Refusal::unknown_path(req)),
        }
    }
}

impl VmListEndpoint {
    async fn read(&self) -> Result<Vec<TargetGroup>, Refusal> {
        let source = lock(&self.source).clone();
        let path = match source {
            Source::Memory(groups) => return Ok(groups),
            Source::File(path) => path,
        };
        let refusal = |detail: String| Refusal {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            message: format!("list file {}: {detail}", path.display()),
        };
        let text = tokio::fs::read(&path)
            .await
            .map_err(|error| refusal(error.to_string()))?;
        serde_json::from_slice(&text).map_err(|error| refusal(error.to_string()))
    }
}

fn lock(source: &Mutex<Source>) -> MutexGuard<'_, Source> {
    source.lock().unwrap_or_else(PoisonError::into_inner)
}
