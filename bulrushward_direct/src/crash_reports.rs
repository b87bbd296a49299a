//! Message about content that crashes servers, sent between routers.

use bulrushward_protocol::CrashReport;
use serde::{Deserialize, Serialize};

/// Largest number of contents in one message, at roughly fifty bytes each and 160 at most.
const MAX_REPORTS: usize = 16;

/// Part of a datagram, which routers of earlier versions neither send nor read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct CrashReports {
    pub(crate) reports: Vec<CrashReport>,
}

impl CrashReports {
    /// Creates a message with the reports that `take` returns up to a limit.
    pub(crate) fn new(take: impl FnOnce(usize) -> Vec<CrashReport>) -> Self {
        Self {
            reports: take(MAX_REPORTS),
        }
    }
}
