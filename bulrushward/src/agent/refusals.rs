//! Builds the refusals of an agent, each with the outcome of the request.

use std::time::Duration;

use bulrushward_protocol::{Outcome, Refusal, RefusalReason};

/// Time after which a caller may retry if no better time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Builds a refusal of a request that did not run and never will.
pub(crate) fn not_run(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::NotRun, DEFAULT_RETRY_AFTER, message)
}

/// Builds a refusal of a request that did not run and names the time after which a caller may retry.
pub(crate) fn not_run_retry_after(
    reason: RefusalReason,
    retry_after: Duration,
    message: impl Into<String>,
) -> Refusal {
    refusal(reason, Outcome::NotRun, retry_after, message)
}

/// Builds a refusal of a request that may have run.
pub(crate) fn unknown(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::Unknown, DEFAULT_RETRY_AFTER, message)
}

/// Builds a refusal of a request that ran but whose response is not available.
pub(crate) fn ran(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::Ran, DEFAULT_RETRY_AFTER, message)
}

fn refusal(
    reason: RefusalReason,
    outcome: Outcome,
    retry_after: Duration,
    message: impl Into<String>,
) -> Refusal {
    Refusal {
        reason,
        outcome,
        retry_after_ms: retry_after.as_millis() as u64,
        message: message.into(),
    }
}
