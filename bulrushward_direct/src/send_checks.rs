//! Checks right before a request is sent to a server, as it may have waited for a connection, a place or a unit.

use bulrushward_policy::server_attempt::AttemptFailure;

use crate::{
    attempt::AttemptError, routed_request::RoutedRequest, server_reports,
    server_selection::ServerChoice, shared::Shared, stop_sends,
};

/// Checks that a request may be sent to the server of a choice, and records that it is.
///
/// # Errors
///
/// Returns an [`AttemptError`] whose failure counts as not run if the request may not be sent.
pub(crate) fn check(
    shared: &Shared,
    request: &RoutedRequest,
    choice: &ServerChoice,
) -> Result<(), AttemptError> {
    check_stop(shared, request)?;
    check_domain(shared, choice)?;
    server_reports::check(shared, choice)?;
    check_content(shared, request)?;
    shared.crash_records.record_sent(request);
    request.run_mark.record_sent();
    Ok(())
}

/// Checks that a stop leaves enough time for the request.
fn check_stop(shared: &Shared, request: &RoutedRequest) -> Result<(), AttemptError> {
    if !stop_sends::are_permitted(shared, request) {
        let detail = "the router stops";
        return Err(AttemptError::new(AttemptFailure::Stopping, &detail));
    }
    Ok(())
}

/// Checks that the failure domain of a server is not emptied.
fn check_domain(shared: &Shared, choice: &ServerChoice) -> Result<(), AttemptError> {
    let domain = &choice.server.record.failure_domain;
    if shared.emptied_domains().contains(domain) {
        let detail = format!("failure domain {domain} is emptied");
        return Err(AttemptError::new(AttemptFailure::DomainEmptied, &detail));
    }
    Ok(())
}

/// Checks that the content of a request is not barred.
fn check_content(shared: &Shared, request: &RoutedRequest) -> Result<(), AttemptError> {
    if shared.content_refusal(request).is_some() {
        let detail = "the content crashes servers";
        return Err(AttemptError::new(AttemptFailure::ContentBarred, &detail));
    }
    Ok(())
}
