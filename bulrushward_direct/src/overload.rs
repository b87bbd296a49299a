//! Overload of plain services, which servers do not report and routers see in response times.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    overload_admission::{OverloadAdmission, ReportedTimes},
    server_attempt::AttemptFailure,
};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::{
    model::ServiceName,
    routed_request::RoutedRequest,
    servers::{Server, ServerHash, ServerSet},
};

/// Largest number of servers whose response times one datagram reports.
const MAX_REPORTED: usize = 32;
/// Admitted fraction below which a service is logged as overloaded.
const OVERLOADED_BELOW: f64 = 0.9;

/// Response times of a server in a datagram.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ServerTimes {
    server: ServerHash,
    mean_ms: u32,
    count: u32,
}

/// Admission to one service.
#[derive(Debug)]
struct ServiceAdmission {
    admission: OverloadAdmission,
    /// Whether the service was last logged as overloaded.
    is_overloaded: bool,
}

/// Admission to all plain services.
#[derive(Debug, Default)]
pub(crate) struct OverloadControl {
    by_service: Mutex<HashMap<ServiceName, ServiceAdmission>>,
}

impl OverloadControl {
    /// Decides whether a request is sent to its service, which has `servers` servers.
    ///
    /// Nor is a request sent if the response time exceeds its remaining time.
    pub(crate) fn admits(&self, request: &RoutedRequest, servers: usize) -> bool {
        if request.service.is_engine {
            // Engines order their queues by priority, and a prompt's length determines the response time.
            return true;
        }
        let now = Instant::now();
        let organisation = request.organisation.as_deref().unwrap_or_default();
        let target = request.route.target_latency;
        let mut by_service = self.lock();
        let service = ServiceAdmission::of(&mut by_service, &request.service.name, now);
        let admission = &mut service.admission;
        let is_admitted = admission.admit(organisation, target, servers, now, &mut rand::rng());
        let response_time = admission.response_time(servers, now);
        let admitted = admission.admitted();
        service.log(&request.service.name, admitted, response_time);
        is_admitted && response_time < request.time_left()
    }

    /// Returns the ratio of the service's response time to the target latency of a request.
    pub(crate) fn pressure(&self, request: &RoutedRequest, servers: usize) -> f64 {
        let now = Instant::now();
        let mut by_service = self.lock();
        let service = ServiceAdmission::of(&mut by_service, &request.service.name, now);
        let response_time = service.admission.response_time(servers, now);
        let target = request.route.target_latency.max(Duration::from_millis(1));
        response_time.div_duration_f64(target)
    }

    /// Returns the time that the service of a request needs to respond, as far as it is known.
    pub(crate) fn response_time(&self, request: &RoutedRequest, servers: usize) -> Duration {
        let by_service = self.lock();
        let service = by_service.get(&request.service.name);
        service.map_or(Duration::ZERO, |service| {
            service.admission.response_time(servers, Instant::now())
        })
    }

    /// Records the result of an attempt that took `time`.
    pub(crate) fn record_attempt(
        &self,
        request: &RoutedRequest,
        server: &Server,
        time: Duration,
        failure: Option<AttemptFailure>,
    ) {
        if request.service.is_engine {
            return;
        }
        let (now, target) = (Instant::now(), request.route.target_latency);
        let mut by_service = self.lock();
        let Some(service) = by_service.get_mut(&request.service.name) else {
            return;
        };
        let admission = &mut service.admission;
        match failure {
            None => admission.record_response(server.hash, time, target, now),
            Some(AttemptFailure::Rejected) => {
                admission.record_rejection(server.hash, target, now);
            }
            // The time to a failure does not depend on the length of the queue.
            Some(_) => {}
        }
    }

    /// Merges the response times that a peer reports.
    pub(crate) fn merge(&self, reported: &[ServerTimes], servers: &ServerSet) {
        if reported.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut by_service = self.lock();
        for (name, service) in by_service.iter_mut() {
            for server in servers.of_service(name) {
                let found = reported.iter().find(|times| times.server == server.hash);
                if let Some(times) = found {
                    service.admission.merge((*times).into(), now);
                }
            }
        }
    }

    /// Returns the response times to report to peers in this round; `routers` is the size of the fleet.
    pub(crate) fn take_report(&self, routers: u32) -> Vec<ServerTimes> {
        let mut by_service = self.lock();
        let times = by_service
            .values_mut()
            .flat_map(|service| service.admission.take_report(routers));
        times.map(ServerTimes::from).take(MAX_REPORTED).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceAdmission>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceAdmission {
    /// Returns the admission to a service, which is new if nothing is known of the service.
    fn of<'a>(
        by_service: &'a mut HashMap<ServiceName, Self>,
        service: &str,
        now: Instant,
    ) -> &'a mut Self {
        by_service
            .entry(service.to_owned())
            .or_insert_with(|| Self {
                admission: OverloadAdmission::new(now),
                is_overloaded: false,
            })
    }

    /// Logs the start and end of an overload.
    fn log(&mut self, service: &str, admitted: f64, response_time: Duration) {
        let response_ms = response_time.as_millis() as u64;
        if !self.is_overloaded && admitted < OVERLOADED_BELOW {
            self.is_overloaded = true;
            warn!(event = "service-overloaded", service, admitted, response_ms);
        } else if self.is_overloaded && admitted >= 1.0 {
            self.is_overloaded = false;
            info!(event = "service-overload-ended", service, response_ms);
        }
    }
}

impl From<ReportedTimes> for ServerTimes {
    fn from(times: ReportedTimes) -> Self {
        Self {
            server: times.server,
            mean_ms: times.mean.as_millis() as u32,
            count: times.count,
        }
    }
}

impl From<ServerTimes> for ReportedTimes {
    fn from(times: ServerTimes) -> Self {
        Self {
            server: times.server,
            mean: Duration::from_millis(times.mean_ms.into()),
            count: times.count,
        }
    }
}
