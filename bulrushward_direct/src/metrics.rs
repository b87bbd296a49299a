//! Counters, gauges and histograms of a direct router, in the `OpenMetrics` text format.
//!
//! Metric names call an attempt a hop, a retry a repeat and a response an answer.

use std::time::Duration;

use bulrushward_policy::place_lender::Answer;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Metric, Registry},
};
use strum::IntoStaticStr;

use crate::{ports::StoreError, start_gate::WaitEnd};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 10.0];
/// Upper bounds of the histogram of load report ages, in seconds.
const REPORT_AGE_BUCKETS: [f64; 7] = [0.05, 0.1, 0.3, 1.0, 2.0, 5.0, 30.0];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    /// Name of the route.
    kind: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EndLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SourceLabel {
    source: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StoreLabels {
    call: &'static str,
    result: &'static str,
}

/// Kind of a call to the store.
#[derive(Clone, Copy, Debug, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum StoreCall {
    Config,
    ConfigChanges,
    Orders,
    Servers,
    ServerChanges,
    Saved,
    Save,
    Probe,
    /// Asks for the changes that a waiting call should have returned.
    Check,
}

/// Values of the gauges that are computed when the metrics are scraped.
#[derive(Clone, Debug, Default)]
pub(crate) struct GaugeSnapshot {
    pub(crate) connections_open: u32,
    pub(crate) connections_idle: u32,
    /// Time since the active configuration was activated.
    pub(crate) config_age: Duration,
    /// Time since the last successful store call for the configuration.
    pub(crate) config_view_age: Duration,
    /// Time since the last successful store call for the registered servers.
    pub(crate) servers_view_age: Duration,
    /// Retries currently allowed by the budget of each service.
    pub(crate) budgets: Vec<(String, u32)>,
    /// Requests that wait for this router to know a configuration and servers.
    pub(crate) start_waiting: usize,
    /// Contents that are remembered because servers crashed under them, and those of them that are refused.
    pub(crate) crash_records: (usize, usize),
    pub(crate) stream_origins: usize,
    pub(crate) log_lines_dropped: u64,
    /// Resident memory in bytes; `None` if the system does not report it.
    pub(crate) memory_bytes: Option<usize>,
}

/// Metrics of one direct router.
#[derive(Debug)]
pub(crate) struct DirectMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    pub(crate) attempts: Counter,
    attempts_failed: Family<ReasonLabel, Counter>,
    streams: Family<EndLabel, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    start_waits: Family<EndLabel, Counter>,
    pub(crate) retries: Counter,
    pub(crate) retries_refused: Counter,
    pub(crate) stalls: Counter,
    pub(crate) panics: Counter,
    pub(crate) connections_opened: Counter,
    pub(crate) cold_skips: Counter,
    withheld: Family<ReasonLabel, Counter>,
    unit_asks: Family<EndLabel, Counter>,
    pub(crate) units_lent: Counter,
    resumed: ResumeMetrics,
    response_seconds: Histogram,
    first_event_seconds: Histogram,
    report_age_seconds: Histogram,
    place_asks: Family<EndLabel, Counter>,
    place_wait_seconds: Histogram,
    places_granted: Counter,
    places_refused: Family<ReasonLabel, Counter>,
    pub(crate) places_expired: Counter,
    pub(crate) places_waiting: Gauge,
    pub(crate) places_lent: Gauge,
    pub(crate) config_version: Gauge,
    config_age: Gauge,
    config_view_age: Gauge,
    servers_view_age: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) emptied_domains: Gauge,
    pub(crate) cold_servers: Gauge,
    pub(crate) routers: Gauge,
    in_progress: Gauge,
    start_waiting: Gauge,
    crash_records: Gauge,
    contents_barred: Gauge,
    pub(crate) sessions: Gauge,
    connections_open: Gauge,
    connections_idle: Gauge,
    retries_left: Family<ServiceLabel, Gauge>,
    log_lines_dropped: Gauge,
    memory: Gauge,
}

/// Creates metrics and registers them.
struct Registrar(Registry);

impl Registrar {
    fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        let metric = M::default();
        self.0.register(name, help, metric.clone());
        metric
    }

    fn histogram<const N: usize>(
        &mut self,
        name: &str,
        help: &str,
        buckets: [f64; N],
    ) -> Histogram {
        let metric = Histogram::new(buckets);
        self.0.register(name, help, metric.clone());
        metric
    }
}

/// Metrics of resumed streams.
#[derive(Debug)]
struct ResumeMetrics {
    handovers: Counter,
    streams: Family<SourceLabel, Counter>,
    origins: Gauge,
}

impl ResumeMetrics {
    fn new(r: &mut Registrar) -> Self {
        Self {
            handovers: r.add("resumes", "Streams resumed at another server"),
            streams: r.add(
                "resumed_streams",
                "Streams that callers resumed, by how the version that began them is known",
            ),
            origins: r.add(
                "stream_origins",
                "Streams of which the version that began them is remembered",
            ),
        }
    }
}

impl DirectMetrics {
    pub(crate) fn new() -> Self {
        let mut r = Registrar(Registry::with_prefix("bulrushward_direct"));
        Self {
            requests: r.add("requests", "Requests by route and outcome"),
            attempts: r.add("hops", "Requests sent to a server, retries included"),
            attempts_failed: r.add("hops_failed", "Failed attempts by reason"),
            streams: r.add("streams", "Streams that ended, by outcome"),
            store_calls: r.add("store_calls", "Store calls by kind and result"),
            start_waits: r.add(
                "start_waits",
                "Requests that waited for the router's start, by outcome",
            ),
            retries: r.add("repeats", "Requests sent to a further server"),
            retries_refused: r.add("repeats_refused", "Retries refused by the retry budget"),
            stalls: r.add("stalls", "Times at which the traffic thread ran late"),
            panics: r.add(
                "panics",
                "Tasks and requests that ended in an unexpected error",
            ),
            connections_opened: r.add("connections_opened", "Connections opened to servers"),
            cold_skips: r.add(
                "cold_skips",
                "Choices of a server that passed over cold servers for lack of allowance",
            ),
            withheld: r.add(
                "withheld",
                "Choices of a server that passed over servers for what they had reported, by reason",
            ),
            unit_asks: r.add(
                "limit_unit_asks",
                "Asks for units of the limits that servers name, by outcome",
            ),
            units_lent: r.add("limit_units_lent", "Units of such limits lent by this router"),
            resumed: ResumeMetrics::new(&mut r),
            response_seconds: r.histogram(
                "answer_seconds",
                "Time to a complete response",
                LATENCY_BUCKETS,
            ),
            first_event_seconds: r.histogram(
                "first_event_seconds",
                "Time to the first event of a stream",
                LATENCY_BUCKETS,
            ),
            report_age_seconds: r.histogram(
                "report_age_seconds",
                "Age of a server's load report when it was chosen",
                REPORT_AGE_BUCKETS,
            ),
            place_asks: r.add("place_asks", "Asks for lent places by outcome"),
            place_wait_seconds: r.histogram(
                "place_wait_seconds",
                "Time for which requests waited for a lent place",
                LATENCY_BUCKETS,
            ),
            places_granted: r.add("places_granted", "Places lent by this router"),
            places_refused: r.add("places_refused", "Asks refused by this router, by reason"),
            places_expired: r.add("places_expired", "Lent places taken back without a report"),
            places_waiting: r.add("places_waiting", "Requests waiting for a lent place"),
            places_lent: r.add("places_lent", "Places lent by this router now"),
            config_version: r.add("config_version", "Active version"),
            config_age: r.add(
                "config_age_ms",
                "Time since the active configuration was activated",
            ),
            config_view_age: r.add(
                "config_view_age_ms",
                "Time since the store last confirmed the configuration",
            ),
            servers_view_age: r.add(
                "servers_view_age_ms",
                "Time since the store last confirmed the servers",
            ),
            servers: r.add("servers", "Registered servers"),
            emptied_domains: r.add(
                "emptied_failure_domains",
                "Failure domains to whose servers nothing is sent",
            ),
            cold_servers: r.add("cold_servers", "Servers that are taken to be cold"),
            routers: r.add("routers", "Routers believed to be alive"),
            in_progress: r.add("in_progress", "Requests in progress"),
            start_waiting: r.add("start_waiting", "Requests that wait for the router's start"),
            crash_records: r.add(
                "crash_records",
                "Contents that are remembered because servers crashed under them",
            ),
            contents_barred: r.add(
                "contents_barred",
                "Contents that are refused because servers crashed under them",
            ),
            sessions: r.add("sessions", "Sessions whose servers are remembered"),
            connections_open: r.add("connections_open", "Connections to servers"),
            connections_idle: r.add("connections_idle", "Idle connections to servers"),
            retries_left: r.add(
                "repeats_left",
                "Retries currently allowed by the retry budget",
            ),
            log_lines_dropped: r.add("log_lines_dropped", "Dropped log lines"),
            memory: r.add("resident_memory_bytes", "Resident memory"),
            registry: r.0,
        }
    }

    /// Counts a request and records the time to the first byte of its response.
    pub(crate) fn record_response(
        &self,
        route: &str,
        outcome: &'static str,
        is_stream: bool,
        time: Duration,
    ) {
        let labels = OutcomeLabels {
            kind: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let times = if is_stream {
            &self.first_event_seconds
        } else {
            &self.response_seconds
        };
        times.observe(time.as_secs_f64());
    }

    /// Counts a request or stream in progress until the guard is dropped.
    pub(crate) fn track_in_progress(&self) -> InProgressGuard {
        self.in_progress.inc();
        InProgressGuard(self.in_progress.clone())
    }

    /// Returns the number of requests and streams in progress.
    pub(crate) fn in_progress(&self) -> i64 {
        self.in_progress.get()
    }

    /// Counts a request sent to a server and records the age of that server's load report.
    pub(crate) fn record_attempt(&self, report_age: Option<Duration>) {
        self.attempts.inc();
        if let Some(age) = report_age {
            self.report_age_seconds.observe(age.as_secs_f64());
        }
    }

    /// Counts an ask for a lent place that ended after `wait`.
    pub(crate) fn record_place_ask(&self, outcome: &'static str, wait: Duration) {
        self.place_asks.get_or_create(&EndLabel { outcome }).inc();
        self.place_wait_seconds.observe(wait.as_secs_f64());
    }

    /// Counts the answers of this router to asks for places.
    pub(crate) fn record_place_answer(&self, answer: Answer) {
        match answer {
            Answer::Granted { .. } => {
                self.places_granted.inc();
            }
            Answer::Refused { reason, .. } => {
                let reason = reason.into();
                self.places_refused
                    .get_or_create(&ReasonLabel { reason })
                    .inc();
            }
            Answer::Waiting => {}
        }
    }

    /// Counts a failed attempt.
    pub(crate) fn record_failed_attempt(&self, reason: &'static str) {
        self.attempts_failed
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a choice of a server that passed over servers for what they had reported.
    pub(crate) fn record_withheld(&self, reason: &'static str) {
        self.withheld.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an ask for a unit of a server's limit.
    pub(crate) fn record_unit_ask(&self, is_lent: bool) {
        let outcome = if is_lent { "lent" } else { "not-lent" };
        self.unit_asks.get_or_create(&EndLabel { outcome }).inc();
    }

    /// Counts a stream that this router resumes at another server.
    pub(crate) fn record_handover(&self) {
        self.resumed.handovers.inc();
    }

    /// Counts a stream that its caller resumes.
    pub(crate) fn record_resumed_stream(&self, source: &'static str) {
        let label = SourceLabel { source };
        self.resumed.streams.get_or_create(&label).inc();
    }

    /// Counts a stream that ended.
    pub(crate) fn record_stream_end(&self, outcome: &'static str) {
        self.streams.get_or_create(&EndLabel { outcome }).inc();
    }

    /// Counts a request that waited for the start of the router to be completed.
    pub(crate) fn record_start_wait(&self, end: WaitEnd) {
        let outcome = end.into();
        self.start_waits.get_or_create(&EndLabel { outcome }).inc();
    }

    /// Counts a call to the store.
    pub(crate) fn record_store_call<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let call = call.into();
        let result = result.as_ref().map_or_else(Into::into, |_| "answered");
        let labels = StoreLabels { call, result };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Renders all metrics as text.
    pub(crate) fn render(&self, snapshot: &GaugeSnapshot) -> String {
        self.update_gauges(snapshot);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _written = encode(&mut text, &self.registry);
        text
    }

    fn update_gauges(&self, snapshot: &GaugeSnapshot) {
        self.connections_open.set(snapshot.connections_open.into());
        self.connections_idle.set(snapshot.connections_idle.into());
        self.config_age.set(millis(snapshot.config_age));
        self.config_view_age.set(millis(snapshot.config_view_age));
        self.servers_view_age.set(millis(snapshot.servers_view_age));
        for (service, left) in &snapshot.budgets {
            let service = service.clone();
            let label = ServiceLabel { service };
            self.retries_left.get_or_create(&label).set((*left).into());
        }
        let waiting = snapshot.start_waiting.cast_signed();
        self.start_waiting.set(waiting as i64);
        let (crash_records, contents_barred) = snapshot.crash_records;
        self.resumed
            .origins
            .set(snapshot.stream_origins.cast_signed() as i64);
        self.crash_records.set(crash_records.cast_signed() as i64);
        self.contents_barred
            .set(contents_barred.cast_signed() as i64);
        let dropped = snapshot.log_lines_dropped.cast_signed();
        self.log_lines_dropped.set(dropped);
        if let Some(bytes) = snapshot.memory_bytes {
            self.memory.set(bytes.cast_signed() as i64);
        }
    }
}

fn millis(time: Duration) -> i64 {
    time.as_millis() as i64
}

/// Counts one request or stream in the gauge of those in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Gauge);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
