//! Library of the `bulrushwardd` daemon: the router, the agent and their shared control thread.

mod agent;
mod caller_connection;
mod claim_limits;
mod cli;
mod control;
mod daemon;
mod error;
mod event_stream;
mod failpoint;
mod http;
mod http_client;
mod metrics;
mod router;
mod settings;

pub use agent::Agent;
pub use cli::{Command, parse_arguments};
pub use daemon::{run, run_agent, run_router};
pub use error::{DaemonError, SettingError};
pub use router::Router;
pub use settings::{AgentSettings, CommonSettings, RouterSettings};
