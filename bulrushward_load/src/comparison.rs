//! Compares the times of the same requests sent directly and through the fleet.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tokio::{task::JoinSet, time::sleep_until};

use crate::{
    arrivals::Arrival,
    client::{Client, Sample, Work},
    figure::Figure,
    results::{QUANTILES, Results, milliseconds},
    run::send_until,
    target::Target,
};

/// Results of the direct and the routed requests of one run.
#[derive(Clone, Debug, Default)]
pub struct Comparison {
    /// Requests sent directly to the backend server.
    pub direct: Results,
    /// The same requests sent through a router and an agent.
    pub routed: Results,
}

/// Path of a request to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPath {
    Direct,
    Routed,
}

impl Comparison {
    /// Returns the figures of both paths and the added times, as differences of quantiles.
    ///
    /// The added times at the 99th percentile are compared with `target`.
    #[must_use]
    pub fn figures(&self, size: &str, work: Work, target: Duration) -> Vec<Figure> {
        let mut figures = self.direct.figures(size, &format!("{work}-direct"));
        figures.extend(self.routed.figures(size, &format!("{work}-routed")));
        let times = [
            (
                "first-byte",
                &self.direct.first_byte,
                &self.routed.first_byte,
            ),
            ("whole", &self.direct.total_time, &self.routed.total_time),
        ];
        for (name, direct, routed) in times {
            let added = |(suffix, quantile)| Figure {
                measure: format!("added-{name}-{suffix}"),
                size: size.to_owned(),
                case: work.to_string(),
                value: difference(direct, routed, quantile),
                unit: "ms",
                target_met: None,
            };
            figures.extend(QUANTILES.map(added));
        }
        for figure in &mut figures {
            if figure.measure.starts_with("added-") && figure.measure.ends_with("-p99") {
                let met = figure.value <= target.as_secs_f64() * 1_000.0;
                figure.target_met = Some(met);
            }
        }
        figures
    }
}

/// Returns how much greater a quantile is on the routed path, in milliseconds.
fn difference(direct: &Histogram<u64>, routed: &Histogram<u64>, quantile: f64) -> f64 {
    milliseconds(routed, quantile) - milliseconds(direct, quantile)
}

/// Sends each arrival over both paths; the path that is used first alternates.
///
/// The second request of an arrival is sent halfway to the next arrival, so that both paths see
/// the same rate.
pub async fn compare(
    client: &Client,
    direct: &Target,
    routed: &Target,
    work: Work,
    arrivals: &[Arrival],
    time: Duration,
) -> Comparison {
    let started = Instant::now();
    let end = started + time;
    let mut requests: JoinSet<(RequestPath, Duration, Sample)> = JoinSet::new();
    for (index, arrival) in arrivals.iter().enumerate() {
        let next = arrivals.get(index + 1).map_or(arrival.at, |next| next.at);
        let middle = arrival.at + next.saturating_sub(arrival.at) / 2;
        for (path, at) in paths_in_order(index).into_iter().zip([arrival.at, middle]) {
            let at = started + at;
            sleep_until(at.into()).await;
            let lag = at.elapsed();
            let target = match path {
                RequestPath::Direct => direct.clone(),
                RequestPath::Routed => routed.clone(),
            };
            let (client, arrival) = (client.clone(), *arrival);
            requests.spawn(async move {
                let sample = send_until(&client, &target, work, &arrival, end).await;
                (path, lag, sample)
            });
        }
    }
    let mut comparison = Comparison::default();
    for (path, lag, sample) in requests.join_all().await {
        let results = match path {
            RequestPath::Direct => &mut comparison.direct,
            RequestPath::Routed => &mut comparison.routed,
        };
        results.record(&sample);
        results.record_lag(lag);
    }
    comparison.direct.elapsed = started.elapsed();
    comparison.routed.elapsed = started.elapsed();
    comparison
}

fn paths_in_order(index: usize) -> [RequestPath; 2] {
    if index.is_multiple_of(2) {
        [RequestPath::Direct, RequestPath::Routed]
    } else {
        [RequestPath::Routed, RequestPath::Direct]
    }
}
