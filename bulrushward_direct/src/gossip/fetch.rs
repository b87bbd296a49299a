//! Fetching the fleet state from a peer.

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;

use crate::{call, fleet_state::FleetStateSnapshot, model::ConfigVersion};

/// Path at which a router serves its fleet state.
///
/// The configuration version that the requesting router has is appended.
pub(crate) const FLEET_STATE_PATH: &str = "/fleet-state/";
/// Time until a peer begins to send its snapshot, and in which each part of it arrives.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches the fleet state of a peer, without its configuration if `known_config` is as new.
///
/// # Errors
///
/// Returns the reason why there is no snapshot.
pub(super) async fn fetch(
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
