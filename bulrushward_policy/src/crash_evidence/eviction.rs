//! Which records are dropped beyond the capacity.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap, HashSet},
    time::Instant,
};

use bulrushward_protocol::{Content, OrganisationHash};

use super::CrashEvidence;

impl CrashEvidence {
    /// Removes records beyond the capacity, other than `newest`: those of content that was served, or else of the
    /// organisation with the most records, preferably of content that is not barred.
    pub(super) fn evict(&mut self, newest: &[Content], now: Instant) {
        let excess = self
            .records
            .len()
            .saturating_sub(self.limits.policy.capacity);
        if excess == 0 {
            return;
        }
        let newest: HashSet<_> = newest.iter().collect();
        let mut counts: HashMap<OrganisationHash, usize> = HashMap::new();
        let mut groups: HashMap<_, BTreeSet<_>> = HashMap::new();
        for (content, record) in &self.records {
            *counts.entry(record.organisation).or_default() += 1;
            if newest.contains(content) {
                continue;
            }
            let latest = record.crashes.last().map(|crash| crash.at);
            let order = (
                record.verdict(&self.limits, now).is_quarantined(),
                record.crashes.len(),
                latest.max(record.served),
                *content,
            );
            let group = (!record.crashes.is_empty(), record.organisation);
            groups.entry(group).or_default().insert(order);
        }
        for _ in 0..excess {
            let first = groups
                .iter_mut()
                .filter(|(_, members)| !members.is_empty())
                .min_by_key(|((has_crashes, organisation), members)| {
                    let count = Reverse(counts[organisation]);
                    (*has_crashes, count, members.first().copied())
                });
            let Some(((_, organisation), members)) = first else {
                return;
            };
            if let Some((_, _, _, victim)) = members.pop_first() {
                *counts.entry(*organisation).or_default() -= 1;
                self.records.remove(&victim);
            }
        }
    }
}
