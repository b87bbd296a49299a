//! Places of one server.

use std::time::{Duration, Instant};

/// Fraction of the slots that may wait at a server, so that it has work until the next request arrives.
const QUEUE_FRACTION: f64 = 0.34;
/// Largest ratio of lent places to slots.
const MAX_RATIO: f64 = 3.0;
/// Factor of the places after a rejection by the full server.
const REJECTION_FACTOR: f64 = 0.85;
/// Shortest time between two reductions, as requests that are rejected together have one cause.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);
/// Places gained in a second, as a fraction of the slots.
const GAIN_PER_SECOND: f64 = 1.5;
/// Multiple of the service's usual time from which a server counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Weight of the newest time in the moving average of a server.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Failures in a row from which a server gets nothing for a while.
const MAX_FAILURES: u32 = 2;
/// Time for which a failing server gets nothing.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// The places of one server that may be lent and those that are.
#[derive(Clone, Debug)]
pub(super) struct ServerPlaces {
    slots: u32,
    /// Places that the server has been found to have.
    found: f64,
    pub(super) lent: u32,
    /// Moving average of the seconds until the server responds.
    response: Option<f64>,
    /// Moving average of the seconds for which a place is lent, but the request is not at the server.
    transit: f64,
    updated: Instant,
    reduced: Option<Instant>,
    failures: u32,
    paused_until: Option<Instant>,
}

impl ServerPlaces {
    pub(super) fn new(slots: u32, now: Instant) -> Self {
        let mut places = Self {
            slots: slots.max(1),
            found: 0.0,
            lent: 0,
            response: None,
            transit: 0.0,
            updated: now,
            reduced: None,
            failures: 0,
            paused_until: None,
        };
        places.found = places.most();
        places
    }

    /// Changes the slots, as the server's entry may change.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots.max(1) != self.slots {
            self.slots = slots.max(1);
            self.found = self.found.min(self.most());
        }
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the seconds until the server responds, if known.
    pub(super) fn response(&self) -> Option<f64> {
        self.response
    }

    /// Returns the number of places; `usual` is the median of the service's response times in seconds.
    pub(super) fn limit(&self, usual: Option<f64>, now: Instant) -> u32 {
        if self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        if self.failures >= MAX_FAILURES {
            return 1;
        }
        let slowness = match (self.response, usual) {
            (Some(response), Some(usual)) if usual > 0.0 => response / usual,
            _ => 1.0,
        };
        let fraction = (SLOW_FACTOR / slowness.max(SLOW_FACTOR)).min(1.0);
        (self.found * fraction).max(1.0) as u32
    }

    /// Gains places for the time since the last call.
    pub(super) fn probe_up(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let gain = elapsed * GAIN_PER_SECOND * f64::from(self.slots);
        self.found = (self.found + gain).min(self.most());
    }

    /// Records a response; the place was lent for `held`.
    pub(super) fn record_ended(&mut self, response: Duration, held: Duration) {
        self.failures = 0;
        self.record_response(response);
        let transit = held.saturating_sub(response).as_secs_f64();
        self.transit += SAMPLE_WEIGHT * (transit - self.transit);
    }

    /// Records that a place was lent for `held` until it was taken back.
    pub(super) fn record_expired(&mut self, held: Duration) {
        self.record_response(held);
    }

    /// Records that the server was full with `lent` places and the rejected one.
    pub(super) fn record_rejection(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REDUCTION_INTERVAL;
        if self.reduced.is_some_and(is_recent) {
            return;
        }
        self.reduced = Some(now);
        let in_use = f64::from(self.lent.max(1));
        self.found = (self.found.min(in_use + 1.0) * REJECTION_FACTOR).max(1.0);
    }

    pub(super) fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.paused_until = Some(now + FAILURE_PAUSE);
        }
    }

    fn record_response(&mut self, response: Duration) {
        let sample = response.as_secs_f64();
        let average = self.response.get_or_insert(sample);
        *average += SAMPLE_WEIGHT * (sample - *average);
    }

    /// Returns the largest number of places: those in use and in transit, and a short queue.
    fn most(&self) -> f64 {
        let slots = f64::from(self.slots);
        let response = self.response.unwrap_or_default();
        let in_transit = if response > 0.0 {
            slots * self.transit / response
        } else {
            0.0
        };
        (slots + in_transit + slots * QUEUE_FRACTION)
            .ceil()
            .min(slots * MAX_RATIO)
    }
}
