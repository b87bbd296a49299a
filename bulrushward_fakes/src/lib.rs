//! Test doubles of the external systems that the fleet depends on; for tests and the demo only.

mod crash;
mod engine;
mod fake;
mod faults;
mod http;
mod key_value;
mod plain;
mod proxy;
mod vm_list;

pub use crash::OnCrash;
pub use engine::{
    CacheEvent, ChatMessage, EngineFaults, EngineLoad, EngineOrder, EngineRole, EngineSettings,
    EngineState, FakeEngine, OrderRequest, OrdersState, completion_tokens, render_prompt,
};
pub use fake::{Addresses, Fake, FakeState, FaultRequest};
pub use faults::Faults;
pub use http::ResponseFault;
pub use key_value::{
    FakeKeyValue, KeyValueCounters, KeyValueFaults, KeyValueState, MemoryKeyValue,
    VALUE_LIMIT_BYTES,
};
pub use plain::{
    Action, CrashPoint, Execution, FakePlain, PlainFaults, PlainResponse, PlainSettings, PlainState,
};
pub use proxy::{Direction, FaultyProxy, NetworkFault};
pub use vm_list::{FakeVmList, VmListFaults, VmListState};
