//! Sends a request to one agent after another until it has a response or a final refusal.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::attempt::{RequestProgress, RequestProperties, Step};
use bulrushward_protocol::{
    AttemptId, Frame, Header, MemberRecord, Outcome, Refusal, RefusalReason, format_id,
};
use bytes::Bytes;
use tracing::warn;

use super::{
    Router,
    attempt_stream::{self, AttemptStream, StreamError},
    candidates,
    routed_request::RoutedRequest,
};
use crate::failpoint;

/// Maximum bytes that the frames of a response take until it is complete, so that a failure can still
/// be retried. Longer responses are streamed, and a failure truncates them visibly.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Maximum number of other agents that are asked to bar an attempt in the claims record.
const MAX_BAR_PEERS: usize = 2;
/// Time after which a caller may retry if no agent gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response of an agent for the caller.
pub(crate) struct AgentResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) backend: String,
    /// Chunks of the body that were received already.
    pub(crate) chunks: VecDeque<Bytes>,
    /// Stream of the remaining body; `None` if the response is complete.
    pub(crate) remaining: Option<AttemptStream>,
}

/// Result of one attempt.
enum AttemptResult {
    Response(Box<AgentResponse>),
    Refused(Refusal),
    /// The agent became unreachable; `started` is whether it reported that the attempt started.
    Lost {
        started: bool,
        error: StreamError,
    },
}

/// Sends attempts until one gets a response or the request is finally refused.
pub(crate) async fn forward(
    router: &Arc<Router>,
    req: &RoutedRequest,
) -> Result<AgentResponse, Refusal> {
    check_rate_limit(router, req)?;
    check_dependencies(router, req)?;
    let agents = candidates::for_request(router, req);
    failpoint::hit("router-placed");
    let mut progress = RequestProgress::new(RequestProperties {
        candidates: agents.len(),
        idempotent: req.is_idempotent(),
        suspect: false,
        deadline: req.deadline,
    });
    router.lock_retry_budget().deposit();
    loop {
        let step = progress.next(Instant::now(), &mut router.lock_retry_budget());
        let (candidate, suspect) = match step {
            Step::Send {
                candidate, suspect, ..
            } => (candidate, suspect),
            Step::Refuse {
                reason,
                outcome,
                retry_after,
            } => {
                return Err(refusal(req, reason, outcome, retry_after));
            }
            Step::Resume { .. } | Step::Wait | Step::Done => unreachable_step(),
        };
        if candidate > 0 {
            router.metrics.retried();
        }
        let agent = &agents[candidate];
        match attempt(router, req, agent, suspect).await {
            AttemptResult::Response(response) => return Ok(*response),
            AttemptResult::Refused(refusal) => {
                let retry_after = Duration::from_millis(refusal.retry_after_ms);
                progress.refused(refusal.reason, refusal.outcome, retry_after);
            }
            AttemptResult::Lost { started, error } => {
                warn!(
                    event = "attempt-lost",
                    request = format_id(req.request),
                    agent = agent.node,
                    started,
                    %error,
                );
                if started {
                    progress.started();
                }
                progress.attempt_forgotten();
            }
        }
    }
}

/// Panics on a step that cannot occur: [`AttemptStream`] resumes on its own, so the state machine
/// never has to wait for an attempt or resume it.
fn unreachable_step() -> ! {
    unreachable!("a request without a running attempt can only be sent or refused")
}

fn check_rate_limit(router: &Router, req: &RoutedRequest) -> Result<(), Refusal> {
    let taken = router
        .lock_rate_limits()
        .take(&req.organisation, Instant::now());
    taken.map_err(|retry_after| Refusal {
        reason: RefusalReason::OrganisationLimit,
        outcome: Outcome::NotRun,
        retry_after_ms: retry_after.as_millis() as u64 + 1,
        message: format!(
            "organisation {:?} exceeds its request rate limit",
            req.organisation
        ),
    })
}

fn check_dependencies(router: &Router, req: &RoutedRequest) -> Result<(), Refusal> {
    for dependency in &req.service.depends_on {
        if !candidates::has_live_agent(router, dependency) {
            let message = format!("service {dependency:?} has no live backend server");
            return Err(Refusal {
                reason: RefusalReason::DependencyDown,
                outcome: Outcome::NotRun,
                retry_after_ms: DEFAULT_RETRY_AFTER.as_millis() as u64,
                message,
            });
        }
    }
    Ok(())
}

fn refusal(
    req: &RoutedRequest,
    reason: RefusalReason,
    outcome: Outcome,
    retry_after: Duration,
) -> Refusal {
    Refusal {
        reason,
        outcome,
        retry_after_ms: retry_after.as_millis() as u64,
        message: format!("service {:?}: {reason}", req.service.name),
    }
}

/// Makes one attempt and returns when its response can be sent to the caller.
async fn attempt(
    router: &Arc<Router>,
    req: &RoutedRequest,
    agent: &MemberRecord,
    suspect: bool,
) -> AttemptResult {
    let id = uuid::Uuid::new_v4().as_u128();
    let run_request = req.attempt(id, agent.incarnation, suspect);
    let stream = AttemptStream::new(Arc::clone(router), agent.data_address, &run_request);
    let Ok(mut stream) = stream else {
        let reason = RefusalReason::BadRequest;
        return AttemptResult::Refused(refusal(req, reason, Outcome::NotRun, DEFAULT_RETRY_AFTER));
    };
    let deadline = tokio::time::Instant::from_std(req.deadline);
    let start = tokio::time::timeout_at(deadline, receive_start(req, &mut stream)).await;
    match start {
        Ok(Ok(ResponseStart::Refused(refusal))) => AttemptResult::Refused(refusal),
        Ok(Ok(ResponseStart::Response {
            status,
            headers,
            chunks,
            complete,
        })) => {
            let backend = agent.backend.clone().unwrap_or_default();
            let remaining = (!complete).then_some(stream);
            AttemptResult::Response(Box::new(AgentResponse {
                status,
                headers,
                backend,
                chunks,
                remaining,
            }))
        }
        Ok(Err(error)) => handle_lost_agent(router, req, agent, id, stream, error).await,
        Err(_elapsed) => {
            let outcome = stream.bar().await;
            AttemptResult::Refused(refusal(
                req,
                RefusalReason::Deadline,
                outcome,
                DEFAULT_RETRY_AFTER,
            ))
        }
    }
}

/// The first part of a response.
enum ResponseStart {
    Refused(Refusal),
    Response {
        status: u16,
        headers: Vec<Header>,
        chunks: VecDeque<Bytes>,
        complete: bool,
    },
}

/// Waits until the response can be sent to the caller: a streamed one after its head, others when
/// complete or too large to buffer.
async fn receive_start(
    req: &RoutedRequest,
    stream: &mut AttemptStream,
) -> Result<ResponseStart, StreamError> {
    let (status, headers) = match stream.next().await? {
        Frame::Head { status, headers } => (status, headers),
        Frame::Refused(refusal) => return Ok(ResponseStart::Refused(refusal)),
        _ => return Err(stream.out_of_order()),
    };
    let mut chunks = VecDeque::new();
    let mut buffered = 0;
    let mut complete = false;
    while !complete && !req.streamed && buffered < MAX_BUFFERED_BYTES {
        match stream.next().await? {
            Frame::Data { bytes, .. } => {
                buffered += bytes.len() + size_of::<Frame>();
                chunks.push_back(bytes);
            }
            Frame::Refused(refusal) => return Ok(ResponseStart::Refused(refusal)),
            Frame::End { .. } => complete = true,
            _ => return Err(stream.out_of_order()),
        }
    }
    Ok(ResponseStart::Response {
        status,
        headers,
        chunks,
        complete,
    })
}

/// Decides the result of an attempt whose agent became unreachable.
///
/// An action may be sent to another agent only if it is certain that this attempt never starts.
async fn handle_lost_agent(
    router: &Arc<Router>,
    req: &RoutedRequest,
    agent: &MemberRecord,
    id: AttemptId,
    mut stream: AttemptStream,
    error: StreamError,
) -> AttemptResult {
    let started = stream.has_started();
    router.unresponsive.record_failure(agent, Instant::now());
    stream.abandon();
    if req.is_idempotent() || started {
        return AttemptResult::Lost { started, error };
    }
    if bar_at_any_agent(router, req, agent, id).await == Outcome::NotRun {
        let reason = RefusalReason::BackendDown;
        return AttemptResult::Refused(refusal(req, reason, Outcome::NotRun, DEFAULT_RETRY_AFTER));
    }
    AttemptResult::Lost { started, error }
}

/// Bars an attempt at its own agent or, through another agent, in the claims record.
async fn bar_at_any_agent(
    router: &Arc<Router>,
    req: &RoutedRequest,
    agent: &MemberRecord,
    id: AttemptId,
) -> Outcome {
    let own = attempt_stream::bar(router, agent.data_address, id, req.action).await;
    if own == Outcome::NotRun {
        return own;
    }
    let others = candidates::for_request(router, req);
    let others = others.iter().filter(|other| other.node != agent.node);
    for other in others.take(MAX_BAR_PEERS) {
        let outcome = attempt_stream::bar(router, other.data_address, id, req.action).await;
        if outcome == Outcome::NotRun {
            return outcome;
        }
    }
    Outcome::Unknown
}
