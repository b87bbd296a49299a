//! Errors that end the daemon.

use std::net::SocketAddr;

use bulrushward_clients::KvError;
use bulrushward_transport::TransportError;
use snafu::Snafu;

/// A setting that is missing or has a bad value.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingError {
    /// A required setting has no value.
    #[snafu(display("setting {name} ({variable}) is missing"))]
    Missing {
        /// Flag.
        name: &'static str,
        /// Environment variable.
        variable: &'static str,
    },
    /// A value is not accepted.
    #[snafu(display("setting {name} ({variable}) has value {value:?}, expected {expected}"))]
    Value {
        /// Flag.
        name: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// Value found.
        value: String,
        /// What would have been accepted.
        expected: &'static str,
    },
}

/// Why the daemon could not start or go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The threads could not be started.
    #[snafu(display("the traffic threads did not start: {source}"))]
    Runtime {
        /// Error of the system.
        source: std::io::Error,
    },
    /// A listener could not be bound.
    #[snafu(display("the {listener} listener did not start at {address}: {detail}"))]
    Listen {
        /// Which listener.
        listener: &'static str,
        /// Address asked for.
        address: SocketAddr,
        /// Error of the library.
        detail: String,
    },
    /// The control listener could not be bound.
    #[snafu(display("the control listener did not start: {source}"))]
    Control {
        /// Error of the transport.
        source: TransportError,
    },
    /// A client for HTTP could not be built.
    #[snafu(display("the HTTP client did not start: {source}"))]
    Client {
        /// Error of the library.
        source: reqwest::Error,
    },
    /// The client of the platform could not be built.
    #[snafu(display("the client of the platform did not start: {source}"))]
    Platform {
        /// Error of the client.
        source: KvError,
    },
}
