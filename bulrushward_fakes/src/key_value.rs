//! Stand-in for the platform's key-value service.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bulrushward_platform::gateway::{
    RangeRequest, TxnRequest, WatchCreateRequest, WatchLine, WatchRequest, WatchResult,
};
use bytes::Bytes;
use salvo::{Request, Response, async_trait, http::Method};
use tokio::sync::watch;

use crate::{
    http::{Endpoint, HttpServer, Refusal, read_json, write_json},
    store::Store,
};

/// A running key-value service.
#[derive(Debug)]
pub struct FakeKeyValue {
    server: HttpServer,
}

impl FakeKeyValue {
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
        let server = HttpServer::start(address, KeyValueEndpoint::default()).await?;
        Ok(Self { server })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the URL for [`bulrushward_platform::EtcdKeyValue`].
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Stops the service after the calls in progress.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}

#[derive(Debug)]
struct KeyValueEndpoint {
    store: Arc<Mutex<Store>>,
    /// Announces every new revision.
    revision: watch::Sender<i64>,
}

impl Default for KeyValueEndpoint {
    fn default() -> Self {
        Self {
            store: Arc::default(),
            revision: watch::Sender::new(0),
        }
    }
}

#[async_trait]
impl Endpoint for KeyValueEndpoint {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::POST, "/v3/kv/range") => {
                let request: RangeRequest = read_json(req).await?;
                let answer = self.store().range(&request.key);
                write_json(res, answer)
            }
            (&Method::POST, "/v3/kv/txn") => {
                let request: TxnRequest = read_json(req).await?;
                let answer = self.store().txn(&request);
                self.revision.send_replace(answer.header.revision);
                write_json(res, answer)
            }
            (&Method::POST, "/v3/watch") => {
                let request: WatchRequest = read_json(req).await?;
                self.watch(request.create_request, res);
                Ok(())
            }
            _ => Err(Refusal::unknown_path(req)),
        }
    }
}

impl KeyValueEndpoint {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Streams the changes of a key until the caller goes.
    fn watch(&self, request: WatchCreateRequest, res: &mut Response) {
        let mut tx = res.channel();
        let store = Arc::clone(&self.store);
        let mut revision = self.revision.subscribe();
        let mut next = match request.start_revision {
            0 => self.store().revision() + 1,
            start => start,
        };
        tokio::spawn(async move {
            let mut created = true;
            loop {
                revision.borrow_and_update();
                let result = {
                    let store = store.lock().unwrap_or_else(PoisonError::into_inner);
                    watch_result(&store, &request.key, next, created)
                };
                next = next.max(result.header.revision + 1);
                let news = result.created || result.canceled || !result.events.is_empty();
                let canceled = result.canceled;
                if news && tx.send_data(line(result)).await.is_err() {
                    return;
                }
                created = false;
                if canceled || revision.changed().await.is_err() {
                    return;
                }
            }
        });
    }
}

fn watch_result(store: &Store, key: &Bytes, from: i64, created: bool) -> WatchResult {
    let header = store.header();
    match store.changes(key, from) {
        Ok(events) => WatchResult {
            header,
            created,
            events,
            ..WatchResult::default()
        },
        Err(compact_revision) => WatchResult {
            header,
            created,
            canceled: true,
            compact_revision,
            events: Vec::new(),
        },
    }
}

fn line(result: WatchResult) -> Bytes {
    let mut line = serde_json::to_vec(&WatchLine::Result(result)).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
