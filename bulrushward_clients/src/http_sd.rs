//! Client of a VM list in the Prometheus HTTP service-discovery format.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bulrushward_net::with_causes;
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    answer::{http_client, read_body},
    vm_list::{Vm, VmList, VmListError, VmListSnafu, VmState},
};

/// Largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4_000_000;

/// One group of the list; the fleet asks for one target in each.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetGroup {
    /// Addresses and ports of the group's processes.
    pub targets: Vec<SocketAddr>,
    /// What is known of them.
    pub labels: TargetLabels,
}

/// What the list says of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetLabels {
    /// Node id of the process.
    pub node: String,
    /// State of its VM.
    pub state: VmState,
    /// Failure domain of its VM; the process's own word about it goes first.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub failure_domain: String,
}

/// VM list that is read by HTTP.
#[derive(Debug)]
pub struct HttpVmList {
    client: Client,
    url: String,
    timeout: Duration,
}

impl HttpVmList {
    /// Makes a client of the list at `url`; a reading is given up after `timeout`.
    #[must_use]
    pub fn new(url: &str, timeout: Duration) -> Self {
        Self {
            client: http_client(timeout),
            url: url.to_owned(),
            timeout,
        }
    }

    async fn read(&self) -> Result<Vec<Vm>, String> {
        let answer = self
            .client
            .get(&self.url)
            .send()
            .await
            .map_err(|error| with_causes(&error))?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()));
        }
        let body = read_body(answer, MAX_LIST_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let groups: Vec<TargetGroup> = serde_json::from_slice(&body)
            .map_err(|error| format!("the list is not understood: {error}"))?;
        groups.into_iter().map(vm_of).collect()
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, VmListError> {
        let read = timeout(self.timeout, self.read()).await;
        let read = read.unwrap_or_else(|_elapsed| {
            Err(format!("no answer within {} ms", self.timeout.as_millis()))
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

fn vm_of(group: TargetGroup) -> Result<Vm, String> {
    let [control_address] = group.targets[..] else {
        let count = group.targets.len();
        return Err(format!(
            "node {:?} has {count} targets instead of one",
            group.labels.node
        ));
    };
    Ok(Vm {
        node: group.labels.node,
        control_address,
        state: group.labels.state,
    })
}
