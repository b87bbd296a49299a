//! Requests to the admin API of the first router that answers.

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

/// Characters of an unreadable answer that are shown.
const SHOWN_CHARS: usize = 120;

/// How a router answered a submission.
#[derive(Debug)]
pub(crate) enum Submitted {
    /// The text is accepted.
    Accepted(SubmitResponse),
    /// Others have gone on from the base.
    Conflict(ConflictResponse),
    /// The text has errors.
    TextErrors(TextErrorsResponse),
}

/// A whole answer of a router.
#[derive(Debug)]
struct Reply {
    router: SocketAddr,
    status: StatusCode,
    body: String,
}

impl Reply {
    fn parse<T: DeserializeOwned>(&self) -> Result<T, CtlError> {
        serde_json::from_str(&self.body).map_err(|error| self.refused(&error.to_string()))
    }

    /// Turns an unexpected answer into an error.
    fn refused(&self, detail: &str) -> CtlError {
        let answer = serde_json::from_str::<ErrorResponse>(&self.body);
        let message = answer.map_or_else(
            |_| {
                let body: String = self.body.chars().take(SHOWN_CHARS).collect();
                format!("{detail}, in the answer {body:?}")
            },
            |answer| answer.message,
        );
        CtlError::Refused {
            router: self.router.to_string(),
            status: self.status.as_u16(),
            message,
        }
    }
}

/// Why no router gave an answer.
#[derive(Debug, Default)]
struct Failures {
    details: Vec<String>,
    may_have_run: bool,
}

impl Failures {
    fn push(&mut self, router: SocketAddr, detail: &str, may_have_run: bool) {
        self.details.push(format!("{router}: {detail}"));
        self.may_have_run |= may_have_run;
    }
}

/// Talks to routers in turn.
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

    /// Reads a revision, the newest unless named, or `None` if it does not exist.
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
            _ => Err(reply.refused("unexpected status")),
        }
    }

    /// Reads the newest changes.
    pub(crate) async fn history(&self, limit: usize) -> Result<HistoryResponse, CtlError> {
        let reply = self
            .read(|http, router| {
                http.get(url(router, HISTORY_PATH))
                    .query(&[("limit", limit)])
            })
            .await?;
        match reply.status {
            StatusCode::OK => reply.parse(),
            _ => Err(reply.refused("unexpected status")),
        }
    }

    /// Reads the state of the fleet.
    pub(crate) async fn status(&self) -> Result<StatusResponse, CtlError> {
        let reply = self
            .read(|http, router| http.get(url(router, STATUS_PATH)))
            .await?;
        match reply.status {
            StatusCode::OK => reply.parse(),
            _ => Err(reply.refused("unexpected status")),
        }
    }

    /// Submits a text; the submission id makes it safe to ask several routers.
    pub(crate) async fn submit(&self, request: &SubmitRequest) -> Result<Submitted, CtlError> {
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
            // An answer that cannot be read says at least that the text may be accepted.
            StatusCode::OK => match reply.parse() {
                Ok(accepted) => Ok(Submitted::Accepted(accepted)),
                Err(error) => Err(CtlError::Unknown {
                    detail: error.to_string(),
                }),
            },
            StatusCode::CONFLICT => reply.parse().map(Submitted::Conflict),
            StatusCode::UNPROCESSABLE_ENTITY => reply.parse().map(Submitted::TextErrors),
            _ => Err(reply.refused("unexpected status")),
        }
    }

    async fn read(
        &self,
        request: impl Fn(&Client, SocketAddr) -> RequestBuilder,
    ) -> Result<Reply, CtlError> {
        self.send(request).await.map_err(|failures| {
            let detail = failures.details.join("; ");
            CtlError::NoRouter { detail }
        })
    }

    /// Sends a request to the routers in turn until one answers with other than 5xx.
    async fn send(
        &self,
        request: impl Fn(&Client, SocketAddr) -> RequestBuilder,
    ) -> Result<Reply, Failures> {
        let mut failures = Failures::default();
        for &router in &self.routers {
            let response = match request(&self.http, router).send().await {
                Ok(response) => response,
                Err(error) => {
                    failures.push(router, &innermost(&error), !error.is_connect());
                    continue;
                }
            };
            let status = response.status();
            let retry_after = response.headers().get(RETRY_AFTER).cloned();
            let body = match response.text().await {
                Ok(body) => body,
                Err(error) => {
                    failures.push(router, &innermost(&error), true);
                    continue;
                }
            };
            let reply = Reply {
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

fn push_server_error(failures: &mut Failures, reply: &Reply, retry_after: Option<&str>) {
    let answer = serde_json::from_str::<ErrorResponse>(&reply.body);
    let may_have_run = !matches!(&answer, Ok(answer) if answer.outcome == Outcome::NotRun);
    let message = answer.map_or_else(|_| "no reason given".to_owned(), |answer| answer.message);
    let retry = retry_after.map_or_else(String::new, |seconds| {
        format!(", try again after {seconds} s")
    });
    let detail = format!("status {}: {message}{retry}", reply.status.as_u16());
    failures.push(reply.router, &detail, may_have_run);
}

fn url(router: SocketAddr, path: &str) -> String {
    format!("http://{router}{path}")
}

/// Returns the cause that tells an operator most.
fn innermost(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
