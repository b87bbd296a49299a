//! Fake service: an HTTP server behind a TCP proxy that injects network faults.

use std::{fmt::Debug, io, net::SocketAddr, sync::Arc};

use futures_util::{Stream, StreamExt};
use salvo::{Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    faults::Faults,
    http::{Endpoint, Failure, HttpServer, ResponseFault, read_json, write_json},
    proxy::{Direction, FaultyProxy, NetworkFault},
};

/// Listening addresses of a fake; port 0 picks a free port.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address that the system under test uses; it is subject to network faults.
    pub public: SocketAddr,
    /// Address for setting faults; network faults don't affect it.
    pub admin: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            public: free,
            admin: free,
        }
    }
}

/// Body of `PUT /fault`; an omitted field means no fault of its kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRequest<F: Default> {
    /// Network faults that last until they are replaced.
    pub network: NetworkFault,
    /// Closes the existing connections.
    pub cut: bool,
    /// Permanently stalls the existing connections in these directions.
    pub silence: Vec<Direction>,
    /// Faults of the fake itself.
    pub faults: F,
}

impl<F: Default> Default for FaultRequest<F> {
    fn default() -> Self {
        Self {
            network: NetworkFault::default(),
            cut: false,
            silence: Vec::new(),
            faults: F::default(),
        }
    }
}

/// State of a fake, shared by its request handlers and its [`Fake`] handle.
pub trait FakeState: Debug + Send + Sync + 'static {
    /// Faults of the fake itself.
    type Faults: Clone + Debug + Default + DeserializeOwned + Send + Sync + 'static;

    /// Returns the current faults.
    fn faults(&self) -> &Faults<Self::Faults>;

    /// Ends response streams that would otherwise last until the caller disconnects.
    fn end_streams(&self) {}
}

/// Shutdown signal for response streams that have no end of their own.
#[derive(Debug, Default)]
pub(crate) struct StreamShutdown(watch::Sender<bool>);

impl StreamShutdown {
    pub(crate) fn trigger(&self) {
        self.0.send_replace(true);
    }

    /// Forwards a stream until the shutdown is triggered.
    pub(crate) fn until_shutdown<S: Stream>(
        &self,
        stream: S,
    ) -> impl Stream<Item = S::Item> + use<S> {
        let mut shutdown = self.0.subscribe();
        stream.take_until(async move {
            // A dropped sender means that the fake is gone, which ends the stream too.
            drop(shutdown.wait_for(|triggered| *triggered).await);
        })
    }
}

/// Handle to a running fake; dropping it stops the fake and closes all its connections.
#[derive(Debug)]
pub struct Fake<S: FakeState> {
    server: HttpServer,
    proxy: Arc<FaultyProxy>,
    pub(crate) state: Arc<S>,
}

impl<S: FakeState> Fake<S> {
    /// Starts a fake that also handles `PUT /fault`.
    pub(crate) async fn launch(
        addresses: Addresses,
        state: impl FnOnce(&Arc<FaultyProxy>) -> S,
    ) -> io::Result<Self>
    where
        Arc<S>: Endpoint,
    {
        let listener = TcpListener::bind(addresses.admin).await?;
        let proxy = FaultyProxy::start_at(addresses.public, listener.local_addr()?)?;
        let proxy = Arc::new(proxy);
        let state = Arc::new(state(&proxy));
        let endpoint = FaultEndpoint {
            state: Arc::clone(&state),
            proxy: Arc::clone(&proxy),
        };
        let server = HttpServer::start(listener, endpoint)?;
        Ok(Self {
            server,
            proxy,
            state,
        })
    }

    /// Returns the addresses that the fake listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            public: self.proxy.address(),
            admin: self.server.address(),
        }
    }

    /// Returns the public address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the base URL of the public address.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the faults of the fake itself.
    #[must_use]
    pub fn faults(&self) -> &Faults<S::Faults> {
        self.state.faults()
    }

    /// Returns the proxy in front of the fake, for setting network faults.
    #[must_use]
    pub fn network(&self) -> &FaultyProxy {
        &self.proxy
    }

    /// Stops accepting requests and waits for those in progress to complete.
    ///
    /// Clears the faults and ends watches and event streams, which otherwise never complete.
    pub async fn stop(mut self) {
        self.state.faults().set(S::Faults::default());
        self.state.end_streams();
        self.proxy
            .set_fault(NetworkFault {
                refuse: true,
                ..NetworkFault::default()
            })
            .await;
        self.server.stop().await;
        self.proxy.drain().await;
    }
}

/// Endpoint that handles `PUT /fault` and forwards all other requests to the fake.
struct FaultEndpoint<S> {
    state: Arc<S>,
    proxy: Arc<FaultyProxy>,
}

#[async_trait]
impl<S: FakeState> Endpoint for FaultEndpoint<S>
where
    Arc<S>: Endpoint,
{
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        if req.method() != Method::PUT || req.uri().path() != "/fault" {
            return self.state.respond(req, res).await;
        }
        let request: FaultRequest<S::Faults> = read_json(req).await?;
        self.state.faults().set(request.faults);
        self.proxy.set_fault(request.network).await;
        for direction in request.silence {
            self.proxy.stall(direction);
        }
        if request.cut {
            self.proxy.close_connections();
        }
        write_json(res, "set")
    }

    fn response_fault(&self) -> Option<ResponseFault> {
        self.state.response_fault()
    }
}
