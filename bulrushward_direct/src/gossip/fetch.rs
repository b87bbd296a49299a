//! Fetching the fleet state from a peer.

use std::{
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::task::JoinSet;
use tracing::info;

use super::{Gossip, message::Peer};
use crate::{
    call,
    fleet_state::{FleetStateSnapshot, StateVersion},
    model::ConfigVersion,
    store_watch::COALESCING_FRACTION,
};

/// Path at which a router serves its fleet state.
///
/// The configuration version that the requesting router has is appended.
pub(crate) const FLEET_STATE_PATH: &str = "/fleet-state/";
/// Time until a peer begins to send its snapshot, and in which each part of it arrives.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Fraction of the propagation limit for which a router that is behind waits for its own store.
///
/// After that it fetches the state from a peer. The wait exceeds the time for which changes are coalesced.
const STORE_PREFERENCE_FRACTION: f64 = COALESCING_FRACTION + 0.1;

/// The fetch of a peer's state, beside the exchange of datagrams, as it may take seconds on a thin link.
#[derive(Debug, Default)]
pub(super) struct StateFetch {
    /// At most one.
    running: JoinSet<FetchedState>,
    /// Whether a complete snapshot was fetched since the start.
    has_initial_state: bool,
}

/// The state of a peer, or why there is none.
#[derive(Debug)]
pub(super) struct FetchedState {
    from: SocketAddr,
    /// Whether the snapshot includes all that the peer knows.
    is_complete: bool,
    result: Result<FleetStateSnapshot, String>,
}

impl StateFetch {
    /// Begins to fetch the state of a peer, without its configuration if `known_config` is as new.
    fn begin(&mut self, from: SocketAddr, known_config: Option<ConfigVersion>, is_complete: bool) {
        self.running.spawn(async move {
            FetchedState {
                from,
                is_complete,
                result: fetch(from, known_config).await,
            }
        });
    }

    /// Waits until a fetch has ended.
    pub(super) async fn ended(&mut self) -> FetchedState {
        loop {
            match self.running.join_next().await {
                Some(Ok(fetched)) => return fetched,
                Some(Err(error)) => info!(event = "fetch-failed", %error),
                None => pending().await,
            }
        }
    }
}

impl Gossip {
    /// Fetches the state from a peer that is ahead, unless this router's store may still deliver it, and from any peer once
    /// after the start.
    pub(super) fn catch_up(&mut self, now: Instant) {
        let own = self.fleet_state.version();
        let peer_versions = || self.fresh_peers().map(|peer| peer.message.state_version);
        let is_config_behind = peer_versions().any(|peer| peer.config > own.config);
        let are_servers_behind = peer_versions().any(|peer| peer.has_newer_servers_than(&own));
        let store_state = &self.shared.store_state;
        store_state.set_behind(is_config_behind, are_servers_behind);
        let may_wait_for_store = store_state.is_available() && own.config.is_some();
        let config_lag = self.config_lag.observe(own.config, is_config_behind, now);
        // A second copy would share the link with the one that is arriving.
        let config_lag = config_lag.filter(|_| !store_state.transfers.is_any_arriving());
        let servers_lag = self
            .servers_lag
            .observe(own.revision, are_servers_behind, now);
        if !self.state_fetch.running.is_empty() {
            return;
        }
        let lag = config_lag.max(servers_lag);
        let is_due = lag.is_some_and(|lag| !may_wait_for_store || lag >= self.store_grace_period());
        // A router that has just started lacks more than its version tells.
        let is_complete = !self.state_fetch.has_initial_state;
        let from = if is_due {
            self.most_advanced_peer(config_lag >= servers_lag)
        } else if is_complete {
            let mut peers = self.fresh_peers();
            peers.next().map(|peer| peer.message.fleet_state_address)
        } else {
            None
        };
        if let Some(from) = from {
            let known_config = own.config.filter(|_| !is_complete);
            self.state_fetch.begin(from, known_config, is_complete);
        }
    }

    /// Merges the state of a peer.
    pub(super) fn apply_fetched(&mut self, fetched: FetchedState) {
        let FetchedState {
            from,
            is_complete,
            result,
        } = fetched;
        match result {
            Ok(snapshot) => {
                if is_complete {
                    self.state_fetch.has_initial_state = true;
                    info!(event = "peer-copied", %from, placements = snapshot.session_locations.len());
                }
                self.fleet_state.merge(snapshot);
            }
            Err(error) => info!(event = "fetch-failed", %from, error),
        }
    }

    fn store_grace_period(&self) -> Duration {
        let settings = self.shared.settings();
        let limit = settings.leaving_known.min(settings.config_known);
        limit.mul_f64(STORE_PREFERENCE_FRACTION)
    }

    /// Returns the fleet state address of the peer with the newest configuration, or else the newest servers.
    fn most_advanced_peer(&self, by_config: bool) -> Option<SocketAddr> {
        let rank = |peer: &&Peer| {
            let StateVersion {
                config, revision, ..
            } = peer.message.state_version;
            (config.filter(|_| by_config), revision, config)
        };
        let newest = self.fresh_peers().max_by_key(rank)?;
        Some(newest.message.fleet_state_address)
    }
}

async fn fetch(
    from: SocketAddr,
    known_config: Option<ConfigVersion>,
) -> Result<FleetStateSnapshot, String> {
    let known_config = known_config.map_or_else(String::new, |version| version.to_string());
    let path = format!("{FLEET_STATE_PATH}{known_config}");
    let res = call::get(from, &path, FETCH_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    if res.status() != StatusCode::OK {
        return Err(format!("status {}", res.status()));
    }
    postcard::from_bytes(res.body()).map_err(|error| format!("unreadable snapshot: {error}"))
}
