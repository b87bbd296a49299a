//! Crashes of backend servers by the content of requests, as all processes have seen them.

use std::time::{Duration, Instant};

use bulrushward_config::Fleet;
use bulrushward_policy::crash_evidence::{BarPolicy, CrashEvidence, Verdict};
use bulrushward_protocol::{
    Content, CrashReport, Fingerprint, MemberRecord, OrganisationHash, ServerKey,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Largest number of request contents whose crashes a process remembers.
const CAPACITY: usize = 4_096;
/// Time within which the requests that failed in one crash are reported.
const CRASH_INTERVAL: Duration = Duration::from_millis(500);

/// Crashes of backend servers by the content of requests.
#[derive(Debug)]
pub(super) struct Quarantine {
    evidence: CrashEvidence,
    /// Hash of this process.
    process: u64,
    /// Number of crashes of this agent's backend server, and the time of the latest one.
    own_crashes: u64,
    latest: Option<Instant>,
}

impl Quarantine {
    /// Creates a collection without crashes.
    pub(super) fn new(identity: &MemberRecord, fleet: &Fleet) -> Self {
        let process = format!("{}/{:?}", identity.node, identity.incarnation);
        Self {
            evidence: CrashEvidence::new(policy(fleet)),
            process: xxh3_64(process.as_bytes()),
            own_crashes: 0,
            latest: None,
        }
    }

    /// Applies the limits of a configuration.
    pub(super) fn configure(&mut self, fleet: &Fleet) {
        self.evidence.set_policy(policy(fleet));
    }

    /// Records that a request crashed this agent's backend server.
    pub(super) fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        organisation: &str,
        now: Instant,
    ) {
        let is_same = |at: Instant| now.saturating_duration_since(at) < CRASH_INTERVAL;
        if !self.latest.is_some_and(is_same) {
            self.own_crashes += 1;
            self.latest = Some(now);
        }
        let crash = xxh3_64_with_seed(&self.own_crashes.to_le_bytes(), self.process) as ServerKey;
        let organisation = xxh3_64(organisation.as_bytes()) as OrganisationHash;
        let content = Content::request(fingerprint);
        self.evidence
            .record_crash(content, organisation, crash, now);
    }

    /// Returns what is known about the content of a request.
    pub(super) fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.evidence.verdict(Content::request(fingerprint), now)
    }

    /// Merges the reports of a peer.
    pub(super) fn merge(&mut self, reports: &[CrashReport], now: Instant) {
        self.evidence.merge(reports, now);
    }

    /// Returns up to `limit` reports for a peer.
    pub(super) fn reports(&mut self, now: Instant, limit: usize) -> Vec<CrashReport> {
        self.evidence.reports(now, limit)
    }
}

fn policy(fleet: &Fleet) -> BarPolicy {
    BarPolicy {
        crashes: fleet.quarantine_crashes.into(),
        grace: Duration::ZERO,
        period: fleet.quarantine,
        ambiguous_period: fleet.quarantine,
        served_period: fleet.quarantine,
        memory: fleet.quarantine,
        capacity: CAPACITY,
    }
}
