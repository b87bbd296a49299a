//! Client of the admin API, which tries several routers in turn.

use std::net::SocketAddr;

use bulrushward_protocol::{
    Outcome, Revision,
    admin::{
        CONFIG_PATH, ConfigResponse, ConflictResponse, ErrorResponse, HISTORY_PATH,
        HistoryResponse, STATUS_PATH, StatusResponse, SubmitRequest, SubmitResponse,
        TextErrorsResponse,
    },
};
use reqwest::{Client, RequestBuilder, StatusCode, header::RETRY_AFTER};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{
    cli::Connection,
    error::{ClientSnafu, CtlError},
};

/// Maximum number of characters shown of a response that cannot be parsed.
const MAX_SHOWN_BODY_CHARS: usize = 120;

/// Result of a submission.
#[derive(Debug)]
pub(crate) enum SubmitOutcome {
    /// The text was accepted.
    Accepted(SubmitResponse),
    /// A newer revision than the base exists.
    Conflict(ConflictResponse),
    /// The text has errors.
    TextErrors(TextErrorsResponse),
}

/// A complete response of a router.
#[derive(Debug)]
struct RouterResponse {
    router: SocketAddr,
    status: StatusCode,
    body: String,
}

impl RouterResponse {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        serde_json::from_str(&self.body).map_err(|error| self.to_error(&error.to_string()))
    }

    /// Returns the error for an unexpected response.
    fn to_error(&self, detail: &str) -> CtlError {
        let parsed = serde_json::from_str::<ErrorResponse>(&self.body);
        let message = parsed.map_or_else(
            |_| {
                let body: String = self.body.chars().take(MAX_SHOWN_BODY_CHARS).collect();
                format!("{detail}, in the response {body:?}")
            },
            |parsed| parsed.message,
        );
        CtlError::Refused {
            router: self.router.to_string(),
            status: self.status.as_u16(),
            message,
        }
    }
}

/// Failures of all routers that were tried.
#[derive(Debug, Default)]
struct RouterFailures {
    details: Vec<String>,
    may_have_run: bool,
}

impl RouterFailures {
    fn push(&mut self, router: SocketAddr, detail: &str, may_have_run: bool) {
        self.details.push(format!("{router}: {detail}"));
        self.may_have_run |= may_have_run;
    }
}

/// Client of the admin API of one or more routers.
#[derive(Debug)]
pub(crate) struct AdminClient {
    http: Client,
    routers: Vec<SocketAddr>,
}

impl AdminClient {
    pub(crate) fn new(connection: &Connection) -> Result<Self, CtlError> {
        let http = Client::builder()
            .timeout(connection.timeout)
            .no_proxy()
            .build()
            .context(ClientSnafu)?;
        let routers = connection.routers.clone();
        Ok(Self { http, routers })
    }

    /// Reads a revision, by default the newest; returns `None` if it does not exist.
    pub(crate) async fn config(
        &self,
        revision: Option<Revision>,
    ) -> Result<Option<ConfigResponse>, CtlError> {
        let query: Vec<_> = revision
            .iter()
            .map(|revision| ("revision", revision))
            .collect();
        let reply = self
            .read(|http, router| http.get(url(router, CONFIG_PATH)).query(&query))
            .await?;
        match reply.status {
            StatusCode::OK => reply.parse().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.to_error("unexpected status")),
        }
    }

    /// Reads the latest changes, at most `limit`.
    pub(crate) async fn history(&self, limit: usize) -> Result<HistoryResponse, CtlError> {
        let reply = self
            .read(|http, router| {
                http.get(url(router, HISTORY_PATH))
                    .query(&[("limit", limit)])
            })
            .await?;
        match reply.status {
            StatusCode::OK => reply.parse(),
            _ => Err(reply.to_error("unexpected status")),
        }
    }

    /// Reads the state of the fleet.
    pub(crate) async fn status(&self) -> Result<StatusResponse, CtlError> {
        let reply = self
            .read(|http, router| http.get(url(router, STATUS_PATH)))
            .await?;
        match reply.status {
            StatusCode::OK => reply.parse(),
            _ => Err(reply.to_error("unexpected status")),
        }
    }

    /// Submits a text; its submission id makes it safe to send the request to several routers.
    pub(crate) async fn submit(&self, request: &SubmitRequest) -> Result<SubmitOutcome, CtlError> {
        let sent = self
            .send(|http, router| http.post(url(router, CONFIG_PATH)).json(request))
            .await;
        let reply = sent.map_err(|failures| {
            let detail = failures.details.join("; ");
            if failures.may_have_run {
                CtlError::Unknown { detail }
            } else {
                CtlError::NoRouter { detail }
            }
        })?;
        match reply.status {
            // The text may have been accepted even if the body cannot be parsed.
            StatusCode::OK => match reply.parse() {
                Ok(accepted) => Ok(SubmitOutcome::Accepted(accepted)),
                Err(error) => Err(CtlError::Unknown {
                    detail: error.to_string(),
                }),
            },
            StatusCode::CONFLICT => reply.parse().map(SubmitOutcome::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => reply.parse().map(SubmitOutcome::TextErrors),
            _ => Err(reply.to_error("unexpected status")),
        }
    }

    async fn read(
        &self,
        request: impl Fn(&Client, SocketAddr) -> RequestBuilder,
    ) -> Result<RouterResponse, CtlError> {
        self.send(request).await.map_err(|failures| {
            let detail = failures.details.join("; ");
            CtlError::NoRouter { detail }
        })
    }

    /// Sends a request to the routers in turn until one responds with a status other than 5xx.
    async fn send(
        &self,
        request: impl Fn(&Client, SocketAddr) -> RequestBuilder,
    ) -> Result<RouterResponse, RouterFailures> {
        let mut failures = RouterFailures::default();
        for &router in &self.routers {
            let response = match request(&self.http, router).send().await {
                Ok(response) => response,
                Err(error) => {
                    failures.push(router, &root_cause(&error), !error.is_connect());
                    continue;
                }
            };
            let status = response.status();
            let retry_after = response.headers().get(RETRY_AFTER).cloned();
            let body = match response.text().await {
                Ok(body) => body,
                Err(error) => {
                    failures.push(router, &root_cause(&error), true);
                    continue;
                }
            };
            let reply = RouterResponse {
                router,
                status,
                body,
            };
            if !status.is_server_error() {
                return Ok(reply);
            }
            let retry_after = retry_after.as_ref().and_then(|value| value.to_str().ok());
            push_server_error(&mut failures, &reply, retry_after);
        }
        Err(failures)
    }
}

fn push_server_error(
    failures: &mut RouterFailures,
    reply: &RouterResponse,
    retry_after: Option<&str>,
) {
    let parsed = serde_json::from_str::<ErrorResponse>(&reply.body);
    let may_have_run = !matches!(&parsed, Ok(parsed) if parsed.outcome == Outcome::NotRun);
    let message = parsed.map_or_else(|_| "no reason given".to_owned(), |parsed| parsed.message);
    let retry = retry_after.map_or_else(String::new, |seconds| {
        format!(", try again after {seconds} s")
    });
    let detail = format!("status {}: {message}{retry}", reply.status.as_u16());
    failures.push(reply.router, &detail, may_have_run);
}

fn url(router: SocketAddr, path: &str) -> String {
    format!("http://{router}{path}")
}

/// Returns the innermost cause of an error, which is the most specific one.
fn root_cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no response in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
