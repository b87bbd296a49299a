//! Errors of the revision store.

use bulrushward_clients::KvError;
use bulrushward_protocol::{Outcome, Revision, format_id};
use snafu::Snafu;

/// A call to the revision store that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RevisionsError {
    /// The key-value service could not be read.
    #[snafu(display("the configuration could not be read: {source}"))]
    Read {
        /// Error of the service.
        source: KvError,
    },
    /// The submission was not accepted and never will be without being sent again.
    #[snafu(display("the submission was not accepted: {source}"))]
    NotAccepted {
        /// Error of the service.
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
        /// Error of the service.
        source: KvError,
    },
    /// The base of the submission has not been accepted yet.
    #[snafu(display("base revision {base} does not exist; the newest is {current}"))]
    UnknownBase {
        /// Base of the submission.
        base: Revision,
        /// Newest revision, 0 if there is none.
        current: Revision,
    },
    /// A field of the submission is not acceptable.
    #[snafu(display("{field} has {bytes} bytes, expected 1 to {limit}"))]
    FieldSize {
        /// Name of the field.
        field: &'static str,
        /// Bytes found.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// A stored record is missing or is not what its key or digest says.
    #[snafu(display("the record {key:?} of the configuration is damaged: {detail}"))]
    Damaged {
        /// Key of the record.
        key: String,
        /// What was seen.
        detail: String,
    },
}

impl RevisionsError {
    /// Says what became of the submission that failed with this error.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unknown { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Whether the submission itself is at fault, so that sending it again cannot help.
    #[must_use]
    pub fn is_invalid_submission(&self) -> bool {
        matches!(self, Self::UnknownBase { .. } | Self::FieldSize { .. })
    }
}
