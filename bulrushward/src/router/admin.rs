//! The admin API for the operators' tool.

use std::{
    str::FromStr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use bulrushward_config::TextErrors;
use bulrushward_protocol::{
    Outcome, Revision,
    admin::{
        CONFIG_PATH, ConfigResponse, ConflictResponse, ErrorResponse, HISTORY_PATH, HistoryEntry,
        HistoryResponse, MemberStatus, RevisionInfo, STATUS_PATH, StatusResponse, SubmitRequest,
        SubmitResponse, TextErrorInfo, TextErrorsResponse,
    },
};
use bulrushward_revisions::{
    AcceptedRevision, AuditEntry, RevisionsError, Submission, SubmitOutcome,
};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router as Routes, async_trait, http::StatusCode,
    writing::Json,
};
use serde::Serialize;
use tracing::info;

use super::{Router, refusal::set};
use crate::control::Member;

/// Largest accepted submission in bytes.
const MAX_SUBMISSION_BYTES: usize = 16 << 20;
/// Entries of the audit trail that are returned unless asked otherwise.
const DEFAULT_HISTORY: usize = 20;
/// Seconds after which an operator may try again while the key-value service is down.
const RETRY_AFTER_SECONDS: &str = "2";

pub(crate) fn routes(router: &Arc<Router>) -> Routes {
    Routes::new()
        .push(
            Routes::with_path(CONFIG_PATH)
                .get(ShowHandler {
                    router: Arc::clone(router),
                })
                .post(SubmitHandler {
                    router: Arc::clone(router),
                }),
        )
        .push(Routes::with_path(HISTORY_PATH).get(HistoryHandler {
            router: Arc::clone(router),
        }))
        .push(Routes::with_path(STATUS_PATH).get(StatusHandler {
            router: Arc::clone(router),
        }))
}

struct ShowHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for ShowHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let revision = match number::<Revision>(req, "revision") {
            Ok(revision) => revision,
            Err(message) => return fail(res, StatusCode::BAD_REQUEST, Outcome::NotRun, &message),
        };
        let found = match revision {
            Some(revision) => self.router.store.revision(revision).await,
            None => self.router.store.current().await,
        };
        match found {
            Ok(Some(accepted)) => answer(
                res,
                StatusCode::OK,
                ConfigResponse {
                    info: info_of(&accepted),
                    text: accepted.text.to_string(),
                },
            ),
            Ok(None) => {
                let message = "there is no such revision of the configuration";
                fail(res, StatusCode::NOT_FOUND, Outcome::NotRun, message);
            }
            Err(error) => store_error(res, &error),
        }
    }
}

struct SubmitHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for SubmitHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let parsed = match req.payload_with_max_size(MAX_SUBMISSION_BYTES).await {
            Ok(body) => serde_json::from_slice(body).map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let submit: SubmitRequest = match parsed {
            Ok(submit) => submit,
            Err(message) => {
                return fail(res, StatusCode::BAD_REQUEST, Outcome::NotRun, &message);
            }
        };
        if let Err(errors) = bulrushward_config::parse(&submit.text) {
            return answer(res, StatusCode::UNPROCESSABLE_ENTITY, text_errors(errors));
        }
        self.submit(submit, res).await;
    }
}

impl SubmitHandler {
    async fn submit(&self, submit: SubmitRequest, res: &mut Response) {
        let submission = Submission {
            base: submit.base,
            text: submit.text.into(),
            author: submit.author,
            why: submit.why,
            submission: submit.submission,
            at: SystemTime::now(),
        };
        match self.router.store.submit(submission).await {
            Ok(SubmitOutcome::Accepted(accepted)) => self.accept(accepted, false, res),
            Ok(SubmitOutcome::Unchanged(accepted)) => self.accept(accepted, true, res),
            Ok(SubmitOutcome::Conflict(current)) => {
                let base = self.router.store.revision(submit.base).await;
                let base = base
                    .ok()
                    .flatten()
                    .map(|base| base.text)
                    .unwrap_or_default();
                let diff = bulrushward_config::text_diff(&base, &current.text);
                let conflict = ConflictResponse {
                    current: info_of(&current),
                    diff,
                };
                answer(res, StatusCode::CONFLICT, conflict);
            }
            Err(error) => store_error(res, &error),
        }
    }

    fn accept(&self, accepted: AcceptedRevision, unchanged: bool, res: &mut Response) {
        info!(
            event = "configuration-accepted",
            revision = accepted.revision,
            author = accepted.author,
            why = accepted.why,
            unchanged,
        );
        let info = info_of(&accepted);
        self.router.control.adopt(accepted);
        answer(res, StatusCode::OK, SubmitResponse { info, unchanged });
    }
}

struct HistoryHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for HistoryHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let limit = match number::<usize>(req, "limit") {
            Ok(limit) => limit.unwrap_or(DEFAULT_HISTORY),
            Err(message) => return fail(res, StatusCode::BAD_REQUEST, Outcome::NotRun, &message),
        };
        match self.router.store.history(limit).await {
            Ok(entries) => {
                let entries = entries.into_iter().map(history_entry).collect();
                answer(res, StatusCode::OK, HistoryResponse { entries });
            }
            Err(error) => store_error(res, &error),
        }
    }
}

struct StatusHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let control = &self.router.control;
        let snapshot = control.snapshot();
        let own = Member {
            record: control.own_record(),
            heard: std::time::Instant::now(),
            answers: true,
        };
        let members: Vec<MemberStatus> = std::iter::once(&own)
            .chain(&snapshot.members)
            .map(member_status)
            .collect();
        let newest = members.iter().map(|member| member.revision).max();
        let status = StatusResponse {
            node: own.record.node.clone(),
            newest_revision: newest.unwrap_or_default(),
            members,
        };
        answer(res, StatusCode::OK, status);
    }
}

fn member_status(member: &Member) -> MemberStatus {
    let record = &member.record;
    MemberStatus {
        node: record.node.clone(),
        role: record.role,
        state: record.state,
        failure_domain: record.failure_domain.clone(),
        service: record.service.clone(),
        backend: record.backend.clone(),
        revision: record.revision,
        load: record.load,
        queued: record.queued,
        refusals: None,
        age: Duration::from_millis(member.heard.elapsed().as_millis() as u64),
    }
}

fn info_of(accepted: &AcceptedRevision) -> RevisionInfo {
    RevisionInfo {
        revision: accepted.revision,
        author: accepted.author.clone(),
        why: accepted.why.clone(),
        at: accepted.at,
        submission: accepted.submission,
    }
}

fn history_entry(entry: AuditEntry) -> HistoryEntry {
    HistoryEntry {
        info: RevisionInfo {
            revision: entry.revision,
            author: entry.author,
            why: entry.why,
            at: entry.at,
            submission: entry.submission,
        },
        diff: entry.diff,
    }
}

fn text_errors(errors: TextErrors) -> TextErrorsResponse {
    let errors = errors.0.into_iter().map(|error| TextErrorInfo {
        line: error.line,
        column: error.column,
        message: error.message,
    });
    TextErrorsResponse {
        errors: errors.collect(),
    }
}

/// Answers a call to the store that failed: a bad submission, or a service that is not there.
fn store_error(res: &mut Response, error: &RevisionsError) {
    let status = if error.is_invalid_submission() {
        StatusCode::BAD_REQUEST
    } else {
        set(res, "retry-after", RETRY_AFTER_SECONDS);
        StatusCode::SERVICE_UNAVAILABLE
    };
    fail(res, status, error.outcome(), &error.to_string());
}

/// Reads a number of the query; an empty or missing one is none.
fn number<T: FromStr>(req: &Request, name: &str) -> Result<Option<T>, String> {
    match req.query::<String>(name) {
        Some(text) if !text.is_empty() => text.parse().map(Some).map_err(|_not_a_number| {
            format!("query parameter {name:?} has value {text:?}, expected a whole number")
        }),
        _ => Ok(None),
    }
}

fn fail(res: &mut Response, status: StatusCode, outcome: Outcome, message: &str) {
    answer(
        res,
        status,
        ErrorResponse {
            message: message.to_owned(),
            outcome,
        },
    );
}

fn answer<T: Serialize + Send>(res: &mut Response, status: StatusCode, body: T) {
    res.status_code(status);
    res.render(Json(body));
}
