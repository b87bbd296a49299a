//! The turns of this router at checking the store.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bulrushward_policy::fleet_turns::FleetTurns;
use xxhash_rust::xxh3::Xxh3;

/// Interval at which some router of the fleet checks the store.
const TURNS: FleetTurns = FleetTurns::new(Duration::from_millis(400));

/// The routers among which the turns are dealt, by hashes of their addresses.
#[derive(Debug, Default)]
pub(crate) struct CheckTurns {
    fleet: Mutex<Fleet>,
}

#[derive(Debug, Default)]
struct Fleet {
    own: u64,
    members: Vec<u64>,
}

impl CheckTurns {
    /// Sets this router and the others that are alive.
    pub(crate) fn set_routers(&self, own: SocketAddr, peers: &[SocketAddr]) {
        let own = hash(own);
        let mut members: Vec<_> = peers.iter().map(|peer| hash(*peer)).collect();
        members.push(own);
        members.sort_unstable();
        members.dedup();
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        *fleet = Fleet { own, members };
    }

    /// Returns the time until this router's next turn.
    pub(crate) fn until_next(&self) -> Duration {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        TURNS.until_next(fleet.own, &fleet.members, now.unwrap_or_default())
    }
}

fn hash(address: SocketAddr) -> u64 {
    let mut hasher = Xxh3::new();
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}
