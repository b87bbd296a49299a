//! Selects the processes that watch the key-value service.

use std::collections::HashMap;

use bulrushward_policy::placement::{Candidate, rank};
use bulrushward_protocol::{MemberRecord, MemberState};

use super::Member;

/// Minimum number of watchers in the whole fleet.
const MIN_WATCHERS: usize = 16;
/// Minimum number of watchers in each failure domain.
const MIN_WATCHERS_PER_DOMAIN: usize = 2;
/// Key of the rendezvous hashing; any value works as long as all processes use the same one.
const RENDEZVOUS_KEY: u64 = 0;

/// Returns whether this process is a watcher.
///
/// Processes that know the same live members agree on the watchers. A process that knows few
/// others ranks itself among them, so a network partition adds watchers and never removes any.
pub(crate) fn is_watcher(own: &MemberRecord, members: &[Member]) -> bool {
    if own.state != MemberState::Live {
        return false;
    }
    let live = members
        .iter()
        .filter(|member| member.is_reachable && member.record.state == MemberState::Live)
        .map(|member| &member.record);
    let records: Vec<&MemberRecord> = live.chain([own]).collect();
    let candidates: Vec<Candidate<'_>> = records
        .iter()
        .map(|record| Candidate {
            name: &record.node,
            weight: 1.0,
        })
        .collect();
    let mut ranked_per_domain: HashMap<&str, usize> = HashMap::new();
    for (position, index) in rank(RENDEZVOUS_KEY, &candidates).into_iter().enumerate() {
        let ranked_in_domain = ranked_per_domain
            .entry(&records[index].failure_domain)
            .or_default();
        if records[index].node == own.node {
            return position < MIN_WATCHERS || *ranked_in_domain < MIN_WATCHERS_PER_DOMAIN;
        }
        *ranked_in_domain += 1;
    }
    true
}
