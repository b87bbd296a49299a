//! Metrics of the daemon in the `OpenMetrics` text format.

use std::sync::atomic::{AtomicI64, AtomicU64};

use bulrushward_protocol::{RefusalReason, WorkUnits};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use crate::agent::Ending;

/// Bucket bounds of the first-byte histogram, in seconds.
const FIRST_BYTE_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 3.0, 10.0,
];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndingLabel {
    ending: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: String,
}

/// All metrics of one process.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    registry: Registry,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        Self {
            registry: Registry::with_prefix("bulrushward"),
        }
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }

    pub(crate) fn control(&mut self) -> ControlMetrics {
        let metrics = ControlMetrics::default();
        let r = &mut self.registry;
        r.register(
            "control_exchanges_sent",
            "Gossip exchanges sent to peers that responded",
            metrics.sent.clone(),
        );
        r.register(
            "control_exchanges_answered",
            "Gossip exchanges of peers that were served",
            metrics.served.clone(),
        );
        r.register(
            "control_exchanges_failed",
            "Gossip exchanges sent to peers that did not respond",
            metrics.failed.clone(),
        );
        r.register(
            "control_bad_messages",
            "Control messages rejected as invalid",
            metrics.invalid.clone(),
        );
        let help = "Bytes of control messages sent and received";
        r.register_with_unit("control_traffic", help, Unit::Bytes, metrics.bytes.clone());
        metrics
    }

    pub(crate) fn agent(&mut self) -> AgentMetrics {
        let metrics = AgentMetrics::default();
        let r = &mut self.registry;
        r.register(
            "agent_attempts",
            "Finished attempts by ending",
            metrics.attempts.clone(),
        );
        r.register(
            "agent_refusals",
            "Attempts refused at admission, by reason",
            metrics.refusals.clone(),
        );
        r.register(
            "agent_load",
            "Work units of running and queued attempts",
            metrics.load.clone(),
        );
        r.register("agent_queued", "Queued attempts", metrics.queued.clone());
        r.register("agent_running", "Running attempts", metrics.running.clone());
        metrics
    }

    pub(crate) fn router(&mut self) -> RouterMetrics {
        let metrics = RouterMetrics::default();
        let r = &mut self.registry;
        r.register(
            "router_requests",
            "Requests by kind of work",
            metrics.requests.clone(),
        );
        r.register(
            "router_refusals",
            "Requests refused, by reason",
            metrics.refusals.clone(),
        );
        r.register(
            "router_retries",
            "Attempts after the first one of a request",
            metrics.retries.clone(),
        );
        r.register(
            "router_resumes",
            "Responses resumed on a new connection",
            metrics.resumes.clone(),
        );
        let help = "Time until the first byte of the response, by kind of work";
        r.register_with_unit(
            "router_first_byte",
            help,
            Unit::Seconds,
            metrics.first_byte.clone(),
        );
        metrics
    }
}

/// Metrics of gossip exchanges.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlMetrics {
    sent: Counter,
    served: Counter,
    failed: Counter,
    invalid: Counter,
    bytes: Counter,
}

impl ControlMetrics {
    pub(crate) fn sent(&self, bytes: usize) {
        self.sent.inc();
        self.bytes.inc_by(bytes as u64);
    }

    pub(crate) fn served(&self, bytes: usize) {
        self.served.inc();
        self.bytes.inc_by(bytes as u64);
    }

    pub(crate) fn failed(&self) {
        self.failed.inc();
    }

    pub(crate) fn invalid_message(&self) {
        self.invalid.inc();
    }
}

/// Metrics of an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentMetrics {
    attempts: Family<EndingLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    load: Gauge<i64, AtomicI64>,
    queued: Gauge<i64, AtomicI64>,
    running: Gauge<i64, AtomicI64>,
}

impl AgentMetrics {
    pub(crate) fn attempt_ended(&self, ending: Ending) {
        self.attempts
            .get_or_create(&EndingLabel {
                ending: ending.to_string(),
            })
            .inc();
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.to_string(),
            })
            .inc();
    }

    pub(crate) fn load(&self, load: WorkUnits, queued: usize, running: usize) {
        self.load.set(load.cast_signed());
        self.queued.set(queued.cast_signed() as i64);
        self.running.set(running.cast_signed() as i64);
    }
}

/// Metrics of a router.
#[derive(Clone, Debug)]
pub(crate) struct RouterMetrics {
    requests: Family<KindLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    retries: Counter,
    resumes: Counter<u64, AtomicU64>,
    first_byte: Family<KindLabel, Histogram>,
}

impl Default for RouterMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            refusals: Family::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            first_byte: Family::new_with_constructor(|| Histogram::new(FIRST_BYTE_BOUNDS)),
        }
    }
}

impl RouterMetrics {
    pub(crate) fn request(&self, kind: &str) {
        self.requests
            .get_or_create(&KindLabel {
                kind: kind.to_owned(),
            })
            .inc();
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals
            .get_or_create(&ReasonLabel {
                reason: reason.to_string(),
            })
            .inc();
    }

    pub(crate) fn retried(&self) {
        self.retries.inc();
    }

    pub(crate) fn resumed(&self) {
        self.resumes.inc();
    }

    pub(crate) fn first_byte(&self, kind: &str, seconds: f64) {
        self.first_byte
            .get_or_create(&KindLabel {
                kind: kind.to_owned(),
            })
            .observe(seconds);
    }
}
