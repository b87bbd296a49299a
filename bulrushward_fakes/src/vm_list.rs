//! Fake of the platform's VM list.

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
    http::{Endpoint, ErrorResponse, Failure, ResponseFault, read_json, write_json},
};

/// Faults of a running VM list.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Serves the list as it was when this fault was set; a list file as of the first call after that.
    pub stale: bool,
    /// Delay before a response; a change of this value ends the wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Corrupts every response.
    pub answer: Option<ResponseFault>,
}

/// State of a VM list.
#[derive(Debug)]
pub struct VmListState {
    list_state: Mutex<ListState>,
    faults: Faults<VmListFaults>,
}

#[derive(Debug)]
struct ListState {
    source: Source,
    /// List that is served while the fault `stale` is set.
    stale: Option<Vec<TargetGroup>>,
}

/// Source of the list.
#[derive(Clone, Debug)]
enum Source {
    /// File that is read again for every call.
    File(PathBuf),
    /// List that is set at run time.
    Memory(Vec<TargetGroup>),
}

/// A running VM list.
///
/// A [`bulrushward_clients::HttpVmList`] connects to its [`Fake::url`].
pub type FakeVmList = Fake<VmListState>;

impl FakeVmList {
    /// Starts with an empty list on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(Addresses::default(), None).await
    }

    /// Starts at the given addresses; a file is read again for every call.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses, file: Option<PathBuf>) -> io::Result<Self> {
        let source = file.map_or_else(|| Source::Memory(Vec::new()), Source::File);
        let list_state = Mutex::new(ListState {
            source,
            stale: None,
        });
        Self::launch(addresses, |_| VmListState {
            list_state,
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
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/" | "/list") => {
                self.faults.delay(|faults| faults.slow).await;
                write_json(res, self.read().await?)
            }
            (&Method::PUT, "/list") => {
                let groups: Vec<TargetGroup> = read_json(req).await?;
                self.set(groups);
                write_json(res, "set")
            }
            _ => Err(ErrorResponse::unknown_path(req).into()),
        }
    }

    fn response_fault(&self) -> Option<ResponseFault> {
        self.faults.get().answer
    }
}

impl VmListState {
    fn set(&self, groups: Vec<TargetGroup>) {
        let stale = self.faults.get().stale;
        let mut list_state = self.list_state();
        let old = std::mem::replace(&mut list_state.source, Source::Memory(groups));
        if !stale {
            list_state.stale = None;
        } else if let (None, Source::Memory(old)) = (&list_state.stale, old) {
            list_state.stale = Some(old);
        }
    }

    async fn read(&self) -> Result<Vec<TargetGroup>, ErrorResponse> {
        let is_stale = self.faults.get().stale;
        let (source, stale) = {
            let list_state = self.list_state();
            (list_state.source.clone(), list_state.stale.clone())
        };
        if let (true, Some(groups)) = (is_stale, stale) {
            return Ok(groups);
        }
        let groups = read_source(source).await?;
        self.list_state().stale = is_stale.then(|| groups.clone());
        Ok(groups)
    }

    fn list_state(&self) -> MutexGuard<'_, ListState> {
        self.list_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn read_source(source: Source) -> Result<Vec<TargetGroup>, ErrorResponse> {
    let path = match source {
        Source::Memory(groups) => return Ok(groups),
        Source::File(path) => path,
    };
    let error_response =
        |detail: String| ErrorResponse::internal(format!("list file {}: {detail}", path.display()));
    let text = tokio::fs::read(&path)
        .await
        .map_err(|error| error_response(error.to_string()))?;
    serde_json::from_slice(&text).map_err(|error| error_response(error.to_string()))
}
