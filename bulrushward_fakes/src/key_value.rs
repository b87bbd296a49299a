//! Fake of the platform's key-value service.

mod endpoint;
mod faults;
mod lease;
mod memory;
mod state;
mod store;

use std::io;

use bulrushward_clients::Entry;

pub use self::{
    faults::{KeyValueCounters, KeyValueFaults},
    memory::MemoryKeyValue,
    state::{KeyValueState, VALUE_LIMIT_BYTES},
};
use crate::fake::{Addresses, Fake};

/// A running key-value service.
///
/// A [`bulrushward_clients::EtcdKeyValue`] connects to its [`Fake::url`].
pub type FakeKeyValue = Fake<KeyValueState>;

impl FakeKeyValue {
    /// Starts the service on free ports of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at(Addresses::default()).await
    }

    /// Starts the service at the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses) -> io::Result<Self> {
        Self::launch(addresses, |_| KeyValueState::new()).await
    }

    /// Returns the entry stored under a key, regardless of faults.
    #[must_use]
    pub fn stored(&self, key: &str) -> Option<Entry> {
        self.state.stored(key)
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counters(&self) -> KeyValueCounters {
        self.state.counters()
    }

    /// Expires all leases immediately.
    pub fn expire_leases(&self) {
        self.state.expire_all();
    }
}
