//! Suspicions against members that could not be reached, before their heartbeats time out.

use std::time::{Duration, Instant};

use bulrushward_protocol::{MemberState, NodeId, Suspicion};

use super::{Entry, MemberTable, dissemination::dissemination_limit};

/// Peers that must suspect a member before it counts as unreachable.
///
/// A single process with a broken network suspects all others, which must not convince its peers.
const SUSPECTING_PEERS: usize = 2;
/// Largest number of suspicions in one exchange; each takes about 25 bytes.
const MAX_SUSPICIONS_PER_EXCHANGE: usize = 8;

/// Time for which direct contact with a member overrides the suspicions of peers.
///
/// Within this time, the member refutes the suspicions with a newer version.
const DIRECT_CONTACT_VALIDITY: Duration = Duration::from_secs(10);

/// Suspicions against a member until a newer version of it is received.
#[derive(Debug, Default)]
pub(super) struct SuspicionState {
    /// Newest version of the member that some process could not reach.
    version: u64,
    /// Whether this process could not reach the member.
    is_unreachable: bool,
    /// Peers that suspect the member, at most [`SUSPECTING_PEERS`].
    suspecting_peers: Vec<NodeId>,
    /// Latest direct contact since the suspicion; the suspicions of peers remain until they are
    /// refuted.
    last_direct_contact: Option<Instant>,
    /// Number of exchanges that included the suspicion.
    times_sent: u32,
}

impl SuspicionState {
    /// Returns whether the member counts as unreachable.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        let was_contacted = self
            .last_direct_contact
            .is_some_and(|at| now.saturating_duration_since(at) < DIRECT_CONTACT_VALIDITY);
        !was_contacted && (self.is_unreachable || self.suspecting_peers.len() >= SUSPECTING_PEERS)
    }

    /// Returns whether a peer suspects the member and this process has yet to check it.
    pub(super) fn is_unconfirmed(&self) -> bool {
        !self.suspecting_peers.is_empty()
            && !self.is_unreachable
            && self.last_direct_contact.is_none()
            && self.suspecting_peers.len() < SUSPECTING_PEERS
    }

    /// Records that this process could not reach the member at this version.
    pub(super) fn mark_unreachable(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.is_unreachable = true;
        self.last_direct_contact = None;
    }

    /// Records direct contact with the member.
    pub(super) fn record_direct_contact(&mut self, now: Instant) {
        if !self.is_empty() {
            self.is_unreachable = false;
            self.last_direct_contact = Some(now);
        }
    }

    /// Clears the suspicions if a version is newer than the suspected one; returns whether it did.
    pub(super) fn refute(&mut self, version: u64) -> bool {
        let refuted = !self.is_empty() && version > self.version;
        if refuted {
            *self = Self::default();
        }
        refuted
    }

    fn is_empty(&self) -> bool {
        !self.is_unreachable
            && self.last_direct_contact.is_none()
            && self.suspecting_peers.is_empty()
    }

    fn add_suspecting_peer(&mut self, peer: &NodeId, version: u64) {
        self.version = self.version.max(version);
        if self.suspecting_peers.len() < SUSPECTING_PEERS && !self.suspecting_peers.contains(peer) {
            self.suspecting_peers.push(peer.clone());
        }
    }
}

impl MemberTable {
    /// Returns the suspicions for an exchange with a peer, least often sent first.
    ///
    /// A suspicion against the peer itself is always included, so that the peer can refute it.
    pub fn outgoing_suspicions(&mut self, peer: Option<&str>, now: Instant) -> Vec<Suspicion> {
        let heartbeat_timeout = self.heartbeat_timeout();
        let limit = dissemination_limit(self.len());
        let mut order: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| now.saturating_duration_since(entry.received) < heartbeat_timeout)
            .filter(|entry| entry.record.state != MemberState::Left)
            .filter_map(|entry| {
                let suspicion = &entry.suspicion;
                let is_other = Some(entry.record.node.as_str()) != peer;
                let is_due = if is_other {
                    suspicion.is_suspect(now) && suspicion.times_sent < limit
                } else {
                    !suspicion.is_empty() && suspicion.version >= entry.record.version
                };
                is_due.then_some(((is_other, suspicion.times_sent), entry))
            })
            .collect();
        order.sort_unstable_by(|(a_order, a), (b_order, b)| {
            a_order
                .cmp(b_order)
                .then_with(|| a.record.node.cmp(&b.record.node))
        });
        order.truncate(MAX_SUSPICIONS_PER_EXCHANGE);
        order
            .into_iter()
            .map(|(_, entry)| outgoing_suspicion(entry))
            .collect()
    }

    /// Merges the suspicions of a peer; returns whether a member has become unreachable.
    pub fn merge_suspicions(
        &mut self,
        peer: &NodeId,
        suspicions: &[Suspicion],
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for suspicion in suspicions {
            if suspicion.node == self.own.node {
                self.refute_own(suspicion, now);
            } else if let Some(entry) = self.entries.get_mut(&suspicion.node) {
                changed |= entry.merge_suspicion(peer, suspicion, now);
            }
        }
        changed
    }

    /// Raises the version of this process above the suspected one, which refutes the suspicion.
    fn refute_own(&mut self, suspicion: &Suspicion, now: Instant) {
        let refutes = suspicion.incarnation == self.own.incarnation
            && suspicion.version >= self.own.version
            && suspicion.version < u64::MAX;
        if refutes {
            self.own.version = suspicion.version;
            self.update_own(now, |_| {});
        }
    }
}

impl Entry {
    /// Merges the suspicion of a peer; returns whether the member has become unreachable.
    fn merge_suspicion(&mut self, peer: &NodeId, suspicion: &Suspicion, now: Instant) -> bool {
        let known = &self.record;
        if suspicion.incarnation != known.incarnation {
            return false;
        }
        if suspicion.version < known.version {
            // The peer and those that agree with it have not received the newest version yet.
            self.dissemination.expedite();
            return false;
        }
        let before = self.suspicion.is_suspect(now);
        self.suspicion.add_suspecting_peer(peer, suspicion.version);
        !before && self.suspicion.is_suspect(now)
    }
}

fn outgoing_suspicion(entry: &mut Entry) -> Suspicion {
    entry.suspicion.times_sent += 1;
    Suspicion {
        node: entry.record.node.clone(),
        incarnation: entry.record.incarnation,
        version: entry.suspicion.version.max(entry.record.version),
    }
}
