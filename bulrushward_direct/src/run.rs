//! Starts a direct router, waits for the stop signal and shuts the router down gracefully.

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use tracing::{error, info, warn};

use crate::{
    fleet_state::FleetState,
    gossip::{FLEET_STATE_PATH, Gossip},
    listener::{self, plain_response},
    places,
    ports::RouterDependencies,
    saved_sessions,
    settings::DirectSettings,
    shared::Shared,
    stall_watch, store_probe, store_watch,
    supervision::supervise,
};

/// Pause before an address that could not be bound is tried again.
const REBIND_PAUSE: Duration = Duration::from_secs(1);
/// Interval at which the settings file is checked, as it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reason why a direct router could not start.
#[derive(Debug, Snafu)]
pub enum DirectError {
    /// A runtime or thread could not be started.
    #[snafu(display("failed to start a runtime or thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A listener could not be bound.
    #[snafu(display("failed to bind the {listener} listener to {address}: {source}"))]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs a direct router until the process receives SIGTERM.
///
/// # Errors
///
/// Returns [`DirectError`] if the router cannot start.
pub fn run(
    settings: DirectSettings,
    settings_path: &Path,
    dependencies: RouterDependencies,
) -> Result<(), DirectError> {
    let traffic = single_thread()?;
    let stop = CancellationToken::new();
    let mut terminate = {
        let _entered = traffic.enter();
        signal(SignalKind::terminate()).context(ThreadSnafu)?
    };
    let terminated = stop.clone();
    traffic.spawn(async move {
        terminate.recv().await;
        terminated.cancel();
    });
    run_on(&traffic, settings, settings_path, dependencies, stop)
}

/// Runs a direct router until `stop` is cancelled.
///
/// # Errors
///
/// Returns [`DirectError`] if the router cannot start.
pub fn run_until(
    settings: DirectSettings,
    settings_path: &Path,
    dependencies: RouterDependencies,
    stop: CancellationToken,
) -> Result<(), DirectError> {
    run_on(
        &single_thread()?,
        settings,
        settings_path,
        dependencies,
        stop,
    )
}

fn run_on(
    traffic: &Runtime,
    settings: DirectSettings,
    settings_path: &Path,
    dependencies: RouterDependencies,
    stop: CancellationToken,
) -> Result<(), DirectError> {
    let shared = Shared::new(settings, dependencies);
    let control = single_thread()?;
    let control_shared = Arc::clone(&shared);
    let traffic_ended = CancellationToken::new();
    let control_stop = traffic_ended.clone();
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            control.block_on(control_stop.run_until_cancelled(run_control(control_shared)));
        })
        .context(ThreadSnafu)?;
    let path = settings_path.to_owned();
    let result = traffic.block_on(run_traffic(shared, path, stop));
    traffic_ended.cancel();
    if control.join().is_err() {
        error!(event = "control-thread-panicked");
    }
    result
}

fn single_thread() -> Result<Runtime, DirectError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu)
}

/// Runs the control thread: store watches and probes, gossip, the fleet state listener and saved sessions.
async fn run_control(shared: Arc<Shared>) {
    let fleet_state = FleetState::new(&shared);
    spawn(
        "config-watch",
        &shared,
        &fleet_state,
        store_watch::watch_config,
    );
    spawn(
        "servers-watch",
        &shared,
        &fleet_state,
        store_watch::watch_servers,
    );
    spawn("knowledge", &shared, &fleet_state, serve_fleet_state);
    spawn("saved-sessions", &shared, &fleet_state, saved_sessions::run);
    spawn("store-probe", &shared, &fleet_state, |shared, _| {
        store_probe::run(shared)
    });
    supervise("peers", &shared, || async {
        loop {
            match Gossip::bind(Arc::clone(&shared), Arc::clone(&fleet_state)).await {
                Ok(gossip) => gossip.run().await,
                Err(error) => error!(event = "peers-failed", %error),
            }
            sleep(REBIND_PAUSE).await;
        }
    })
    .await;
}

/// Spawns a supervised task of the control thread.
fn spawn<F>(
    task: &'static str,
    shared: &Arc<Shared>,
    fleet_state: &Arc<FleetState>,
    start: impl Fn(Arc<Shared>, Arc<FleetState>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let (shared, fleet_state) = (Arc::clone(shared), Arc::clone(fleet_state));
    tokio::spawn(async move {
        let start = || start(Arc::clone(&shared), Arc::clone(&fleet_state));
        supervise(task, &shared, start).await;
    });
}

/// Serves snapshots of the fleet state to peers.
async fn serve_fleet_state(shared: Arc<Shared>, fleet_state: Arc<FleetState>) {
    let listener = loop {
        match bulrushward_net::listen(shared.settings().knowledge_address) {
            Ok(listener) => break listener,
            Err(error) => error!(event = "knowledge-listener-failed", %error),
        }
        sleep(REBIND_PAUSE).await;
    };
    let respond = move |path: String| {
        let known_config = path
            .strip_prefix(FLEET_STATE_PATH)
            .map(|version| version.parse().ok());
        let encoded = known_config
            .map(|known_config| postcard::to_stdvec(&fleet_state.snapshot(known_config)));
        async move {
            match encoded {
                Some(Ok(bytes)) => {
                    plain_response(StatusCode::OK, "application/octet-stream", bytes.into())
                }
                Some(Err(error)) => {
                    warn!(event = "knowledge-failed", %error);
                    plain_response(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "text/plain",
                        Bytes::new(),
                    )
                }
                None => plain_response(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
            }
        }
    };
    listener::serve_internal(&listener, CancellationToken::new(), respond).await;
}

async fn run_traffic(
    shared: Arc<Shared>,
    settings_path: PathBuf,
    stop: CancellationToken,
) -> Result<(), DirectError> {
    // Without this, a signal that arrives while the watch starts anew would end the process.
    let _hangup = signal(SignalKind::hangup()).context(ThreadSnafu)?;
    let callers = bind("callers", shared.settings().callers_address)?;
    let readiness = bind("readiness", shared.settings().readiness_address)?;
    let metrics = bind("metrics", shared.settings().metrics_address())?;
    let (drain, close) = (CancellationToken::new(), CancellationToken::new());
    spawn_places(&shared).await?;
    let own = Arc::clone(&shared);
    let own_close = close.clone();
    tokio::spawn(async move {
        let (shared, close) = (own, own_close);
        tokio::join!(
            supervise("readiness", &shared, || serve_readiness(
                &shared, &readiness, &close
            )),
            supervise("metrics", &shared, || serve_metrics(
                &shared, &metrics, &close
            )),
            supervise("settings-watch", &shared, || watch_settings(
                &shared,
                &settings_path
            )),
            supervise("stall-watch", &shared, || stall_watch::run(Arc::clone(
                &shared
            ))),
        );
    });
    let mut serving = tokio::spawn(listener::serve_callers(
        Arc::clone(&shared),
        callers,
        drain.clone(),
        close.clone(),
    ));
    info!(
        event = "started",
        node = shared.settings().node,
        failure_domain = shared.settings().failure_domain,
        listen = %shared.settings().callers_address,
        version = env!("CARGO_PKG_VERSION"),
    );
    stop.cancelled().await;
    let stop_requested = Instant::now();
    info!(
        event = "stopping",
        node = shared.settings().node,
        in_progress = shared.metrics.in_progress(),
    );
    shared.stop.begin(shared.settings().stop_grace);
    drain.cancel();
    shared.stop.refusing().await;
    close.cancel();
    let is_complete = tokio::select! {
        _ended = &mut serving => true,
        () = shared.stop.ending() => false,
    };
    let in_progress = shared.metrics.in_progress();
    if !is_complete {
        write_answers(&shared, serving).await;
    }
    info!(
        event = "stopped",
        node = shared.settings().node,
        complete = is_complete,
        in_progress,
        cut = shared.metrics.in_progress(),
        ms = stop_requested.elapsed().as_millis() as u64,
    );
    Ok(())
}

/// Waits until the last answers are written and the connections are closed, or until the process ends.
async fn write_answers(shared: &Shared, serving: JoinHandle<()>) {
    tokio::select! {
        _ended = serving => {}
        () = shared.stop.exit() => {}
    }
}

fn bind(listener: &'static str, address: SocketAddr) -> Result<TcpListener, DirectError> {
    bulrushward_net::listen(address).context(ListenSnafu { listener, address })
}

/// Starts the exchange of messages about lent places, if the settings name a port for them.
async fn spawn_places(shared: &Arc<Shared>) -> Result<(), DirectError> {
    let Some(address) = shared.settings().places_address() else {
        return Ok(());
    };
    let socket = UdpSocket::bind(address).await.context(ListenSnafu {
        listener: "places",
        address,
    })?;
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        supervise("places", &shared, || places::run(&shared, &socket)).await;
    });
    Ok(())
}

async fn serve_readiness(shared: &Arc<Shared>, listener: &TcpListener, close: &CancellationToken) {
    let shared = Arc::clone(shared);
    let respond = move |path: String| {
        let status = if path != shared.conventions.readiness_path() {
            StatusCode::NOT_FOUND
        } else if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { plain_response(status, "text/plain", Bytes::new()) }
    };
    listener::serve_internal(listener, close.clone(), respond).await;
}

async fn serve_metrics(shared: &Arc<Shared>, listener: &TcpListener, close: &CancellationToken) {
    let shared = Arc::clone(shared);
    let respond = move |path: String| {
        let text = (path == "/metrics").then(|| shared.metrics.render(&shared.gauge_snapshot()));
        async move {
            match text {
                Some(text) => plain_response(
                    StatusCode::OK,
                    "application/openmetrics-text; version=1.0.0; charset=utf-8",
                    text.into(),
                ),
                None => plain_response(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
            }
        }
    };
    listener::serve_internal(listener, close.clone(), respond).await;
}

/// Applies changed settings, on SIGHUP or when the file is next checked.
///
/// Changed addresses take effect only after a restart, and so does whether orders are followed.
async fn watch_settings(shared: &Shared, path: &Path) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            error!(event = "settings-watch-failed", %error);
            return;
        }
    };
    loop {
        tokio::select! {
            _signal = hangup.recv() => info!(event = "reload-asked"),
            () = sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        let current = shared.settings();
        match DirectSettings::read(path) {
            Ok(settings) if settings == *current => {}
            Ok(settings) => {
                let is_restart_needed = !settings.has_fixed_settings_of(&current);
                info!(event = "settings-changed", path = %path.display(), needs_restart = is_restart_needed);
                shared.set_settings(settings);
            }
            Err(error) => warn!(event = "settings-refused", %error),
        }
    }
}
