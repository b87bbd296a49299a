//! Errors of the commands.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// A command that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    /// A setting is bad or missing.
    #[snafu(display("{message}"))]
    Setting {
        /// The setting, what was found and what was expected.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("file {path:?} could not be read: {source}"))]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// No router answered.
    #[snafu(display("no router could answer ({detail}); check --router or try again later"))]
    NoRouter {
        /// What was seen of each router.
        detail: String,
    },
    /// No router said whether a submission was accepted.
    #[snafu(display(
        "it is not known whether the change was accepted ({detail}); run the same command again: \
         it is accepted at most once"
    ))]
    Unknown {
        /// What was seen of each router.
        detail: String,
    },
    /// A router refused the request.
    #[snafu(display("router {router} refused the request with status {status}: {message}"))]
    Refused {
        /// Address of the router.
        router: String,
        /// HTTP status.
        status: u16,
        /// Message of the router.
        message: String,
    },
    /// The client could not be set up.
    #[snafu(display("the HTTP client could not be set up: {source}"))]
    Client {
        /// Error of the client.
        source: reqwest::Error,
    },
    /// The text in force cannot be edited as asked.
    #[snafu(display("{message}"))]
    Edit {
        /// What stands in the way and what to do.
        message: String,
    },
}
