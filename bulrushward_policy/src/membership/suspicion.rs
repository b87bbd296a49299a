//! Which members are taken for dead before they are silent.

use std::time::{Duration, Instant};

use bulrushward_protocol::{MemberState, NodeId, Suspicion};

use super::{Entry, MemberTable, spread::spread_limit};

/// Peers that must suspect a member before it does not count as answering.
///
/// One process whose network is broken suspects everybody; it must not convince the others.
const SUSPECTING_PEERS: usize = 2;
/// Suspicions that go into one exchange, about 25 bytes each.
const SUSPICIONS_IN_EXCHANGE: usize = 8;

/// Time for which hearing the member itself outweighs what peers say, until it has refuted them.
const ANSWER_COUNTS_FOR: Duration = Duration::from_secs(10);

/// What speaks against a member until a newer version is heard.
#[derive(Debug, Default)]
pub(super) struct Doubt {
    /// Newest version that somebody could not reach.
    version: u64,
    /// Whether this process could not reach the member.
    unreachable: bool,
    /// Peers that suspect the member, at most as many as are needed.
    peers: Vec<NodeId>,
    /// When the member itself was heard since; it must still refute what others believe.
    answered: Option<Instant>,
    /// Exchanges that have carried the suspicion.
    sent: u32,
}

impl Doubt {
    /// Returns whether the member does not count as answering.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        let answered = self
            .answered
            .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_COUNTS_FOR);
        !answered && (self.unreachable || self.peers.len() >= SUSPECTING_PEERS)
    }

    /// Returns whether a peer suspects the member and this process may find out itself.
    pub(super) fn is_open(&self) -> bool {
        !self.peers.is_empty()
            && !self.unreachable
            && self.answered.is_none()
            && self.peers.len() < SUSPECTING_PEERS
    }

    /// Takes in that this process could not reach this version.
    pub(super) fn unreachable(&mut self, version: u64) {
        self.version = self.version.max(version);
        self.unreachable = true;
        self.answered = None;
    }

    /// Takes in that the member itself was heard.
    pub(super) fn answered(&mut self, now: Instant) {
        if !self.is_empty() {
            self.unreachable = false;
            self.answered = Some(now);
        }
    }

    /// Drops all doubt if a version is newer than what is doubted; returns whether it did.
    pub(super) fn refute(&mut self, version: u64) -> bool {
        let refuted = !self.is_empty() && version > self.version;
        if refuted {
            *self = Self::default();
        }
        refuted
    }

    fn is_empty(&self) -> bool {
        !self.unreachable && self.answered.is_none() && self.peers.is_empty()
    }

    fn suspected_by(&mut self, peer: &NodeId, version: u64) {
        self.version = self.version.max(version);
        if self.peers.len() < SUSPECTING_PEERS && !self.peers.contains(peer) {
            self.peers.push(peer.clone());
        }
    }
}

impl MemberTable {
    /// Returns the suspicions for an exchange with a peer, the least sent first.
    ///
    /// A peer that is doubted itself is told always, so that it can refute.
    pub fn outgoing_suspicions(&mut self, peer: Option<&str>, now: Instant) -> Vec<Suspicion> {
        let silent_after = self.heartbeat_timeout();
        let limit = spread_limit(self.len());
        let mut order: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| now.saturating_duration_since(entry.heard) < silent_after)
            .filter(|entry| entry.record.state != MemberState::Left)
            .filter_map(|entry| {
                let doubt = &entry.doubt;
                let others = Some(entry.record.node.as_str()) != peer;
                let due = if others {
                    doubt.is_suspect(now) && doubt.sent < limit
                } else {
                    !doubt.is_empty() && doubt.version >= entry.record.version
                };
                due.then_some(((others, doubt.sent), entry))
            })
            .collect();
        order.sort_unstable_by(|(a, one), (b, two)| {
            a.cmp(b).then_with(|| one.record.node.cmp(&two.record.node))
        });
        order.truncate(SUSPICIONS_IN_EXCHANGE);
        order.into_iter().map(|(_, entry)| tell(entry)).collect()
    }

    /// Takes in the suspicions of a peer; returns whether a member answers no more.
    pub fn merge_suspicions(&mut self, peer: &NodeId, all: &[Suspicion], now: Instant) -> bool {
        let mut changed = false;
        for suspicion in all {
            if suspicion.node == self.own.node {
                self.refute_own(suspicion, now);
            } else if let Some(entry) = self.entries.get_mut(&suspicion.node) {
                changed |= entry.suspect(peer, suspicion, now);
            }
        }
        changed
    }

    /// Raises the own version above a version that somebody could not reach.
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
    /// Takes in the suspicion of a peer; returns whether the member answers no more.
    fn suspect(&mut self, peer: &NodeId, suspicion: &Suspicion, now: Instant) -> bool {
        let known = &self.record;
        if suspicion.incarnation != known.incarnation {
            return false;
        }
        if suspicion.version < known.version {
            // The peer has not heard the newest version, and neither have those that agree with it.
            self.spread.hurry();
            return false;
        }
        let before = self.doubt.is_suspect(now);
        self.doubt.suspected_by(peer, suspicion.version);
        !before && self.doubt.is_suspect(now)
    }
}

fn tell(entry: &mut Entry) -> Suspicion {
    entry.doubt.sent += 1;
    Suspicion {
        node: entry.record.node.clone(),
        incarnation: entry.record.incarnation,
        version: entry.doubt.version.max(entry.record.version),
    }
}
