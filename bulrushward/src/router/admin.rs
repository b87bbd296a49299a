//! The admin API for operators, used by `bulrushctl`.

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

use super::{Router, refusal::set_header};
use crate::control::Member;

/// Largest accepted request body of a submission in bytes.
const MAX_SUBMISSION_BYTES: usize = 16 << 20;
/// Number of audit entries that are returned if the request sets no limit.
const DEFAULT_HISTORY_LIMIT: usize = 20;
/// Seconds after which an operator may retry while the key-value service is unavailable.
const RETRY_AFTER_SECONDS: &str = "2";

pub(crate) fn routes(router: &Arc<Router>) -> Routes {
    Routes::new()
        .push(
            Routes::with_path(CONFIG_PATH)
                .get(ConfigHandler {
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

struct ConfigHandler {
    router: Arc<Router>,
}

#[async_trait]
impl Handler for ConfigHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let revision = match query_number::<Revision>(req, "revision") {
            Ok(revision) => revision,
            Err(message) => return fail(res, StatusCode::BAD_REQUEST, Outcome::NotRun, &message),
        };
        let found = match revision {
            Some(revision) => self.router.store.revision(revision).await,
            None => self.router.store.current().await,
        };
        match found {
            Ok(Some(accepted)) => respond(
                res,
                StatusCode::OK,
                ConfigResponse {
                    info: revision_info(&accepted),
                    text: accepted.text.to_string(),
                },
            ),
            Ok(None) => {
                let message = "the configuration has no such revision";
                fail(res, StatusCode::NOT_FOUND, Outcome::NotRun, message);
            }
            Err(error) => respond_store_error(res, &error),
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
            return respond(res, StatusCode::UNPROCESSABLE_ENTITY, text_errors(errors));
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
                    current: revision_info(&current),
                    diff,
                };
                respond(res, StatusCode::CONFLICT, conflict);
            }
            Err(error) => respond_store_error(res, &error),
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
        let info = revision_info(&accepted);
        self.router.control.apply_submission(accepted);
        respond(res, StatusCode::OK, SubmitResponse { info, unchanged });
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
        let limit = match query_number::<usize>(req, "limit") {
            Ok(limit) => limit.unwrap_or(DEFAULT_HISTORY_LIMIT),
            Err(message) => return fail(res, StatusCode::BAD_REQUEST, Outcome::NotRun, &message),
        };
        match self.router.store.history(limit).await {
            Ok(entries) => {
                let entries = entries.into_iter().map(history_entry).collect();
                respond(res, StatusCode::OK, HistoryResponse { entries });
            }
            Err(error) => respond_store_error(res, &error),
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
            received: std::time::Instant::now(),
            is_reachable: true,
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
        respond(res, StatusCode::OK, status);
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
        age: Duration::from_millis(member.received.elapsed().as_millis() as u64),
    }
}

fn revision_info(accepted: &AcceptedRevision) -> RevisionInfo {
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

/// Responds to a failed call to the store: an invalid submission or an unavailable key-value
/// service.
fn respond_store_error(res: &mut Response, error: &RevisionsError) {
    let status = if error.is_invalid_submission() {
        StatusCode::BAD_REQUEST
    } else {
        set_header(res, "retry-after", RETRY_AFTER_SECONDS);
        StatusCode::SERVICE_UNAVAILABLE
    };
    fail(res, status, error.outcome(), &error.to_string());
}

/// Parses a numeric query parameter; `None` if it is empty or missing.
fn query_number<T: FromStr>(req: &Request, name: &str) -> Result<Option<T>, String> {
    match req.query::<String>(name) {
        Some(text) if !text.is_empty() => text.parse().map(Some).map_err(|_not_a_number| {
            format!("query parameter {name:?} has value {text:?}, expected a whole number")
        }),
        _ => Ok(None),
    }
}

fn fail(res: &mut Response, status: StatusCode, outcome: Outcome, message: &str) {
    respond(
        res,
        status,
        ErrorResponse {
            message: message.to_owned(),
            outcome,
        },
    );
}

fn respond<T: Serialize + Send>(res: &mut Response, status: StatusCode, body: T) {
    res.status_code(status);
    res.render(Json(body));
}
