//! Answers of the router's own: refusals and failures, with the truth about whether the request ran.

use std::{convert::Infallible, time::Duration};

use bulrushward_protocol::{Outcome, headers};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use strum::{Display, IntoStaticStr};

/// Body of an answer; an error breaks the connection visibly.
pub(crate) type Body = UnsyncBoxBody<Bytes, StreamTruncated>;

/// A stream ended before its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamTruncated;

impl std::fmt::Display for StreamTruncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream ended before its end")
    }
}

impl std::error::Error for StreamTruncated {}

/// Why the router answers itself.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Reason {
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    BodyTooLarge,
    BodyCut,
    UnknownService,
    NoServer,
    ServersRefused,
    RetryBudget,
    TimeOver,
    ServerBroke,
    ServerSilent,
    Quarantined,
}

/// An answer of the router's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalResponse {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    /// A request that is wrong and never runs.
    pub(crate) fn client_error(status: StatusCode, reason: Reason) -> Self {
        Self {
            status,
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// A request that has not run and never will; the caller may come back.
    pub(crate) fn not_run(reason: Reason, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// A request that may have run.
    pub(crate) fn unknown(reason: Reason) -> Self {
        let status = match reason {
            Reason::TimeOver | Reason::ServerSilent => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        Self {
            status,
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Writes the answer.
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

/// Makes a body of bytes that are all there.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
