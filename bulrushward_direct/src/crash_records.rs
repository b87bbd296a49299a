//! Which content crashed servers, as seen by this router and reported by its peers.
//!
//! The log names content by its hash, so that the lines of all routers can be joined.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::crash_evidence::{BarPolicy, CrashEvidence};
use bulrushward_protocol::{Content, ContentKind, OrganisationHash, ServerKey};
use tokio::sync::Notify;
use tracing::{info, warn};
use xxhash_rust::xxh3::xxh3_64;

use crate::{crash_reports::CrashReports, fleet_view::FleetView, routed_request::RoutedRequest};

/// A request whose connection broke before its server was known to survive it.
#[derive(Clone, Debug)]
pub(crate) struct BrokenRequest {
    request_id: String,
    organisation: OrganisationHash,
    contents: Vec<Content>,
    pub(crate) at: Instant,
}

impl BrokenRequest {
    pub(crate) fn new(request: &RoutedRequest) -> Self {
        let organisation = request.organisation.as_deref().unwrap_or_default();
        Self {
            request_id: request.request_id.clone(),
            organisation: xxh3_64(organisation.as_bytes()) as OrganisationHash,
            contents: request.contents().collect(),
            at: Instant::now(),
        }
    }
}

/// Records of content that crashed servers.
#[derive(Debug)]
pub(crate) struct CrashRecords {
    evidence: Mutex<CrashEvidence>,
    /// Notified if a message should be sent to peers at once.
    news: Notify,
}

impl Default for CrashRecords {
    fn default() -> Self {
        Self {
            evidence: Mutex::new(CrashEvidence::new(BarPolicy::DIRECT)),
            news: Notify::new(),
        }
    }
}

impl CrashRecords {
    /// Records that a server crashed that had begun to run these requests.
    pub(crate) fn record_crash(&self, server: &str, key: ServerKey, suspects: &[BrokenRequest]) {
        if suspects.is_empty() {
            return;
        }
        let now = Instant::now();
        let contents = || {
            suspects.iter().flat_map(|suspect| {
                suspect
                    .contents
                    .iter()
                    .map(move |content| (*content, suspect))
            })
        };
        let by_organisation = contents().map(|(content, suspect)| (content, suspect.organisation));
        let mut evidence = self.lock();
        let remembered = evidence.record_crashes(by_organisation, key, now);
        let suspects: HashMap<_, _> = contents().collect();
        for content in remembered {
            let crashes = evidence.crashes(content);
            let request = suspects.get(&content).map(|suspect| &suspect.request_id);
            info!(event = "crash-suspected", request, server, %content, crashes);
        }
        log_changes(&mut evidence, "own", now);
        self.news.notify_one();
    }

    /// Records a complete response to a request.
    pub(crate) fn record_served(&self, request: &RoutedRequest) {
        let now = Instant::now();
        let mut evidence = self.lock();
        // Requests with prompts differ as a whole, and would displace what they have in common.
        let is_unique = |content: &Content| {
            content.kind == ContentKind::Request
                && !request.prompt.is_empty()
                && evidence.crashes(*content) == 0
        };
        let shared: Vec<_> = request
            .contents()
            .filter(|content| !is_unique(content))
            .collect();
        if evidence.record_all_served(shared, now) {
            log_changes(&mut evidence, "own", now);
            self.news.notify_one();
        }
    }

    /// Returns the time for which a request is refused because its content crashes servers.
    ///
    /// One of the routers in `fleet` probes the content once its bar is over.
    pub(crate) fn refusal(&self, request: &RoutedRequest, fleet: &FleetView) -> Option<Duration> {
        let evidence = self.lock();
        if evidence.is_empty() {
            return None;
        }
        let now = Instant::now();
        let refusal = |content: Content| {
            evidence.refusal(content, || fleet.ranks_first(content.hash as u64), now)
        };
        request.contents().filter_map(refusal).max()
    }

    /// Records that a request is sent to a server.
    pub(crate) fn record_sent(&self, request: &RoutedRequest) {
        let mut evidence = self.lock();
        if evidence.is_empty() {
            return;
        }
        let now = Instant::now();
        for content in request.contents() {
            evidence.record_sent(content, now);
        }
    }

    /// Returns which content of a request is refused and why, for the log.
    pub(crate) fn describe(&self, request: &RoutedRequest) -> String {
        let evidence = self.lock();
        let now = Instant::now();
        let barred = request.contents().filter_map(|content| {
            let barred_for = evidence.barred_for(content, now)?;
            let (crashes, ms) = (evidence.crashes(content), barred_for.as_millis());
            Some(format!("{content} barred for {ms} ms, {crashes} crashes"))
        });
        barred.collect::<Vec<_>>().join("; ")
    }

    /// Returns the message for peers.
    pub(crate) fn message(&self) -> CrashReports {
        let now = Instant::now();
        let mut evidence = self.lock();
        log_changes(&mut evidence, "own", now);
        let message = CrashReports::new(|limit| evidence.reports(now, limit));
        if evidence.has_unsent() {
            self.news.notify_one();
        }
        message
    }

    /// Merges the message of a peer.
    pub(crate) fn merge(&self, message: &CrashReports, peer: &str) {
        if message.reports.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut evidence = self.lock();
        for content in evidence.merge(&message.reports, now) {
            let crashes = evidence.crashes(content);
            info!(event = "crash-heard", %content, crashes, from = peer);
        }
        if log_changes(&mut evidence, peer, now) {
            self.news.notify_one();
        }
    }

    /// Waits until a message should be sent to peers at once.
    pub(crate) async fn wait_for_news(&self) {
        self.news.notified().await;
    }

    /// Returns the numbers of contents that are remembered and that are refused.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let evidence = self.lock();
        (evidence.len(), evidence.quarantined_count(Instant::now()))
    }

    fn lock(&self) -> MutexGuard<'_, CrashEvidence> {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs refusals that have begun or ended; returns whether there are any.
///
/// `source` is the peer whose message decided it, or `own`.
fn log_changes(evidence: &mut CrashEvidence, source: &str, now: Instant) -> bool {
    let changes = evidence.take_changes(now);
    for change in &changes {
        let (content, crashes) = (change.content, change.crashes);
        if change.is_barred {
            warn!(event = "content-barred", %content, crashes, source);
        } else {
            info!(event = "content-freed", %content, source);
        }
    }
    !changes.is_empty()
}
