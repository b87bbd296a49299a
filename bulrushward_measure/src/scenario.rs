//! Fleet sizes and cases of a run.

use std::{ops::Range, time::Duration};

use strum::{Display, VariantArray};

/// Traffic and failure pattern of a run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Case {
    /// Nothing fails and the traffic is constant.
    Steady,
    /// A tenth of the engines and of the routers is replaced each minute.
    Churn,
    /// Three organisations send 80% of the traffic during the middle third of the measured time.
    Surge,
}

/// A fleet and its traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// Name that the figures report.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of plain backend servers, which matter for membership and control traffic only.
    pub plain_servers: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// Mean requests per second.
    pub rate: f64,
    /// Capacity of an engine's prefix cache in tokens.
    pub cache_tokens: u64,
    /// One-way delay between failure domains.
    pub one_way_delay: Duration,
    /// Maximum age of the load reports that a process has in the model. It is the 95th percentile
    /// that the control measure reports, or the heartbeat interval where that is not measured.
    pub view_lag: Duration,
    /// Maximum time until a process knows that an engine leaves or joins.
    pub member_lag: Duration,
    /// Virtual time before the measurement starts.
    pub warm_up: Duration,
    /// Virtual time of the run.
    pub duration: Duration,
}

impl Size {
    /// Returns the period of the surge.
    #[must_use]
    pub fn surge(&self) -> Range<Duration> {
        let third = self.duration.saturating_sub(self.warm_up) / 3;
        self.warm_up + third..self.warm_up + 2 * third
    }

    /// Returns a quarter of the fleet, for quick runs.
    fn quarter(self) -> Self {
        Self {
            name: "planned-quarter",
            engines: self.engines / 4,
            routers: self.routers / 4,
            rate: self.rate / 4.0,
            view_lag: self.view_lag / 4,
            ..self
        }
    }

    /// Returns the sizes to measure: both current fleets and the planned one.
    #[must_use]
    pub fn all(quick: bool) -> Vec<Self> {
        let current_duration = Duration::from_mins(if quick { 12 } else { 60 });
        let planned_duration = Duration::from_mins(if quick { 3 } else { 4 });
        let shrestha = Self {
            name: "shrestha",
            engines: 10,
            routers: 3,
            plain_servers: 3,
            organisations: 10,
            rate: 30.0,
            cache_tokens: 4_000_000,
            one_way_delay: Duration::from_micros(1_500),
            view_lag: Duration::from_secs(8),
            member_lag: Duration::from_secs(5),
            warm_up: current_duration / 3,
            duration: current_duration,
        };
        let kestrelvlei = Self {
            name: "kestrelvlei",
            engines: 20,
            rate: 60.0,
            view_lag: Duration::from_secs(13),
            one_way_delay: Duration::from_micros(500),
            ..shrestha.clone()
        };
        let planned = Self {
            name: "planned",
            engines: 600,
            routers: 410,
            organisations: 32_000,
            rate: 1_800.0,
            view_lag: Duration::from_secs(162),
            member_lag: Duration::from_secs(10),
            warm_up: planned_duration / 3,
            duration: planned_duration,
            ..shrestha.clone()
        };
        let planned = if quick { planned.quarter() } else { planned };
        vec![shrestha, kestrelvlei, planned]
    }
}
