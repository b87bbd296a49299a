//! Which request contents crashed servers, as this router has seen it and as its peers tell.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::quarantine::{Quarantine, Verdict};
use bulrushward_protocol::{Fingerprint, QuarantineRecord, format_id};
use tracing::{info, warn};

/// Crashes after which a request is quarantined; a single crash may be a coincidence.
const QUARANTINE_CRASHES: u8 = 3;
/// Time for which the crashes caused by a request are remembered; callers retry within seconds.
const CRASH_RECORD_TTL: Duration = Duration::from_secs(30);
/// Largest number of requests whose crashes are remembered.
const MAX_CRASH_RECORDS: usize = 1_024;
/// Largest number of records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 8;

/// Records of request contents that crashed servers.
#[derive(Debug)]
pub(crate) struct CrashRecords {
    quarantine: Mutex<Quarantine>,
}

impl Default for CrashRecords {
    fn default() -> Self {
        let quarantine = Quarantine::new(QUARANTINE_CRASHES, CRASH_RECORD_TTL, MAX_CRASH_RECORDS);
        Self {
            quarantine: Mutex::new(quarantine),
        }
    }
}

impl CrashRecords {
    /// Records a crash of `server` that a request is suspected to have caused.
    pub(crate) fn record_crash(&self, fingerprint: Fingerprint, server: &str) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        let before = quarantine.verdict(fingerprint, now);
        let crashes = quarantine.record_crash(fingerprint, now);
        let content = format_id(fingerprint);
        info!(event = "crash-suspected", server, content, crashes);
        if before != Verdict::Quarantined
            && quarantine.verdict(fingerprint, now) == Verdict::Quarantined
        {
            warn!(event = "content-barred", content, crashes, source = "own");
        }
    }

    /// Returns the remaining quarantine of a request, if it has crashed too many servers.
    pub(crate) fn quarantine_time_left(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let now = Instant::now();
        let quarantine = self.lock();
        let is_quarantined = quarantine.verdict(fingerprint, now) == Verdict::Quarantined;
        is_quarantined.then(|| quarantine.remaining(fingerprint, now))
    }

    /// Returns the records for the next message to peers.
    pub(crate) fn outgoing(&self) -> Vec<QuarantineRecord> {
        self.lock().records(Instant::now(), MAX_RECORDS_PER_MESSAGE)
    }

    /// Merges the records that `peer` has sent.
    pub(crate) fn merge(&self, records: &[QuarantineRecord], peer: &str) {
        let now = Instant::now();
        let mut quarantine = self.lock();
        for record in records {
            let before = quarantine.verdict(record.fingerprint, now);
            quarantine.merge(std::slice::from_ref(record), now);
            let verdict = quarantine.verdict(record.fingerprint, now);
            if verdict == before {
                continue;
            }
            let (content, crashes) = (format_id(record.fingerprint), record.crashes);
            info!(event = "crash-heard", content, crashes, from = peer);
            if verdict == Verdict::Quarantined {
                warn!(event = "content-barred", content, crashes, source = peer);
            }
        }
    }

    /// Returns the number of contents that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
