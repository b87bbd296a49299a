//! The processes that this one knows, and whom to talk to next.

use std::{net::SocketAddr, time::Instant};

use bulrushward_policy::membership::{LoadReport, MemberTable};
use bulrushward_protocol::{Exchange, MemberRecord, NodeId, Revision, Role, Suspicion};
use rand::{
    RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use super::Member;

/// Bytes of records of others in one exchange.
const RECORD_BYTES: usize = 450;
/// Share of exchanges that go to an address of the VM list, known or not.
const CONTACT_SHARE: f64 = 0.1;

/// The member table of this process and the addresses from outside it.
#[derive(Debug)]
pub(crate) struct Members {
    table: MemberTable,
    contacts: Vec<SocketAddr>,
}

impl Members {
    pub(crate) fn new(own: MemberRecord, now: Instant) -> Self {
        Self {
            table: MemberTable::new(own, now),
            contacts: Vec::new(),
        }
    }

    /// Keeps addresses of processes that may not be known yet.
    pub(crate) fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Brings the own record up to date and returns it.
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

    /// Takes in an exchange; returns whether a state or a start changed or a member is suspect.
    pub(crate) fn merge(&mut self, exchange: &Exchange, now: Instant) -> bool {
        let sender = &exchange.own;
        let direct = self.table.merge_direct(sender, now);
        let relayed = !self.table.merge(&exchange.members, now).is_empty();
        let suspects = &exchange.suspects;
        let suspect = self.table.merge_suspicions(&sender.node, suspects, now);
        direct || relayed || suspect
    }

    /// Returns whether another process runs under the own name and started later.
    pub(crate) fn is_superseded(&self) -> bool {
        self.table.is_superseded()
    }

    pub(crate) fn unreachable(&mut self, node: &str) {
        self.table.mark_unreachable(node);
    }

    /// Returns the records of others for one exchange.
    pub(crate) fn records(&mut self, now: Instant) -> Vec<MemberRecord> {
        self.table
            .outgoing_records(now, RECORD_BYTES, &mut rand::rng())
    }

    /// Returns the suspicions for an exchange with a peer.
    pub(crate) fn suspicions(&mut self, peer: Option<&str>, now: Instant) -> Vec<Suspicion> {
        self.table.outgoing_suspicions(peer, now)
    }

    /// Chooses whom to talk to next: a member, or an address of the VM list.
    pub(crate) fn peer(&self, now: Instant) -> Option<(Option<NodeId>, SocketAddr)> {
        let mut rng = rand::rng();
        let own = self.table.own().control_address;
        let contacts: Vec<SocketAddr> = self
            .contacts
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
        let contact = contacts.choose(&mut rng).map(|address| (None, *address));
        if contact.is_some() && (self.table.is_empty() || rng.random_bool(CONTACT_SHARE)) {
            return contact;
        }
        let member = self.table.pick_peer(now, &mut rng);
        member
            .map(|member| (Some(member.node.clone()), member.control_address))
            .or(contact)
    }

    /// Chooses members that answer and, as far as is known, have an older revision.
    pub(crate) fn behind(
        &self,
        revision: Revision,
        count: usize,
        now: Instant,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut behind: Vec<_> = self
            .table
            .known(now)
            .filter(|known| known.is_reachable && known.record.revision < revision)
            .map(|known| (known.record.node.clone(), known.record.control_address))
            .collect();
        behind.shuffle(&mut rand::rng());
        behind.truncate(count);
        behind
    }

    /// Returns all known members for a snapshot.
    pub(crate) fn all(&self, now: Instant) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .table
            .known(now)
            .map(|known| Member {
                record: known.record.clone(),
                heard: known.received,
                answers: known.is_reachable,
            })
            .collect();
        members.sort_by(|a, b| a.record.node.cmp(&b.record.node));
        members
    }

    /// Returns the loads of the other agents of the own service, and how many there are.
    pub(crate) fn mates(&self, now: Instant) -> (Vec<LoadReport>, usize) {
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
