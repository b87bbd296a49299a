//! Fake of a model engine.

mod batch;
mod cache;
mod cache_events;
mod chat;
mod generation;
mod load;
mod orders;
mod settings;

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use salvo::{Request, Response, async_trait, http::Method};

use self::{
    batch::Batch, cache::PrefixCache, cache_events::CacheEvents, chat::ChatRequest,
    load::LoadHistory, orders::Orders,
};
pub use self::{
    cache_events::CacheEvent,
    chat::{ChatMessage, completion_tokens, render_prompt},
    load::EngineLoad,
    orders::{EngineOrder, EngineRole, OrderRequest, OrdersState},
    settings::{EngineFaults, EngineSettings},
};
use crate::{
    crash::SimulatedProcess,
    fake::{Addresses, Fake, FakeState, StreamShutdown},
    faults::Faults,
    http::{Endpoint, ErrorResponse, Failure, read_json, write_json},
};

/// A running engine.
pub type FakeEngine = Fake<EngineState>;

/// State of an engine.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    faults: Faults<EngineFaults>,
    process: SimulatedProcess,
    batch: Batch,
    load: Arc<LoadHistory>,
    cache: Mutex<PrefixCache>,
    cache_events: CacheEvents,
    orders: Orders,
    event_stream_shutdown: StreamShutdown,
}

impl FakeEngine {
    /// Starts an engine on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start(settings: EngineSettings) -> io::Result<Self> {
        Self::start_at(Addresses::default(), settings).await
    }

    /// Starts an engine at the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses, settings: EngineSettings) -> io::Result<Self> {
        Self::launch(addresses, |network| {
            let load = Arc::new(LoadHistory::new(settings.load_lag));
            EngineState {
                faults: Faults::default(),
                process: SimulatedProcess::new(settings.on_crash, network),
                batch: Batch::new(settings.batch_size, Arc::clone(&load)),
                load,
                cache: Mutex::new(PrefixCache::new(
                    settings.block_tokens,
                    settings.cache_blocks,
                )),
                cache_events: CacheEvents::new(
                    settings.cache_event_delay,
                    settings.cache_event_gap,
                ),
                orders: Orders::new(settings.checks_fencing),
                event_stream_shutdown: StreamShutdown::default(),
                settings,
            }
        })
        .await
    }

    /// Returns the current load, without the reporting delay.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        self.state.load.current()
    }

    /// Returns the state that results from the orders executed so far.
    #[must_use]
    pub fn orders(&self) -> OrdersState {
        self.state.orders.state()
    }

    /// Returns the number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.process.crashes()
    }

    /// Restarts the engine after a crash, with an empty cache and its initial order state.
    pub async fn restart(&self) {
        let removed = self.state.cache().clear();
        self.state.cache_events.publish(Vec::new(), removed);
        self.state.orders.clear();
        self.network().restore().await;
    }
}

impl FakeState for EngineState {
    type Faults = EngineFaults;

    fn faults(&self) -> &Faults<EngineFaults> {
        &self.faults
    }

    fn end_streams(&self) {
        self.event_stream_shutdown.trigger();
    }
}

impl EngineState {
    fn cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once the engine is not frozen.
    async fn wait_while_frozen(&self) {
        self.faults.wait_for(|faults| !faults.freeze).await;
    }
}

#[async_trait]
impl Endpoint for Arc<EngineState> {
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        self.wait_while_frozen().await;
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/load") => write_json(res, self.load.reported()),
            (&Method::GET, "/cache-events") => {
                res.stream(
                    self.event_stream_shutdown
                        .until_shutdown(self.cache_events.stream()),
                );
                chat::set_event_stream_type(res);
                Ok(())
            }
            (&Method::GET, "/orders") => write_json(res, self.orders.state()),
            (&Method::POST, "/orders") => {
                let request: OrderRequest = read_json(req).await?;
                write_json(res, self.orders.execute(request)?)
            }
            (&Method::POST, "/v1/chat/completions") => {
                let request: ChatRequest = read_json(req).await?;
                chat::respond(Self::clone(self), request, res).await
            }
            _ => Err(ErrorResponse::unknown_path(req).into()),
        }
    }
}
