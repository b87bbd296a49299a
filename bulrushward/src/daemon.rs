//! Runs a router or an agent from startup to a graceful stop.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushward_claims::{ClaimSettings, ClaimStore};
use bulrushward_clients::{EtcdKeyValue, HttpVmList, KeyValue};
use bulrushward_protocol::{MemberRecord, MemberState, Outcome, Role, admin::ErrorResponse};
use bulrushward_revisions::RevisionStore;
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router as Routes, async_trait, http::StatusCode,
    writing::Json,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    agent::Agent,
    claim_limits,
    cli::Command,
    control::{self, Control, ControlThread},
    error::DaemonError,
    failpoint, http,
    metrics::Metrics,
    router::Router,
    settings::{AgentSettings, CommonSettings, RouterSettings},
};

/// Longest time that a graceful stop waits until pending claims are written.
const CLAIM_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit code after a second signal, which ends the process without waiting for its requests.
const FORCED_STOP_EXIT_CODE: i32 = 1;

/// Runs the daemon until a signal stops it.
///
/// # Errors
///
/// Returns [`DaemonError`] if the process cannot start.
pub async fn run(command: Command) -> Result<(), DaemonError> {
    let _fail_points = failpoint::start();
    let stop = CancellationToken::new();
    stop_on_signal(&stop)?;
    match command {
        Command::Router(settings, _) => run_router(*settings, stop).await,
        Command::Agent(settings, _) => run_agent(*settings, stop).await,
    }
}

/// Runs a router until `stop` is cancelled and its last request has ended.
///
/// # Errors
///
/// Returns [`DaemonError`] if the router cannot start.
pub async fn run_router(
    settings: RouterSettings,
    stop: CancellationToken,
) -> Result<(), DaemonError> {
    let mut metrics = Metrics::new();
    let common = settings.common.clone();
    let platform = PlatformClients::new(&common);
    let identity = identity(&common, Role::Router);
    let (control, thread) = platform.start_control(&common, identity, &mut metrics)?;
    let router_metrics = metrics.router();
    let listen = settings.listen;
    let caller_timeout = settings.caller_timeout;
    let store = Arc::clone(&platform.store);
    let router = Router::new(settings, Arc::clone(&control), store, router_metrics);
    router.start();
    let admin = admin_routes(&control, metrics)
        .push(router.admin_routes())
        .push(unknown_route());
    let admin = http::listen("admin", common.admin_address, admin)?;
    let callers = http::listen_to_callers(listen, router.routes(), caller_timeout)?;
    info!(event = "started", role = "router", node = common.node, listen = %callers.address);
    stop.cancelled().await;
    control.leave();
    info!(event = "stopping", node = common.node);
    // The platform's load balancer must see the failing readiness check before the listener closes.
    tokio::time::sleep(common.drain_grace).await;
    callers.handle.stop_graceful(None);
    // A panic of the listener is already logged.
    let _panicked = callers.task.await;
    shut_down(&common, admin, thread).await;
    Ok(())
}

/// Runs an agent until `stop` is cancelled and its last attempt has ended.
///
/// # Errors
///
/// Returns [`DaemonError`] if the agent cannot start.
pub async fn run_agent(
    settings: AgentSettings,
    stop: CancellationToken,
) -> Result<(), DaemonError> {
    let mut metrics = Metrics::new();
    let common = settings.common.clone();
    let platform = PlatformClients::new(&common);
    let mut identity = identity(&common, Role::Agent);
    identity.data_address = settings.advertised_address;
    identity.service = Some(settings.service.clone());
    identity.backend = Some(settings.backend.clone());
    let (control, thread) = platform.start_control(&common, identity, &mut metrics)?;
    let agent_metrics = metrics.agent();
    let inner_address = settings.inner_address;
    let claims = ClaimStore::start(platform.kv, ClaimSettings::new(settings.service.clone()));
    tokio::spawn(claim_limits::keep_updated(
        Arc::clone(&claims),
        Arc::clone(&control),
    ));
    let agent = Agent::new(
        settings,
        Arc::clone(&control),
        Arc::clone(&claims) as _,
        agent_metrics,
    );
    agent.start();
    let admin = http::listen(
        "admin",
        common.admin_address,
        admin_routes(&control, metrics).push(unknown_route()),
    )?;
    let inner = http::listen("inner", inner_address, agent.routes())?;
    info!(event = "started", role = "agent", node = common.node, listen = %inner.address);
    stop.cancelled().await;
    info!(event = "stopping", node = common.node);
    agent.drain().await;
    // Routers that do not know of the stop yet receive a refusal instead of a closed port.
    tokio::time::sleep(common.drain_grace).await;
    inner.handle.stop_graceful(None);
    // A panic of the listener is already logged.
    let _panicked = inner.task.await;
    let flushed = claims.flush(CLAIM_FLUSH_TIMEOUT).await;
    info!(event = "claims-flushed", complete = flushed);
    shut_down(&common, admin, thread).await;
    Ok(())
}

async fn shut_down(common: &CommonSettings, admin: http::HttpListener, thread: ControlThread) {
    admin.handle.stop_graceful(Duration::from_secs(1));
    // A panic of the listener is already logged.
    let _panicked = admin.task.await;
    // Joining blocks, which is not allowed on the traffic threads.
    let _cancelled = tokio::task::spawn_blocking(|| thread.stop()).await;
    info!(event = "stopped", node = common.node);
}

/// Clients of the platform's services.
struct PlatformClients {
    kv: Arc<dyn KeyValue>,
    store: Arc<RevisionStore>,
}

impl PlatformClients {
    fn new(common: &CommonSettings) -> Self {
        let kv: Arc<dyn KeyValue> = Arc::new(EtcdKeyValue::new(
            &common.key_value,
            common.platform_timeout,
        ));
        let store = Arc::new(RevisionStore::new(Arc::clone(&kv)));
        Self { kv, store }
    }

    fn start_control(
        &self,
        common: &CommonSettings,
        identity: MemberRecord,
        metrics: &mut Metrics,
    ) -> Result<(Arc<Control>, ControlThread), DaemonError> {
        let vm_list = HttpVmList::new(&common.vm_list, common.platform_timeout);
        let store = Arc::clone(&self.store);
        control::start(
            common,
            identity,
            store,
            Box::new(vm_list),
            metrics.control(),
        )
    }
}

/// Returns the record with which this process starts.
fn identity(common: &CommonSettings, role: Role) -> MemberRecord {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    MemberRecord {
        node: common.node.clone(),
        incarnation: now.as_millis() as u64,
        version: 0,
        role,
        state: MemberState::Live,
        control_address: common.control_address,
        data_address: common.admin_address,
        failure_domain: common.failure_domain.clone(),
        service: None,
        backend: None,
        load: 0,
        queued: 0,
        revision: 0,
    }
}

/// Starts a graceful stop at the first signal and ends the process at the second.
fn stop_on_signal(stop: &CancellationToken) -> Result<(), DaemonError> {
    let stop = stop.clone();
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|source| DaemonError::Runtime { source })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(|source| DaemonError::Runtime { source })?;
    tokio::spawn(async move {
        let mut next_signal = async || {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        next_signal().await;
        stop.cancel();
        next_signal().await;
        warn!(event = "stopped-at-once");
        std::process::exit(FORCED_STOP_EXIT_CODE);
    });
    Ok(())
}

/// Returns the admin routes of every process: metrics and health.
fn admin_routes(control: &Arc<Control>, metrics: Metrics) -> Routes {
    Routes::new()
        .push(Routes::with_path("metrics").get(MetricsHandler { metrics }))
        .push(Routes::with_path("health/live").get(LiveHandler))
        .push(Routes::with_path("health/ready").get(ReadyHandler {
            control: Arc::clone(control),
        }))
}

/// Returns the catch-all route for unknown admin requests, which must come last.
fn unknown_route() -> Routes {
    Routes::with_path("{**rest}").goal(UnknownHandler)
}

struct UnknownHandler;

#[async_trait]
impl Handler for UnknownHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::NOT_FOUND);
        res.render(Json(ErrorResponse {
            message: format!(
                "the admin listener has no route for {} {:?}",
                req.method(),
                req.uri().path()
            ),
            outcome: Outcome::NotRun,
        }));
    }
}

struct MetricsHandler {
    metrics: Metrics,
}

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        let _valid = res.add_header("content-type", content_type, true);
        res.body(self.metrics.encode());
    }
}

struct LiveHandler;

#[async_trait]
impl Handler for LiveHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.body("live\n");
    }
}

/// Reports whether the process accepts new work: it has a configuration and is not leaving.
struct ReadyHandler {
    control: Arc<Control>,
}

#[async_trait]
impl Handler for ReadyHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let ready = self.control.snapshot().revision > 0 && !self.control.is_leaving();
        if !ready {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.body(if ready { "ready\n" } else { "not ready\n" });
    }
}
