//! Stand-ins for the outside systems, for tests and the demo only.

mod engine;
mod http;
mod key_value;
mod plain;
mod store;
mod vm_list;

pub use engine::{EngineLoad, EngineSettings, FakeEngine, answer_tokens};
pub use key_value::FakeKeyValue;
pub use plain::{Action, Execution, FakePlain, PlainAnswer};
pub use vm_list::FakeVmList;
