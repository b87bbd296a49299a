//! Clients of the platform: the key-value service and the VM list.

mod key_value;
mod vm_list;

pub use key_value::{CasOutcome, Entry, KeyValue, KvError, Version};
pub use vm_list::{Vm, VmList, VmListError, VmState};
