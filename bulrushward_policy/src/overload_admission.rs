//! Admission to a service whose servers are all overloaded.
//!
//! Handles: a plain service with few places that many routers share, each of which has less than one
//! request in progress there; servers that do not report their load; an organisation that sends many
//! times its usual requests. Without admission the queues of all servers stay full, so that every
//! response is late and the surplus is rejected anyway.
//!
//! The response times of all servers show overload. Routers exchange theirs, so that each of them
//! admits about the same fraction of requests. A single slow server is not an overload.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use rand::{Rng, RngExt};

use crate::session_locations::ServerKey;

/// Smallest weight of a response time in the moving average of a server.
///
/// The average starts at zero, so that a few late responses are no overload.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the moving averages that a router rarely samples, as in a large fleet.
const AVERAGING_TIME: Duration = Duration::from_millis(1_200);
/// Routers of a fleet for each round in which a response time is reported.
const ROUTERS_PER_ROUND: u32 = 40;
/// Largest number of rounds in which a response time is reported.
const MAX_REPORT_ROUNDS: u32 = 8;
/// Age from which the average of a server is ignored.
const AVERAGE_MAX_AGE: Duration = Duration::from_secs(2);
/// Longest response time that counts, in multiples of the target latency, as single requests take much
/// longer than others; a rejected request counts as this.
const LONGEST_TARGETS: f64 = 1.5;
/// Largest number of intervals that one adaptation makes up for, as a router may have few requests.
const MAX_INTERVALS: f64 = 8.0;
/// Pressure, the ratio of response time to target latency, at which the admitted fraction stays.
const SET_POINT: f64 = 0.72;
/// Interval at which the admitted fraction is adapted.
const ADAPT_INTERVAL: Duration = Duration::from_millis(250);
/// Change of the admitted fraction for each unit by which the pressure above the set point has risen.
const PROPORTIONAL_GAIN: f64 = 0.5;
/// Change of the admitted fraction in an interval for each unit of pressure above the set point.
const INTEGRAL_GAIN: f64 = 0.07;
/// Smallest admitted fraction.
const MIN_ADMITTED: f64 = 0.2;
/// Time in which the request count of an organisation halves.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(4);
/// Smallest ratio of an organisation's admitted fraction to that of all.
const MIN_ORGANISATION_RATIO: f64 = 0.5;
/// Largest number of organisations that are distinguished.
const MAX_ORGANISATIONS: usize = 256;

/// Response times of a server that one router measured in the latest rounds of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTimes {
    /// Server.
    pub server: ServerKey,
    /// Mean response time.
    pub mean: Duration,
    /// Number of responses.
    pub count: u32,
}

/// Response times of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseSum {
    time: Duration,
    count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Average {
    seconds: f64,
    updated: Instant,
}

impl Average {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.updated) < AVERAGE_MAX_AGE
    }
}

/// Admission of one router to one service.
#[derive(Clone, Debug)]
pub struct OverloadAdmission {
    /// Response times that this router and its peers measured.
    times: HashMap<ServerKey, Average>,
    /// Response times measured in each of the latest rounds of reports, the current one last.
    measured: VecDeque<HashMap<ServerKey, ResponseSum>>,
    /// Fraction of the requests that is admitted.
    admitted: f64,
    /// Pressure above the set point when the admitted fraction was last adapted.
    excess: f64,
    adapted: Instant,
    /// Decaying numbers of requests by organisation.
    counts: HashMap<String, f64>,
    counts_decayed: Instant,
}

impl OverloadAdmission {
    /// Creates the admission to a service of which nothing is known.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            times: HashMap::new(),
            measured: VecDeque::from([HashMap::new()]),
            admitted: 1.0,
            excess: 0.0,
            adapted: now,
            counts: HashMap::new(),
            counts_decayed: now,
        }
    }

    /// Records the time in which a server responded to a request of a target latency.
    pub fn record_response(
        &mut self,
        server: ServerKey,
        time: Duration,
        target: Duration,
        now: Instant,
    ) {
        let time = time.min(target.mul_f64(LONGEST_TARGETS));
        self.update(server, time, 1, now);
        if let Some(current) = self.measured.back_mut() {
            let sum = current.entry(server).or_default();
            sum.time += time;
            sum.count += 1;
        }
    }

    /// Records that a server rejected a request because it was full.
    pub fn record_rejection(&mut self, server: ServerKey, target: Duration, now: Instant) {
        self.record_response(server, Duration::MAX, target, now);
    }

    /// Merges the response times that a peer measured.
    pub fn merge(&mut self, reported: ReportedTimes, now: Instant) {
        self.update(reported.server, reported.mean, reported.count, now);
    }

    /// Returns the response times that this router measured in the latest rounds, and begins a new round.
    ///
    /// The report goes to a few of `routers` at random. In a large fleet a response time is reported in
    /// several rounds, so that enough routers learn of it.
    pub fn take_report(&mut self, routers: u32) -> Vec<ReportedTimes> {
        let rounds = (routers / ROUTERS_PER_ROUND).clamp(1, MAX_REPORT_ROUNDS) as usize;
        let mut sums: HashMap<ServerKey, ResponseSum> = HashMap::new();
        for (server, measured) in self.measured.iter().rev().take(rounds).flatten() {
            let sum = sums.entry(*server).or_default();
            sum.time += measured.time;
            sum.count += measured.count;
        }
        self.measured.push_back(HashMap::new());
        while self.measured.len() > MAX_REPORT_ROUNDS as usize {
            self.measured.pop_front();
        }
        sums.into_iter()
            .map(|(server, sum)| ReportedTimes {
                server,
                mean: sum.time / sum.count.max(1),
                count: sum.count,
            })
            .collect()
    }

    /// Returns the median of the servers' average response times; those of unknown servers are zero.
    ///
    /// `servers` is the number of servers that the service has.
    #[must_use]
    pub fn response_time(&self, servers: usize, now: Instant) -> Duration {
        let fresh = self.times.values().filter(|average| average.is_fresh(now));
        let mut seconds: Vec<_> = fresh.map(|average| average.seconds).collect();
        seconds.resize(seconds.len().max(servers), 0.0);
        seconds.sort_unstable_by(f64::total_cmp);
        let median = seconds.get(seconds.len().saturating_sub(1) / 2);
        Duration::from_secs_f64(median.copied().unwrap_or_default())
    }

    /// Decides whether a request of an organisation is sent to the service.
    ///
    /// `target` is the time in which the response should arrive, `servers` the number of servers.
    pub fn admit(
        &mut self,
        organisation: &str,
        target: Duration,
        servers: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        self.count(organisation, now);
        self.adapt(target, servers, now);
        self.admitted >= 1.0 || rng.random_bool(self.admitted_of(organisation))
    }

    /// Returns the fraction of the requests that is admitted.
    #[must_use]
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    fn adapt(&mut self, target: Duration, servers: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.adapted);
        if elapsed < ADAPT_INTERVAL {
            return;
        }
        self.adapted = now;
        let intervals = elapsed.div_duration_f64(ADAPT_INTERVAL).min(MAX_INTERVALS);
        let pressure = self
            .response_time(servers, now)
            .div_duration_f64(target.max(Duration::from_millis(1)));
        let excess = (pressure - SET_POINT).max(0.0);
        let change = PROPORTIONAL_GAIN * (excess - self.excess)
            + INTEGRAL_GAIN * intervals * (pressure - SET_POINT);
        self.excess = excess;
        self.admitted = (self.admitted - change).clamp(MIN_ADMITTED, 1.0);
    }

    fn count(&mut self, organisation: &str, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counts_decayed);
        if elapsed >= ADAPT_INTERVAL {
            self.counts_decayed = now;
            let factor = 0.5_f64.powf(elapsed.div_duration_f64(COUNT_HALF_LIFE));
            self.counts.retain(|_, count| {
                *count *= factor;
                *count > 0.01
            });
        }
        if let Some(count) = self.counts.get_mut(organisation) {
            *count += 1.0;
        } else if self.counts.len() < MAX_ORGANISATIONS {
            self.counts.insert(organisation.to_owned(), 1.0);
        }
    }

    /// Returns the admitted fraction of an organisation's requests.
    ///
    /// Organisations share what is admitted fairly: those that send little are admitted before those
    /// that send much.
    fn admitted_of(&self, organisation: &str) -> f64 {
        let Some(own) = self.counts.get(organisation) else {
            return self.admitted;
        };
        let mut counts: Vec<_> = self.counts.values().copied().collect();
        counts.sort_unstable_by(f64::total_cmp);
        let mut left = self.admitted * counts.iter().sum::<f64>();
        let mut fair_share = f64::INFINITY;
        for (index, count) in counts.iter().enumerate() {
            let equal_share = left / (counts.len() - index) as f64;
            if *count > equal_share {
                fair_share = equal_share;
                break;
            }
            left -= count;
        }
        (fair_share / own).clamp(self.admitted * MIN_ORGANISATION_RATIO, 1.0)
    }

    fn update(&mut self, server: ServerKey, mean: Duration, count: u32, now: Instant) {
        self.times.retain(|_, average| average.is_fresh(now));
        let average = self.times.entry(server).or_insert(Average {
            seconds: 0.0,
            updated: now,
        });
        let age = now.saturating_duration_since(average.updated);
        let weight_of_age = 1.0 - (-age.div_duration_f64(AVERAGING_TIME)).exp();
        let weight_of_count = 1.0 - (1.0 - MIN_SAMPLE_WEIGHT).powf(f64::from(count));
        let weight = weight_of_age.max(weight_of_count);
        average.seconds += weight * (mean.as_secs_f64() - average.seconds);
        average.updated = now;
    }
}
