//! The routers of the fleet as this router knows them, for dividing shared allowances.

use std::net::SocketAddr;

use bulrushward_policy::fleet_share::{FleetMembers, FleetPosition};
use bulrushward_protocol::ServerKey;
use xxhash_rust::xxh3::xxh3_64;

/// The routers that share the allowances of cold servers and the limits that servers name, and probe barred content.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    /// Number that differs between all views of this process.
    pub(crate) version: u64,
    /// Hash of this router's address.
    own: u64,
    /// Hashes of the addresses of all routers, including this one.
    members: Vec<u64>,
    /// The addresses in the same order.
    addresses: Vec<SocketAddr>,
    /// Whether the routers have been discovered since the start.
    pub(crate) is_settled: bool,
}

impl FleetView {
    /// Creates the view that follows a previous one.
    pub(crate) fn new(
        own: SocketAddr,
        members: &FleetMembers<SocketAddr>,
        previous: &Self,
    ) -> Self {
        let hash = |address: &SocketAddr| xxh3_64(address.to_string().as_bytes());
        let addresses = members.members();
        Self {
            version: previous.version + 1,
            own: hash(&own),
            members: addresses.iter().map(hash).collect(),
            addresses,
            is_settled: members.is_settled(),
        }
    }

    /// Returns whether this router comes first of all in the order that belongs to `item`.
    pub(crate) fn ranks_first(&self, item: u64) -> bool {
        FleetPosition::ranked(self.own, &self.members, item).rank == 0
    }

    /// Returns the place of this router among those that share a server.
    pub(crate) fn position(&self, server: ServerKey) -> FleetPosition {
        FleetPosition::ranked(self.own, &self.members, server.into())
    }

    /// Returns the routers that come first among those that share a server, at most `count`.
    pub(crate) fn first(&self, server: ServerKey, count: u32) -> Vec<SocketAddr> {
        let order = FleetPosition::order(&self.members, server.into());
        let first = order.into_iter().take(count as usize);
        first.map(|index| self.addresses[index]).collect()
    }
}
