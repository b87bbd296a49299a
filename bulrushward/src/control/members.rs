//! The processes that this one has heard of.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bulrushward_protocol::{MemberRecord, MemberState, NodeId, Role};
use rand::seq::IteratorRandom;

use super::Member;

/// Time after which a silent process is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Records of others that go into one exchange.
const RECORDS_IN_EXCHANGE: usize = 8;

/// All known processes but this one.
#[derive(Debug, Default)]
pub(crate) struct Members {
    members: HashMap<NodeId, Member>,
    contacts: Vec<SocketAddr>,
}

impl Members {
    /// Takes in records; newer ones win and a state never goes back within an incarnation.
    pub(crate) fn merge(&mut self, own: &NodeId, records: Vec<MemberRecord>, now: Instant) -> bool {
        let mut changed = false;
        for record in records {
            if record.node == *own {
                continue;
            }
            changed |= self.merge_one(record, now);
        }
        changed
    }

    fn merge_one(&mut self, mut record: MemberRecord, now: Instant) -> bool {
        if let Some(known) = self.members.get(&record.node) {
            let known = &known.record;
            if (record.incarnation, record.version) <= (known.incarnation, known.version) {
                return false;
            }
            if record.incarnation == known.incarnation {
                record.state = record.state.max(known.state);
            }
        }
        let member = Member { record, heard: now };
        self.members.insert(member.record.node.clone(), member);
        true
    }

    /// Keeps addresses of processes that may not be known yet.
    pub(crate) fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Forgets processes that were silent for long.
    pub(crate) fn forget_silent(&mut self, now: Instant) {
        self.members
            .retain(|_, member| now.duration_since(member.heard) < FORGET_AFTER);
    }

    /// Returns records for a peer, those heard of last first.
    pub(crate) fn freshest(&self) -> Vec<MemberRecord> {
        let mut members: Vec<&Member> = self.members.values().collect();
        members.sort_by_key(|member| std::cmp::Reverse(member.heard));
        members
            .iter()
            .take(RECORDS_IN_EXCHANGE)
            .map(|member| member.record.clone())
            .collect()
    }

    /// Chooses an address for the next exchange among members and contacts.
    pub(crate) fn peer(&self, own: SocketAddr) -> Option<SocketAddr> {
        let members = self
            .members
            .values()
            .map(|member| member.record.control_address);
        members
            .chain(self.contacts.iter().copied())
            .filter(|address| *address != own)
            .choose(&mut rand::rng())
    }

    /// Returns all members for a snapshot.
    pub(crate) fn all(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self.members.values().cloned().collect();
        members.sort_by(|a, b| a.record.node.cmp(&b.record.node));
        members
    }
}

/// Averages the load over the live agents of a service, with the current load of this one.
pub(crate) fn mean_load(members: &[Member], service: Option<&str>, own: u64) -> f64 {
    let others = members
        .iter()
        .map(|member| &member.record)
        .filter(|record| {
            record.role == Role::Agent
                && record.state == MemberState::Live
                && record.service.as_deref() == service
        });
    let (sum, count) = others.fold((own, 1), |(sum, count), r| (sum + r.load, count + 1));
    sum as f64 / f64::from(count)
}
