//! Known processes of the fleet and the choice of gossip peers.

use std::{net::SocketAddr, time::Instant};

use bulrushward_policy::membership::{LoadReport, MemberTable};
use bulrushward_protocol::{Exchange, MemberRecord, NodeId, Revision, Role, Suspicion};
use rand::{
    RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use super::Member;

/// Maximum bytes of records of other members in one gossip exchange.
const MAX_RECORD_BYTES: usize = 450;
/// Fraction of gossip exchanges that go to a bootstrap address, whether or not it is a known member.
const BOOTSTRAP_FRACTION: f64 = 0.1;

/// Member table of this process, and bootstrap addresses from the VM list and the settings.
#[derive(Debug)]
pub(crate) struct Members {
    table: MemberTable,
    bootstrap_addresses: Vec<SocketAddr>,
}

impl Members {
    pub(crate) fn new(own: MemberRecord, now: Instant) -> Self {
        Self {
            table: MemberTable::new(own, now),
            bootstrap_addresses: Vec::new(),
        }
    }

    /// Replaces the control addresses of processes that may not be in the member table yet.
    pub(crate) fn set_bootstrap_addresses(&mut self, bootstrap_addresses: Vec<SocketAddr>) {
        self.bootstrap_addresses = bootstrap_addresses;
    }

    /// Updates this process's own record and returns it.
    pub(crate) fn refresh_own(&mut self, current: &MemberRecord, now: Instant) -> MemberRecord {
        let own = self.table.own();
        let same = own.load == current.load
            && own.queued == current.queued
            && own.revision == current.revision
            && own.state == current.state;
        if same {
            self.table.heartbeat(now);
        } else {
            self.table.update_own(now, |own| {
                own.load = current.load;
                own.queued = current.queued;
                own.revision = current.revision;
                own.state = current.state;
            });
        }
        self.table.own().clone()
    }

    /// Merges an exchange; returns whether the state or incarnation of a member changed, or a member
    /// became unreachable.
    pub(crate) fn merge(&mut self, exchange: &Exchange, now: Instant) -> bool {
        let sender = &exchange.own;
        let direct = self.table.merge_direct(sender, now);
        let relayed = !self.table.merge(&exchange.members, now).is_empty();
        let suspects = &exchange.suspects;
        let suspect = self.table.merge_suspicions(&sender.node, suspects, now);
        direct || relayed || suspect
    }

    /// Returns whether a process that started later uses this process's name.
    pub(crate) fn is_superseded(&self) -> bool {
        self.table.is_superseded()
    }

    pub(crate) fn mark_unreachable(&mut self, node: &str) {
        self.table.mark_unreachable(node);
    }

    /// Returns the records of other members for one gossip exchange.
    pub(crate) fn outgoing_records(&mut self, now: Instant) -> Vec<MemberRecord> {
        self.table
            .outgoing_records(now, MAX_RECORD_BYTES, &mut rand::rng())
    }

    /// Returns the suspicions for a gossip exchange with a peer.
    pub(crate) fn outgoing_suspicions(
        &mut self,
        peer: Option<&str>,
        now: Instant,
    ) -> Vec<Suspicion> {
        self.table.outgoing_suspicions(peer, now)
    }

    /// Picks the next gossip peer: a member or a bootstrap address.
    pub(crate) fn pick_peer(&self, now: Instant) -> Option<(Option<NodeId>, SocketAddr)> {
        let mut rng = rand::rng();
        let own = self.table.own().control_address;
        let bootstrap_addresses: Vec<SocketAddr> = self
            .bootstrap_addresses
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
        let bootstrap = bootstrap_addresses
            .choose(&mut rng)
            .map(|address| (None, *address));
        if bootstrap.is_some() && (self.table.is_empty() || rng.random_bool(BOOTSTRAP_FRACTION)) {
            return bootstrap;
        }
        let member = self.table.pick_peer(now, &mut rng);
        member
            .map(|member| (Some(member.node.clone()), member.control_address))
            .or(bootstrap)
    }

    /// Chooses random reachable members that, according to their records, have an older revision.
    pub(crate) fn outdated_peers(
        &self,
        revision: Revision,
        count: usize,
        now: Instant,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut outdated_peers: Vec<_> = self
            .table
            .known(now)
            .filter(|known| known.is_reachable && known.record.revision < revision)
            .map(|known| (known.record.node.clone(), known.record.control_address))
            .collect();
        outdated_peers.shuffle(&mut rand::rng());
        outdated_peers.truncate(count);
        outdated_peers
    }

    /// Returns all known members, sorted by name.
    pub(crate) fn all(&self, now: Instant) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .table
            .known(now)
            .map(|known| Member {
                record: known.record.clone(),
                received: known.received,
                is_reachable: known.is_reachable,
            })
            .collect();
        members.sort_by(|a, b| a.record.node.cmp(&b.record.node));
        members
    }

    /// Returns the reported loads and the number of the other live agents of this agent's service.
    pub(crate) fn service_loads(&self, now: Instant) -> (Vec<LoadReport>, usize) {
        let own = self.table.own();
        match (&own.role, &own.service) {
            (Role::Agent, Some(service)) => (
                self.table.loads(service, now),
                self.table.live_count(service, now),
            ),
            _ => (Vec::new(), 0),
        }
    }
}
