//! Fake of a plain service whose requests must not be executed twice.

mod executions;

use std::{io, sync::Arc, time::Duration};

use salvo::{Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use self::executions::ExecutionCounts;
pub use self::executions::{Action, Execution, PlainResponse};
use crate::{
    crash::{OnCrash, SimulatedProcess},
    fake::{Addresses, Fake, FakeState},
    faults::Faults,
    http::{Endpoint, ErrorResponse, Failure, read_body, to_json, truncated_body, write_json},
};

/// Settings of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainSettings {
    /// How a crash is simulated.
    pub on_crash: OnCrash,
}

/// Point in the handling of a request at which a plain service crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashPoint {
    /// After the request was received and before it is executed.
    BeforeExecution,
    /// After the request was executed and before the response is sent.
    AfterExecution,
}

/// Faults of a running plain service.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Delay before a request is executed; a change of this value ends the wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_execution_ms")]
    pub delay_execution: Duration,
    /// Delay between an execution and its response; a change of this value ends the wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_answer_ms")]
    pub delay_answer: Duration,
    /// Point at which every matching request crashes the service, until the fault is cleared.
    pub crash: Option<CrashPoint>,
    /// Text that the body of a request must contain to crash the service; empty for every request.
    pub crash_on: String,
    /// Number of upcoming responses that are truncated in the middle.
    pub cut_answers: u32,
}

/// State of a plain service.
#[derive(Debug)]
pub struct PlainState {
    executions: ExecutionCounts,
    faults: Faults<PlainFaults>,
    process: SimulatedProcess,
}

/// A running plain service.
pub type FakePlain = Fake<PlainState>;

impl FakePlain {
    /// Starts the service on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start(settings: PlainSettings) -> io::Result<Self> {
        Self::start_at(Addresses::default(), settings).await
    }

    /// Starts the service at the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses, settings: PlainSettings) -> io::Result<Self> {
        Self::launch(addresses, |network| PlainState {
            executions: ExecutionCounts::default(),
            faults: Faults::default(),
            process: SimulatedProcess::new(settings.on_crash, network),
        })
        .await
    }

    /// Returns the executions so far, including those before crashes.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state.executions.all()
    }

    /// Returns the number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.process.crashes()
    }
}

impl FakeState for PlainState {
    type Faults = PlainFaults;

    fn faults(&self) -> &Faults<PlainFaults> {
        &self.faults
    }
}

#[async_trait]
impl Endpoint for Arc<PlainState> {
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/executions") => write_json(res, self.executions.all()),
            _ => {
                let action = read_action(req).await?;
                // An execution continues after its caller has disconnected.
                let execution = tokio::spawn(Self::clone(self).execute(action)).await;
                let execution =
                    execution.map_err(|error| ErrorResponse::internal(error.to_string()))?;
                let response = execution.ok_or(Failure::ConnectionClosed)?;
                if self.faults.consume(|faults| &mut faults.cut_answers) {
                    res.body(truncated_body(&to_json(&response)?));
                    return Ok(());
                }
                write_json(res, response)
            }
        }
    }
}

impl PlainState {
    /// Executes a request and returns the response, or `None` after a crash.
    async fn execute(self: Arc<Self>, action: Action) -> Option<PlainResponse> {
        self.process
            .run(async {
                self.faults.delay(|faults| faults.delay_execution).await;
                self.maybe_crash(CrashPoint::BeforeExecution, &action).await;
                let execution = self.executions.record(&action);
                self.maybe_crash(CrashPoint::AfterExecution, &action).await;
                self.faults.delay(|faults| faults.delay_answer).await;
                PlainResponse { action, execution }
            })
            .await
    }

    async fn maybe_crash(&self, point: CrashPoint, action: &Action) {
        let faults = self.faults.get();
        if faults.crash == Some(point) && action.body.contains(&faults.crash_on) {
            self.process.crash().await;
        }
    }
}

async fn read_action(req: &mut Request) -> Result<Action, ErrorResponse> {
    let idempotency_key = req.header::<String>("idempotency-key").unwrap_or_default();
    let method = req.method().to_string();
    let path = req.uri().path().to_owned();
    let body = String::from_utf8_lossy(read_body(req).await?).into_owned();
    Ok(Action {
        idempotency_key,
        method,
        path,
        body,
    })
}
