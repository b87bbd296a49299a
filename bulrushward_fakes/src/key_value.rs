//! Stand-in for the platform's key-value service.

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

/// A running key-value service; [`Fake::url`] is for [`bulrushward_clients::EtcdKeyValue`].
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

    /// Starts the service at set addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(addresses: Addresses) -> io::Result<Self> {
        Self::launch(addresses, |_| KeyValueState::new()).await
    }

    /// Returns what is stored under a key, whatever the faults.
    #[must_use]
    pub fn stored(&self, key: &str) -> Option<Entry> {
        self.state.stored(key)
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn counters(&self) -> KeyValueCounters {
        self.state.counters()
    }

    /// Lets every lease lapse at once.
    pub fn expire_leases(&self) {
        self.state.lapse_all();
    }
}
