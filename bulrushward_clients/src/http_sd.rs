//! Client of a VM list in the Prometheus HTTP service-discovery format.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bulrushward_net::with_causes;
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    response::{http_client, read_body},
    vm_list::{Vm, VmList, VmListError, VmListSnafu, VmState},
};

/// Maximum size of a list in bytes.
const MAX_LIST_BYTES: usize = 4_000_000;

/// One group of the list, which must have exactly one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetGroup {
    /// Addresses and ports of the group's processes.
    pub targets: Vec<SocketAddr>,
    /// Labels of the group.
    pub labels: TargetLabels,
}

/// Labels of a process in the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetLabels {
    /// Node id of the process.
    pub node: String,
    /// State of its VM.
    pub state: VmState,
    /// Failure domain of its VM; one that the process itself reports takes precedence.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub failure_domain: String,
}

/// VM list that is read over HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    client: Client,
    url: String,
    timeout: Duration,
}

impl HttpVmList {
    /// Creates a client of the list at `url`; a request fails after `timeout`.
    #[must_use]
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self {
            client: http_client(timeout),
            url: url.to_owned(),
            timeout,
        }
    }

    async fn read(&self) -> Result<Vec<Vm>, String> {
        let response = self
            .client
            .get(&self.url)
            .send()
            .await
            .map_err(|error| with_causes(&error))?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let body = read_body(response, MAX_LIST_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let groups: Vec<TargetGroup> = serde_json::from_slice(&body)
            .map_err(|error| format!("the list could not be parsed: {error}"))?;
        groups.into_iter().map(to_vm).collect()
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let read = timeout(self.timeout, self.read()).await;
        let read = read.unwrap_or_else(|_elapsed| {
            Err(format!(
                "no response within {} ms",
                self.timeout.as_millis()
            ))
        });
        read.map_err(|detail| {
            VmListSnafu {
                url: &self.url,
                detail,
            }
            .build()
        })
    }
}

fn to_vm(group: TargetGroup) -> Result<Vm, String> {
    let [control_address] = group.targets[..] else {
        let count = group.targets.len();
        return Err(format!(
            "node {:?} has {count} targets, expected 1",
            group.labels.node
        ));
    };
    Ok(Vm {
        node: group.labels.node,
        control_address,
        state: group.labels.state,
    })
}
