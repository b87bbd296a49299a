//! The platform's list of VMs: a hint that lags.

use std::{fmt::Debug, net::SocketAddr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What the platform says about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// To be taken away.
    Leaving,
}

/// One VM on which a process of the fleet runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Node id of the process.
    pub node: String,
    /// Where the process answers control exchanges.
    pub control_address: SocketAddr,
    /// What the platform says about the VM.
    pub state: VmState,
}

/// A reading of the VM list that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
#[snafu(display("the VM list at {url} is not available: {detail}"))]
pub struct VmListError {
    /// Where it was asked for.
    pub url: String,
    /// What was seen.
    pub detail: String,
}

/// The platform's list of VMs.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Returns [`VmListError`] if the list cannot be read.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;
}
