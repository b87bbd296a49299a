//! Errors of the revision store.

use bulrushward_clients::KvError;
use bulrushward_protocol::{Outcome, Revision, format_id};
use snafu::Snafu;

/// Error of a call to the revision store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RevisionsError {
    /// The key-value service could not be read.
    #[snafu(display("the configuration could not be read: {source}"))]
    Read {
        /// Error of the key-value service.
        source: KvError,
    },
    /// The submission was not accepted and will not be accepted later unless it is sent again.
    #[snafu(display("the submission was not accepted: {source}"))]
    NotAccepted {
        /// Error of the key-value service.
        source: KvError,
    },
    /// It is not known whether the submission was accepted.
    #[snafu(display(
        "it is not known whether submission {} was accepted; send it again with the same \
         submission id and base: {source}",
        format_id(*submission)
    ))]
    Unknown {
        /// Id of the submission.
        submission: u128,
        /// Error of the key-value service.
        source: KvError,
    },
    /// The base of the submission does not exist yet.
    #[snafu(display("base revision {base} does not exist; the newest is {current}"))]
    UnknownBase {
        /// Base of the submission.
        base: Revision,
        /// Newest revision, or 0 if there is none.
        current: Revision,
    },
    /// A field of the submission is empty or too large.
    #[snafu(display("{field} has {bytes} bytes, expected 1 to {limit}"))]
    FieldSize {
        /// Name of the field.
        field: &'static str,
        /// Size of the field in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// A stored record is missing, cannot be decoded or does not match its digest.
    #[snafu(display("the record {key:?} of the configuration is damaged: {detail}"))]
    Damaged {
        /// Key of the record.
        key: String,
        /// Description of the damage.
        detail: String,
    },
}

impl RevisionsError {
    /// Returns whether the submission that failed with this error took effect.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unknown { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns whether the submission is invalid, so that a retry cannot succeed.
    #[must_use]
    pub fn is_invalid_submission(&self) -> bool {
        matches!(self, Self::UnknownBase { .. } | Self::FieldSize { .. })
    }
}
