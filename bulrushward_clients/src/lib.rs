//! Clients of the platform's key-value service and VM list.

mod etcd;
pub mod gateway;
mod http_sd;
mod key_value;
mod response;
mod vm_list;
mod watch;

pub use etcd::EtcdKeyValue;
pub use http_sd::{HttpVmList, TargetGroup, TargetLabels};
pub use key_value::{CasOutcome, Entry, KeyValue, KvError, Version};
pub use vm_list::{Vm, VmList, VmListError, VmState};
