//! The refusals of an agent, each with what became of the request.

use std::time::Duration;

use bulrushward_protocol::{Outcome, Refusal, RefusalReason};

/// Time after which a caller may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request that did not run and will not.
pub(crate) fn not_run(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::NotRun, RETRY_AFTER, message)
}

/// Refuses a request that did not run, with the time to come back.
pub(crate) fn not_run_until(
    reason: RefusalReason,
    retry_after: Duration,
    message: impl Into<String>,
) -> Refusal {
    refusal(reason, Outcome::NotRun, retry_after, message)
}

/// Refuses a request that may have run.
pub(crate) fn unknown(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::Unknown, RETRY_AFTER, message)
}

/// Refuses a request that ran and whose answer is not at hand.
pub(crate) fn ran(reason: RefusalReason, message: impl Into<String>) -> Refusal {
    refusal(reason, Outcome::Ran, RETRY_AFTER, message)
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
