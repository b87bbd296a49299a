//! By what the body of a response ended, and whether that shows that it is complete.
//!
//! Handles: processes that are killed or exit while they send a body. Their system closes their connections in order, as
//! a complete body without a length and without chunks ends.

use strum::IntoStaticStr;

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By closing the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a body with this length and transfer coding.
    #[must_use]
    pub fn of(len: Option<u64>, is_chunked: bool) -> Self {
        match len {
            Some(_) => Self::Length,
            None if is_chunked => Self::Chunked,
            None => Self::UntilClose,
        }
    }
}

/// What is known of the process that sent a body, after it closed the connection.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum SenderState {
    /// It runs.
    Alive,
    /// It was killed, or exited.
    Gone,
    /// Nothing is known.
    Unknown,
}

/// A connection that carries nothing, as it was when the body ended and shortly afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Witness {
    /// The process that accepted it before the body ended holds it open.
    Held,
    /// It was closed together with the connection that carried the body, or refused after the head had arrived.
    Closed,
    /// None was open when the body ended, or the server closes such connections by itself.
    None,
}

impl SenderState {
    /// Returns what a connection from before the end of the body tells, and one that was opened after it.
    ///
    /// `is_accepted` is `None` if no connection could be tried or nothing answered. Only a connection from before the end
    /// tells the process from another one that was started at once.
    #[must_use]
    pub fn from_evidence(witness: Witness, is_accepted: Option<bool>) -> Self {
        match (witness, is_accepted) {
            (Witness::Closed, _) | (_, Some(false)) => Self::Gone,
            (Witness::Held, _) | (Witness::None, Some(true)) => Self::Alive,
            (Witness::None, None) => Self::Unknown,
        }
    }
}

/// Whether all of a body has arrived.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyEnd {
    /// All of it has.
    Complete,
    /// Some of it may be missing.
    Cut,
}

/// Judges a body that has ended without an error.
///
/// A length or a last chunk is proof, as HTTP libraries report its absence as an error.
#[must_use]
pub fn judge(framing: Framing, sender: SenderState) -> BodyEnd {
    match (framing, sender) {
        (Framing::Length | Framing::Chunked, _) | (Framing::UntilClose, SenderState::Alive) => {
            BodyEnd::Complete
        }
        (Framing::UntilClose, SenderState::Gone | SenderState::Unknown) => BodyEnd::Cut,
    }
}
