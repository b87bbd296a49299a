//! Which processes watch the key-value service.

use std::collections::HashMap;

use bulrushward_policy::placement::{Candidate, rank};
use bulrushward_protocol::{MemberRecord, MemberState};

use super::Member;

/// Processes of the whole fleet that watch.
const WATCHERS: usize = 16;
/// Processes of each failure domain that watch at least.
const WATCHERS_IN_DOMAIN: usize = 2;
/// Key of the rendezvous; any number that all processes share will do.
const RENDEZVOUS_KEY: u64 = 0;

/// Returns whether this process watches; all that know the same live members agree.
///
/// A process that knows few others counts itself among the watchers, so a fleet that falls apart
/// has more of them, never fewer.
pub(crate) fn is_watcher(own: &MemberRecord, members: &[Member]) -> bool {
    if own.state != MemberState::Live {
        return false;
    }
    let live = members
        .iter()
        .filter(|member| member.answers && member.record.state == MemberState::Live)
        .map(|member| &member.record);
    let records: Vec<&MemberRecord> = live.chain([own]).collect();
    let candidates: Vec<Candidate<'_>> = records
        .iter()
        .map(|record| Candidate {
            name: &record.node,
            weight: 1.0,
        })
        .collect();
    let mut in_domain: HashMap<&str, usize> = HashMap::new();
    for (place, index) in rank(RENDEZVOUS_KEY, &candidates).into_iter().enumerate() {
        let domain = in_domain.entry(&records[index].failure_domain).or_default();
        if records[index].node == own.node {
            return place < WATCHERS || *domain < WATCHERS_IN_DOMAIN;
        }
        *domain += 1;
    }
    true
}
