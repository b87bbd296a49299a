//! Counters and histograms of a direct router, in the `OpenMetrics` text format.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the histogram of answer times, in seconds.
const ANSWER_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 10.0];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    kind: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of one direct router.
#[derive(Debug)]
pub(crate) struct DirectMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    hops_failed: Family<ReasonLabel, Counter>,
    store_calls_failed: Counter,
    pub(crate) repeats: Counter,
    pub(crate) resumes: Counter,
    pub(crate) connections_opened: Counter,
    pub(crate) config_version: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) routers: Gauge,
    in_progress: Gauge,
    pub(crate) sessions: Gauge,
    answer_seconds: Histogram,
}

impl DirectMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bulrushward_direct"),
            requests: Family::default(),
            hops_failed: Family::default(),
            store_calls_failed: Counter::default(),
            repeats: Counter::default(),
            resumes: Counter::default(),
            connections_opened: Counter::default(),
            config_version: Gauge::default(),
            servers: Gauge::default(),
            routers: Gauge::default(),
            in_progress: Gauge::default(),
            sessions: Gauge::default(),
            answer_seconds: Histogram::new(ANSWER_BOUNDS),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests by kind and outcome",
            self.requests.clone(),
        );
        r.register(
            "hops_failed",
            "Failed hops by reason",
            self.hops_failed.clone(),
        );
        let failed = self.store_calls_failed.clone();
        r.register(
            "store_calls_failed",
            "Store calls without usable answer",
            failed,
        );
        r.register(
            "repeats",
            "Requests sent to a further server",
            self.repeats.clone(),
        );
        r.register(
            "resumes",
            "Streams resumed at another server",
            self.resumes.clone(),
        );
        let opened = self.connections_opened.clone();
        r.register(
            "connections_opened",
            "Connections opened to servers",
            opened,
        );
        r.register(
            "config_version",
            "Version in force",
            self.config_version.clone(),
        );
        r.register("servers", "Registered servers", self.servers.clone());
        r.register("routers", "Routers believed alive", self.routers.clone());
        r.register(
            "in_progress",
            "Requests in progress",
            self.in_progress.clone(),
        );
        let sessions = self.sessions.clone();
        r.register(
            "sessions",
            "Sessions whose servers are remembered",
            sessions,
        );
        let seconds = self.answer_seconds.clone();
        r.register(
            "answer_seconds",
            "Time to the first byte of an answer",
            seconds,
        );
    }

    /// Counts a request and its time to the first byte of the answer.
    pub(crate) fn answered(&self, kind: &str, outcome: &'static str, time: Duration) {
        let labels = OutcomeLabels {
            kind: kind.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        self.answer_seconds.observe(time.as_secs_f64());
    }

    /// Counts a request or stream in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> Counted {
        self.in_progress.inc();
        Counted(self.in_progress.clone())
    }

    /// Counts a failed hop.
    pub(crate) fn hop_failed(&self, reason: &'static str) {
        self.hops_failed
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a call to the store that gave nothing.
    pub(crate) fn store_call_failed(&self) {
        self.store_calls_failed.inc();
    }

    /// Writes all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _written = encode(&mut text, &self.registry);
        text
    }
}

/// Something in progress that is counted.
#[derive(Debug)]
pub(crate) struct Counted(Gauge);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.dec();
    }
}
