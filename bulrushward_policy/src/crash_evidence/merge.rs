//! Merging of the reports of peers.

use std::time::{Duration, Instant};

use bulrushward_protocol::{Content, CrashReport};

use super::{CrashEvidence, PROBE_TIMEOUT, record::Crash};

impl CrashEvidence {
    /// Merges the reports of a peer; returns the contents with new crashes.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> Vec<Content> {
        let merged = reports
            .iter()
            .filter(|report| self.merge_one(report, now))
            .map(|report| report.content)
            .collect();
        self.update_explained();
        merged
    }

    /// Merges a report; returns whether it contains new crashes.
    fn merge_one(&mut self, report: &CrashReport, now: Instant) -> bool {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let served = report.served_ms.and_then(at);
        let crashes = report.crashes.iter().filter_map(|(key, age_ms)| {
            Some(Crash {
                server: *key,
                at: at(*age_ms)?,
            })
        });
        let crashes: Vec<_> = crashes
            .filter(|crash| served.is_none_or(|served| crash.at > served))
            .collect();
        if !self.records.contains_key(&report.content) {
            if crashes.is_empty() {
                return false;
            }
            if self.records.len() >= self.limits.policy.capacity {
                self.remove_expired(now);
            }
            self.insert(report.content, report.organisation);
            self.evict(&[report.content], now);
        }
        let Some(record) = self.records.get_mut(&report.content) else {
            return false;
        };
        if let Some(served) = served
            && (record.served.is_none() || record.crashes.iter().any(|crash| crash.at <= served))
        {
            // A response that refutes nothing is not merged, as each message makes its age less exact.
            record.record_served(served);
        }
        let is_outdated = |crash: &Crash| record.served.is_some_and(|served| crash.at <= served);
        if crashes.iter().any(is_outdated) {
            // The peer does not know the response.
            record.times_sent = 0;
        }
        let mut is_new = false;
        for crash in crashes {
            is_new |= record.add_crash(crash);
        }
        if let Some(probe) = report.probe_ms.and_then(at)
            && record
                .probe
                .is_none_or(|known| known + PROBE_TIMEOUT < probe)
        {
            record.probe = Some(probe);
        }
        is_new
    }
}
