//! Local responses: refusals and failures that the router reports itself, stating whether the request has run.

use std::{convert::Infallible, time::Duration};

use bulrushward_protocol::{Outcome, headers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use strum::{Display, IntoStaticStr};

/// Body of a response; an error aborts the connection, so that the caller notices the truncation.
pub(crate) type Body = UnsyncBoxBody<Bytes, StreamTruncated>;

/// Error of a stream that ended early.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTruncated;

impl std::fmt::Display for StreamTruncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream ended early")
    }
}

impl std::error::Error for StreamTruncated {}

/// Reason for a local response.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Reason {
    NoConfiguration,
    ConfigurationInDoubt,
    UnknownRoute,
    UnknownKey,
    BodyTooLarge,
    BodyCut,
    /// Bodies take all the memory that they may.
    NoMemory,
    UnknownService,
    NoServer,
    /// The stream began at another version than those of the servers that can be used.
    OtherVersion,
    /// The stream began at a version that is not known.
    VersionUnknown,
    FailureDomainsEmptied,
    ServersRefused,
    ColdServers,
    ServersWithheld,
    Overloaded,
    NoPlace,
    RetryBudget,
    TimeOver,
    ServerBroke,
    /// The server did not acknowledge the request.
    ServerCutOff,
    ServerSilent,
    Quarantined,
    Stopping,
    UnexpectedError,
}

/// A response that the router generates itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResponse {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    /// Returns the response to an invalid request, which has not run.
    pub(crate) fn client_error(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Returns the response to a request that has not run and never will; the caller may retry.
    pub(crate) fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the response to a request that may have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        let status = match reason {
            Reason::TimeOver | Reason::ServerSilent | Reason::Stopping => {
                StatusCode::GATEWAY_TIMEOUT
            }
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn http_response(&self) -> Response<Body> {
        let text = format!(
            "{{\"error\":\"{}\",\"outcome\":\"{}\"}}\n",
            self.reason, self.outcome
        );
        let mut res = Response::new(full_body(Bytes::from(text)));
        *res.status_mut() = self.status;
        let map = res.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(outcome) = HeaderValue::from_str(&self.outcome.to_string()) {
            map.insert(headers::OUTCOME, outcome);
        }
        let seconds = self
            .retry_after
            .and_then(|time| HeaderValue::from_str(&format!("{:.2}", time.as_secs_f64())).ok());
        if let Some(seconds) = seconds {
            map.insert(RETRY_AFTER, seconds);
        }
        res
    }
}

/// Returns a response body with these bytes.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
