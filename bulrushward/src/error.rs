//! Errors that end the daemon.

use std::net::SocketAddr;

use bulrushward_clients::KvError;
use bulrushward_transport::TransportError;
use snafu::Snafu;

/// A setting that is missing or has an invalid value.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingError {
    /// A required setting has no value.
    #[snafu(display("setting {name} ({variable}) is missing"))]
    Missing {
        /// Command-line flag.
        name: &'static str,
        /// Environment variable.
        variable: &'static str,
    },
    /// A setting has an invalid value.
    #[snafu(display("setting {name} ({variable}) has value {value:?}, expected {expected}"))]
    InvalidValue {
        /// Command-line flag.
        name: &'static str,
        /// Environment variable.
        variable: &'static str,
        /// The invalid value.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// Error that ends the daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The async runtime or a signal handler could not be set up.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A listener could not be bound.
    #[snafu(display("cannot bind the {listener} listener to {address}: {detail}"))]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        detail: String,
    },
    /// The control listener could not be bound.
    #[snafu(display("cannot bind the control listener: {source}"))]
    Control {
        /// Error of the transport.
        source: TransportError,
    },
    /// A client of the platform's services could not be built.
    #[snafu(display("cannot build the client of the platform: {source}"))]
    Platform {
        /// Error of the client.
        source: KvError,
    },
}
