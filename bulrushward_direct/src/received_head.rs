//! Head of a server's response: whose it is, and whether it may be passed on.

use bulrushward_policy::{
    response_owner::ArrivedHead, response_status, server_attempt::AttemptFailure,
};
use hyper::{Response, StatusCode, body::Incoming, header::CONTENT_TYPE};

use crate::{
    attempt::{AttemptError, record_failure},
    connection::Connection,
    ports::ResponseMetadata,
    response_end::ResponseEnd,
    routed_request::RoutedRequest,
    servers::InProgress,
    stream_ids::ResumePoint,
};

/// Beginning of the content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Response head of a server; the body is not read yet.
#[derive(Debug)]
pub(crate) struct ReceivedHead {
    pub(crate) res: Response<Incoming>,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: Connection,
    pub(crate) progress: InProgress,
    /// Place after which the request resumes a stream.
    pub(crate) resumed_at: Option<ResumePoint>,
    pub(crate) end: ResponseEnd,
}

impl ReceivedHead {
    /// Returns whether the response may be a stream of events; a server need not state its type.
    pub(crate) fn is_stream(&self) -> bool {
        let content_type = self.res.headers().get(CONTENT_TYPE);
        let is_other =
            content_type.is_some_and(|stated| !stated.as_bytes().starts_with(EVENT_STREAM));
        self.res.status().is_success() && !is_other
    }

    /// Gives up a response that does not go on with a stream.
    pub(crate) fn into_error(self) -> AttemptError {
        let detail = format!("{} does not go on with the stream", self.res.status());
        let error = AttemptError::new(AttemptFailure::ServerError, &detail);
        record_failure(&self.progress, &error);
        error
    }
}

/// Checks that a response belongs to the request and that the server ran the request.
///
/// # Errors
///
/// Returns [`AttemptError`] if not, or if a success does not come from the server.
pub(crate) fn validate(
    request: &RoutedRequest,
    res: &Response<Incoming>,
    metadata: &ResponseMetadata,
    is_reused: bool,
) -> Result<(), AttemptError> {
    let head = ArrivedHead {
        awaited: &request.request_id,
        named: metadata.request_id.as_deref(),
        is_refusal: metadata.is_not_run || res.status() == StatusCode::MISDIRECTED_REQUEST,
        is_reused,
    };
    if !head.is_awaited() {
        let (status, id) = (res.status().as_u16(), head.named.unwrap_or("none"));
        let detail = format!("the response, {status}, is for request {id}");
        return Err(AttemptError::new(AttemptFailure::Broken, &detail));
    }
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::new(
            AttemptFailure::Misdirected,
            &"another server has this address",
        ));
    }
    if metadata.is_not_run {
        let detail = format!("refused with status {}", res.status().as_u16());
        return Err(AttemptError::new(AttemptFailure::Rejected, &detail));
    }
    if !response_status::is_final(res.status().as_u16()) {
        let detail = format!("{} is no status of a response", res.status().as_u16());
        return Err(AttemptError::new(AttemptFailure::ServerError, &detail));
    }
    if res.status().is_success() && !metadata.is_signed {
        return Err(AttemptError::new(
            AttemptFailure::Broken,
            &"the response is not signed",
        ));
    }
    Ok(())
}
