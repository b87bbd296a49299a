//! Which servers of a service a request may be sent to, and why not to the others.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bulrushward_policy::{
    cold_server::{Room, UNIT_WINDOW},
    server_limit::UnitRoom,
    server_reports::Withheld,
    server_scope::{Exclusion, ServerScope},
};

use super::NoServer;
use crate::{cold_servers, routed_request::RoutedRequest, servers::Server, shared::Shared};

/// Whether a server may get a request; the later ones only if there is no earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Access {
    Usable,
    /// It is only assumed to be cold, and this router has used up what it may send there.
    AssumedCold,
    /// It is cold, and this router has used up what it may send there.
    UsedUp,
    /// It is in backoff, or another server has its address.
    Avoided,
    /// As `Avoided`, and it is cold and this router has used up what it may send there.
    AvoidedUsedUp,
    /// It wants no requests for a while.
    Withheld,
    /// The stream began at another version.
    OtherVersion,
    /// The stream began at a version that is not known.
    VersionUnknown,
    Excluded,
    /// Its failure domain is emptied.
    Emptied,
}

impl Access {
    /// Returns whether the load of a server with this access counts in the mean of its service.
    pub(super) fn counts_in_mean(self) -> bool {
        match self {
            Self::Usable
            | Self::AssumedCold
            | Self::UsedUp
            | Self::OtherVersion
            | Self::VersionUnknown
            | Self::Emptied => true,
            Self::Avoided | Self::AvoidedUsedUp | Self::Withheld | Self::Excluded => false,
        }
    }
}

/// The servers of a service as a request may use them.
#[derive(Debug)]
pub(super) struct Candidates {
    /// Access to each server.
    pub(super) access: Vec<Access>,
    /// Servers to select from.
    pub(super) best: Access,
    /// Whether servers were passed over because this router has used up what it may send there.
    pub(super) has_used_up: bool,
    /// Requests that this router may send to the usable servers, if all of them state to be cold.
    cold_units: Option<usize>,
    /// Whether servers were passed over for a pause that they asked for.
    pub(super) has_paused: bool,
    /// Whether servers were passed over because this router has no unit of their limits.
    pub(super) has_limited: bool,
    /// Time until this router may send to one of the servers that were passed over.
    next: Duration,
}

impl Candidates {
    pub(super) fn new(
        shared: &Shared,
        request: &RoutedRequest,
        scope: &ServerScope,
        servers: &[Arc<Server>],
        now: Instant,
    ) -> Self {
        let replaced = shared.replaced_servers();
        let emptied = shared.emptied_domains();
        let reports = shared.server_reports();
        let (mut cold_units, mut has_used_up, mut next) = (Some(0), false, Duration::MAX);
        let (mut has_paused, mut has_limited) = (false, false);
        let mut rng = rand::rng();
        let mut access_of = |server: &Server| {
            if emptied.contains(&server.record.failure_domain) {
                return Access::Emptied;
            }
            match is_candidate(shared, request, scope, server) {
                Ok(true) => {}
                Ok(false) | Err(Exclusion::Tried) => return Access::Excluded,
                Err(Exclusion::OtherVersion) => return Access::OtherVersion,
                Err(Exclusion::VersionUnknown) => return Access::VersionUnknown,
            }
            match reports.withheld(server.hash, now) {
                Some(Withheld::Leaving) => return Access::Excluded,
                // It is tried rather than refusing requests outright.
                Some(Withheld::SaidToLeave) => return Access::Avoided,
                Some(Withheld::Paused { rest }) => {
                    has_paused = true;
                    next = next.min(rest);
                    return Access::Withheld;
                }
                None => {}
            }
            let mut state = server.state();
            let position = || shared.position(server, &mut state);
            let units = reports.unit_room(server.hash, position, &mut rng, now);
            if let Some(UnitRoom::UsedUp { next: due }) = units {
                has_limited = true;
                next = next.min(due);
                return Access::Withheld;
            }
            let is_avoided =
                state.health.is_backing_off(now) || replaced.contains(server.hash, now);
            let room = cold_servers::room(shared, &request.service, server, &mut state, now);
            match room {
                Room::UsedUp { next: due, .. } => {
                    has_used_up = true;
                    next = next.min(due);
                }
                Room::Cold { free } if !is_avoided && state.cold.is_stated(now) => {
                    cold_units = cold_units.map(|units| units + free);
                }
                Room::Cold { .. } | Room::Unlimited if !is_avoided => cold_units = None,
                Room::Cold { .. } | Room::Unlimited => {}
            }
            match room {
                Room::UsedUp { is_assumed, .. } => match (is_avoided, is_assumed) {
                    (false, true) => Access::AssumedCold,
                    (false, false) => Access::UsedUp,
                    (true, true) => Access::Avoided,
                    (true, false) => Access::AvoidedUsedUp,
                },
                Room::Cold { .. } | Room::Unlimited if is_avoided => Access::Avoided,
                Room::Cold { .. } | Room::Unlimited => Access::Usable,
            }
        };
        let access: Vec<_> = servers.iter().map(|server| access_of(server)).collect();
        Self {
            best: access.iter().copied().min().unwrap_or(Access::Excluded),
            access,
            has_used_up,
            cold_units,
            has_paused,
            has_limited,
            next,
        }
    }

    /// Returns whether no warm server can be used and cold ones limit what is sent.
    pub(super) fn is_scarce(&self) -> bool {
        self.best == Access::UsedUp || (self.best == Access::Usable && self.cold_units.is_some())
    }

    /// Checks that there is a server for a request that has to leave `reserved` units of cold servers to others.
    pub(super) fn check(&self, reserved: usize) -> Result<(), NoServer> {
        match self.best {
            Access::Usable if self.cold_units.is_some_and(|units| units <= reserved) => {
                Err(NoServer::Cold { next: UNIT_WINDOW })
            }
            Access::Usable | Access::AssumedCold | Access::Avoided => Ok(()),
            Access::UsedUp | Access::AvoidedUsedUp => Err(NoServer::Cold { next: self.next }),
            Access::Withheld => Err(NoServer::Withheld { next: self.next }),
            Access::OtherVersion => Err(NoServer::OtherVersion),
            Access::VersionUnknown => Err(NoServer::VersionUnknown),
            Access::Excluded => Err(NoServer::NoneUsable),
            Access::Emptied => Err(NoServer::Emptied),
        }
    }
}

/// Returns whether a server may be selected if it is healthy.
///
/// # Errors
///
/// Returns the [`Exclusion`] if the scope of the request excludes it.
pub(super) fn is_candidate(
    shared: &Shared,
    request: &RoutedRequest,
    scope: &ServerScope,
    server: &Server,
) -> Result<bool, Exclusion> {
    scope.check(&server.id, server.version)?;
    let limit = request.service.connection_limit;
    // Only a fleet that is larger than the limit divides it into shares of which some are zero.
    let may_connect =
        || limit > shared.routers() || shared.connection_share(limit, server.hash) > 0;
    Ok(!server.record.is_leaving && may_connect())
}

/// Returns whether a server may be used by any request of this router, as far as it knows.
pub(super) fn is_usable(shared: &Shared, server: &Server, now: Instant) -> bool {
    let withheld = shared.server_reports().withheld(server.hash, now);
    withheld.is_none() && is_sound(shared, server, now)
}

/// Returns whether a server may be used by requests of other routers, as far as this one knows.
///
/// A pause concerns the router that was asked for it only.
pub(crate) fn is_lendable(shared: &Shared, server: &Server, now: Instant) -> bool {
    let withheld = shared.server_reports().withheld(server.hash, now);
    matches!(withheld, None | Some(Withheld::Paused { .. })) && is_sound(shared, server, now)
}

/// Returns whether a server is registered to take requests, and is neither emptied, replaced nor in backoff.
fn is_sound(shared: &Shared, server: &Server, now: Instant) -> bool {
    let domain = &server.record.failure_domain;
    let is_emptied = shared.emptied_domains().contains(domain);
    let is_replaced = shared.replaced_servers().contains(server.hash, now);
    let is_backing_off = server.state().health.is_backing_off(now);
    !(server.record.is_leaving || is_emptied || is_replaced || is_backing_off)
}
