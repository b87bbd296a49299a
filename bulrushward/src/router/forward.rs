//! Sends a request to one agent after another until it has an answer or a final refusal.

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
    attempt_stream::{self, AttemptStream, Broken},
    candidates,
    job::Job,
};
use crate::failpoint;

/// Bytes of an answer that are held back until it is whole; longer answers are passed on as they
/// come, and a failure then cuts them visibly.
const HELD_BYTES: usize = 1 << 20;
/// Agents that are asked to bar an attempt in the record of claims.
const BAR_PEERS: usize = 2;
/// Time after which a caller may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer on its way to the caller.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) backend: String,
    /// Pieces of the body that arrived already.
    pub(crate) pieces: VecDeque<Bytes>,
    /// The rest of the body; `None` if the answer is whole.
    pub(crate) rest: Option<AttemptStream>,
}

/// What came of one attempt.
enum AttemptEnd {
    Answer(Box<Answer>),
    Refused(Refusal),
    /// The agent cannot be reached any more; `started` says whether it began.
    Lost {
        started: bool,
        error: Broken,
    },
}

/// Sends a request until it is answered or finally refused.
pub(crate) async fn forward(router: &Arc<Router>, job: &Job) -> Result<Answer, Refusal> {
    check_limit(router, job)?;
    check_dependencies(router, job)?;
    let agents = candidates::for_job(router, job);
    failpoint::hit("router-placed");
    let mut progress = RequestProgress::new(RequestProperties {
        candidates: agents.len(),
        idempotent: job.is_idempotent(),
        suspect: false,
        deadline: job.deadline,
    });
    router.lock_budget().deposit();
    loop {
        let step = progress.next(Instant::now(), &mut router.lock_budget());
        let (candidate, suspect) = match step {
            Step::Send {
                candidate, suspect, ..
            } => (candidate, suspect),
            Step::Refuse {
                reason,
                outcome,
                retry_after,
            } => {
                return Err(refusal(job, reason, outcome, retry_after));
            }
            Step::Resume { .. } | Step::Wait | Step::Done => unreachable_step(),
        };
        if candidate > 0 {
            router.metrics.retried();
        }
        let agent = &agents[candidate];
        match attempt(router, job, agent, suspect).await {
            AttemptEnd::Answer(answer) => return Ok(*answer),
            AttemptEnd::Refused(refusal) => {
                let retry_after = Duration::from_millis(refusal.retry_after_ms);
                progress.refused(refusal.reason, refusal.outcome, retry_after);
            }
            AttemptEnd::Lost { started, error } => {
                warn!(
                    event = "attempt-lost",
                    request = format_id(job.request),
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

/// The attempt stream resumes by itself, so the state machine never has to ask for it here.
fn unreachable_step() -> ! {
    unreachable!("a request without an attempt on its way can only be sent or refused")
}

fn check_limit(router: &Router, job: &Job) -> Result<(), Refusal> {
    let taken = router.lock_limits().take(&job.organisation, Instant::now());
    taken.map_err(|retry_after| Refusal {
        reason: RefusalReason::OrganisationLimit,
        outcome: Outcome::NotRun,
        retry_after_ms: retry_after.as_millis() as u64 + 1,
        message: format!(
            "organisation {:?} is above its limit of requests",
            job.organisation
        ),
    })
}

fn check_dependencies(router: &Router, job: &Job) -> Result<(), Refusal> {
    for dependency in &job.service.depends_on {
        if !candidates::has_live_agent(router, dependency) {
            let message = format!("service {dependency:?} has no live backend server");
            return Err(Refusal {
                reason: RefusalReason::DependencyDown,
                outcome: Outcome::NotRun,
                retry_after_ms: RETRY_AFTER.as_millis() as u64,
                message,
            });
        }
    }
    Ok(())
}

fn refusal(job: &Job, reason: RefusalReason, outcome: Outcome, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        outcome,
        retry_after_ms: retry_after.as_millis() as u64,
        message: format!("service {:?}: {reason}", job.service.name),
    }
}

/// Makes one attempt and returns when its answer may begin to go to the caller.
async fn attempt(
    router: &Arc<Router>,
    job: &Job,
    agent: &MemberRecord,
    suspect: bool,
) -> AttemptEnd {
    let id = uuid::Uuid::new_v4().as_u128();
    let req = job.attempt(id, agent.incarnation, suspect);
    let stream = AttemptStream::new(Arc::clone(router), agent.data_address, &req);
    let Ok(mut stream) = stream else {
        let reason = RefusalReason::BadRequest;
        return AttemptEnd::Refused(refusal(job, reason, Outcome::NotRun, RETRY_AFTER));
    };
    let deadline = tokio::time::Instant::from_std(job.deadline);
    let begun = tokio::time::timeout_at(deadline, begin(job, &mut stream)).await;
    match begun {
        Ok(Ok(Begun::Refused(refusal))) => AttemptEnd::Refused(refusal),
        Ok(Ok(Begun::Answer {
            status,
            headers,
            pieces,
            whole,
        })) => {
            let backend = agent.backend.clone().unwrap_or_default();
            let rest = (!whole).then_some(stream);
            AttemptEnd::Answer(Box::new(Answer {
                status,
                headers,
                backend,
                pieces,
                rest,
            }))
        }
        Ok(Err(error)) => lose(router, job, agent, id, stream, error).await,
        Err(_elapsed) => {
            let outcome = stream.bar().await;
            AttemptEnd::Refused(refusal(job, RefusalReason::Deadline, outcome, RETRY_AFTER))
        }
    }
}

/// The beginning of an answer.
enum Begun {
    Refused(Refusal),
    Answer {
        status: u16,
        headers: Vec<Header>,
        pieces: VecDeque<Bytes>,
        whole: bool,
    },
}

/// Waits until the answer may go to the caller: a streamed one from its head on, others whole.
async fn begin(job: &Job, stream: &mut AttemptStream) -> Result<Begun, Broken> {
    let (status, headers) = match stream.next().await? {
        Frame::Head { status, headers } => (status, headers),
        Frame::Refused(refusal) => return Ok(Begun::Refused(refusal)),
        _ => return Err(stream.out_of_order()),
    };
    let mut pieces = VecDeque::new();
    let mut held = 0;
    let mut whole = false;
    while !whole && !job.streamed && held < HELD_BYTES {
        match stream.next().await? {
            Frame::Data { bytes, .. } => {
                held += bytes.len();
                pieces.push_back(bytes);
            }
            Frame::Refused(refusal) => return Ok(Begun::Refused(refusal)),
            Frame::End { .. } => whole = true,
            _ => return Err(stream.out_of_order()),
        }
    }
    Ok(Begun::Answer {
        status,
        headers,
        pieces,
        whole,
    })
}

/// Settles an attempt whose agent cannot be reached any more.
///
/// An action may go to another agent only if it is certain that this attempt never starts.
async fn lose(
    router: &Arc<Router>,
    job: &Job,
    agent: &MemberRecord,
    id: AttemptId,
    mut stream: AttemptStream,
    error: Broken,
) -> AttemptEnd {
    let started = stream.has_started();
    router.silent.note(agent, Instant::now());
    stream.abandon();
    if job.is_idempotent() || started {
        return AttemptEnd::Lost { started, error };
    }
    if bar_anywhere(router, job, agent, id).await == Outcome::NotRun {
        let reason = RefusalReason::BackendDown;
        return AttemptEnd::Refused(refusal(job, reason, Outcome::NotRun, RETRY_AFTER));
    }
    AttemptEnd::Lost { started, error }
}

/// Bars an attempt at its own agent or, in the record of claims, through another one.
async fn bar_anywhere(
    router: &Arc<Router>,
    job: &Job,
    agent: &MemberRecord,
    id: AttemptId,
) -> Outcome {
    let own = attempt_stream::bar(router, agent.data_address, id, job.action).await;
    if own == Outcome::NotRun {
        return own;
    }
    let others = candidates::for_job(router, job);
    let others = others.iter().filter(|other| other.node != agent.node);
    for other in others.take(BAR_PEERS) {
        let outcome = attempt_stream::bar(router, other.data_address, id, job.action).await;
        if outcome == Outcome::NotRun {
            return outcome;
        }
    }
    Outcome::Unknown
}
