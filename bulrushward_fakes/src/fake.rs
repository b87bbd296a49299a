//! A stand-in: an HTTP server behind a relay that brings about faults of the network.

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

/// Where a stand-in listens; port 0 takes a free one.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address that the fleet uses; it has the faults of the network.
    pub public: SocketAddr,
    /// Address for those who set faults; it always answers.
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

/// Body of `PUT /fault`: what is left out is as without faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRequest<F: Default> {
    /// Standing faults of the network.
    pub network: NetworkFault,
    /// Closes the existing connections.
    pub cut: bool,
    /// Makes the existing connections silent in these directions for good.
    pub silence: Vec<Direction>,
    /// Faults of the stand-in itself.
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

/// State of a stand-in, shared by those who use it and those who set its faults.
pub trait FakeState: Debug + Send + Sync + 'static {
    /// Faults of the stand-in itself.
    type Faults: Clone + Debug + Default + DeserializeOwned + Send + Sync + 'static;

    /// Returns the current faults.
    fn faults(&self) -> &Faults<Self::Faults>;

    /// Ends the answers that would otherwise last as long as their callers stay.
    fn end_streams(&self) {}
}

/// End of the answers that last as long as their callers stay.
#[derive(Debug, Default)]
pub(crate) struct EndOfStreams(watch::Sender<bool>);

impl EndOfStreams {
    pub(crate) fn end(&self) {
        self.0.send_replace(true);
    }

    /// Passes on a stream until the end of all.
    pub(crate) fn until_end<S: Stream>(&self, stream: S) -> impl Stream<Item = S::Item> + use<S> {
        let mut end = self.0.subscribe();
        stream.take_until(async move {
            // The stand-in is gone if its sender is.
            drop(end.wait_for(|end| *end).await);
        })
    }
}

/// A stand-in that runs; dropping it cuts everything.
#[derive(Debug)]
pub struct Fake<S: FakeState> {
    server: HttpServer,
    proxy: Arc<FaultyProxy>,
    pub(crate) state: Arc<S>,
}

impl<S: FakeState> Fake<S> {
    /// Starts a stand-in whose faults are set by `PUT /fault`.
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

    /// Returns the addresses that the stand-in listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        Addresses {
            public: self.proxy.address(),
            admin: self.server.address(),
        }
    }

    /// Returns the address that the fleet uses.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the base URL that the fleet uses.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the faults of the stand-in itself.
    #[must_use]
    pub fn faults(&self) -> &Faults<S::Faults> {
        self.state.faults()
    }

    /// Returns the network before the stand-in, and its faults.
    #[must_use]
    pub fn network(&self) -> &FaultyProxy {
        &self.proxy
    }

    /// Takes no new requests and returns when those in progress have ended.
    ///
    /// Faults end, and so do watches and streams of events, which have no end of their own.
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

/// Sets faults and passes everything else on.
struct FaultEndpoint<S> {
    state: Arc<S>,
    proxy: Arc<FaultyProxy>,
}

#[async_trait]
impl<S: FakeState> Endpoint for FaultEndpoint<S>
where
    Arc<S>: Endpoint,
{
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        if req.method() != Method::PUT || req.uri().path() != "/fault" {
            return self.state.answer(req, res).await;
        }
        let order: FaultRequest<S::Faults> = read_json(req).await?;
        self.state.faults().set(order.faults);
        self.proxy.set_fault(order.network).await;
        for direction in order.silence {
            self.proxy.stall(direction);
        }
        if order.cut {
            self.proxy.close_connections();
        }
        write_json(res, "set")
    }

    fn answer_fault(&self) -> Option<ResponseFault> {
        self.state.answer_fault()
    }
}
