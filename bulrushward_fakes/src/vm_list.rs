//! Stand-in for the platform's VM list.

use std::{
    io,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bulrushward_clients::TargetGroup;
use salvo::{Request, Response, async_trait, http::Method};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    fake::{Addresses, Fake, FakeState},
    faults::Faults,
    http::{Endpoint, Failure, Refusal, ResponseFault, read_json, write_json},
};

/// Faults of a VM list that runs.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Serves the list as it was when this began.
    pub stale: bool,
    /// Time before an answer, or until this changes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Damages every answer.
    pub answer: Option<ResponseFault>,
}

/// State of a VM list.
#[derive(Debug)]
pub struct VmListState {
    lists: Mutex<Lists>,
    faults: Faults<VmListFaults>,
}

#[derive(Debug)]
struct Lists {
    source: Source,
    /// What is served while the list is stale.
    stale: Option<Vec<TargetGroup>>,
}

/// Where the list comes from.
#[derive(Clone, Debug)]
enum Source {
    /// Read anew for every call.
    File(PathBuf),
    /// Set while running.
    Memory(Vec<TargetGroup>),
}

/// A running VM list; [`Fake::url`] is for [`bulrushward_clients::HttpVmList`].
pub type FakeVmList = Fake<VmListState>;

impl FakeVmList {
    /// Starts an empty list on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(Addresses::default(), None).await
    }

    /// Starts a list at set addresses; a file is read anew for every call.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses, file: Option<PathBuf>) -> io::Result<Self> {
        let source = file.map_or_else(|| Source::Memory(Vec::new()), Source::File);
        let lists = Mutex::new(Lists {
            source,
            stale: None,
        });
        Self::launch(addresses, |_| VmListState {
            lists,
            faults: Faults::default(),
        })
        .await
    }

    /// Replaces the list.
    pub fn set(&self, groups: Vec<TargetGroup>) {
        self.state.set(groups);
    }
}

impl FakeState for VmListState {
    type Faults = VmListFaults;

    fn faults(&self) -> &Faults<VmListFaults> {
        &self.faults
    }
}

#[async_trait]
impl Endpoint for Arc<VmListState> {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/" | "/list") => {
                self.faults.pause(|faults| faults.slow).await;
                write_json(res, self.read().await?)
            }
            (&Method::PUT, "/list") => {
                let groups: Vec<TargetGroup> = read_json(req).await?;
                self.set(groups);
                write_json(res, "set")
            }
            _ => Err(Refusal::unknown_path(req).into()),
        }
    }

    fn answer_fault(&self) -> Option<ResponseFault> {
        self.faults.get().answer
    }
}

impl VmListState {
    fn set(&self, groups: Vec<TargetGroup>) {
        let stale = self.faults.get().stale;
        let mut lists = self.lists();
        let old = std::mem::replace(&mut lists.source, Source::Memory(groups));
        if !stale {
            lists.stale = None;
        } else if let (None, Source::Memory(old)) = (&lists.stale, old) {
            lists.stale = Some(old);
        }
    }

    async fn read(&self) -> Result<Vec<TargetGroup>, Refusal> {
        let is_stale = self.faults.get().stale;
        let (source, stale) = {
            let lists = self.lists();
            (lists.source.clone(), lists.stale.clone())
        };
        if let (true, Some(groups)) = (is_stale, stale) {
            return Ok(groups);
        }
        let groups = read_source(source).await?;
        self.lists().stale = is_stale.then(|| groups.clone());
        Ok(groups)
    }

    fn lists(&self) -> MutexGuard<'_, Lists> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_source(source: Source) -> Result<Vec<TargetGroup>, Refusal> {
    let path = match source {
        Source::Memory(groups) => return Ok(groups),
        Source::File(path) => path,
    };
    let refusal =
        |detail: String| Refusal::internal(format!("list file {}: {detail}", path.display()));
    let text = tokio::fs::read(&path)
        .await
        .map_err(|error| refusal(error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| refusal(error.to_string()))
}
