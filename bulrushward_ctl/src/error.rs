//! Errors of the commands.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// A failed command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    /// A setting is invalid or missing.
    #[snafu(display("{message}"))]
    Setting {
        /// Names the setting, the value found and the value expected.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("file {path:?} could not be read: {source}"))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No router could handle the request.
    #[snafu(display(
        "no router could handle the request ({detail}); check --router or try again later"
    ))]
    NoRouter {
        /// Failure of each router.
        detail: String,
    },
    /// No router confirmed or rejected a submission.
    #[snafu(display(
        "it is not known whether the change was accepted ({detail}); run the same command again: \
         the change is accepted at most once"
    ))]
    Unknown {
        /// Failure of each router.
        detail: String,
    },
    /// A router refused the request.
    #[snafu(display("router {router} refused the request with status {status}: {message}"))]
    Refused {
        /// Address of the router.
        router: String,
        /// HTTP status.
        status: u16,
        /// Error message of the router.
        message: String,
    },
    /// The HTTP client could not be set up.
    #[snafu(display("the HTTP client could not be set up: {source}"))]
    Client {
        /// Error of the client.
        source: reqwest::Error,
    },
    /// The active configuration text cannot be edited as requested.
    #[snafu(display("{message}"))]
    Edit {
        /// Describes the problem and what to do.
        message: String,
    },
}
