//! Interface to the platform's list of VMs, which may lag behind the actual state.

use std::{fmt::Debug, net::SocketAddr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// State of a VM, as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// One VM on which a process of the fleet runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Node id of the process.
    pub node: String,
    /// Address at which the process accepts gossip exchanges.
    pub control_address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// A VM list that could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
#[snafu(display("the VM list at {url} could not be read: {detail}"))]
pub struct VmListError {
    /// URL of the list.
    pub url: String,
    /// What went wrong.
    pub detail: String,
}

/// The platform's list of VMs.
#[async_trait]
pub trait VmList: Debug + Send + Sync {
    /// Reads the complete list.
    ///
    /// # Errors
    ///
    /// Returns [`VmListError`] if the list cannot be read.
    async fn list(&self) -> Result<Vec<Vm>, VmListError>;
}
