//! What each organisation usually sends.
//!
//! Handles: an organisation that suddenly sends many times its usual requests to a service of few places, and
//! organisations whose usual requests differ. Fair shares are relative to the usual requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time over which the usual requests are averaged while there are free places.
const CALM_MEMORY: Duration = Duration::from_mins(1);
/// Time over which they are averaged while places are scarce, as a surge is not usual.
const SCARCE_MEMORY: Duration = Duration::from_mins(15);
/// Time after which an organisation without requests is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(5);
/// Largest number of organisations that are remembered.
const MAX_ORGANISATIONS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Usual {
    rate: f64,
    updated: Instant,
}

impl Usual {
    /// Returns the rate after a time without requests.
    fn decayed(&self, memory: Duration, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated);
        self.rate * (-elapsed.div_duration_f64(memory)).exp()
    }
}

/// Usual requests of organisations to one service, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct UsualDemand {
    by_organisation: HashMap<String, Usual>,
}

impl UsualDemand {
    /// Returns the usual requests per second of an organisation.
    #[must_use]
    pub fn rate(&self, organisation: &str) -> f64 {
        let usual = self.by_organisation.get(organisation);
        usual.map_or(0.0, |usual| usual.rate)
    }

    /// Records a request.
    pub fn record(&mut self, organisation: &str, is_scarce: bool, now: Instant) {
        let memory = if is_scarce {
            SCARCE_MEMORY
        } else {
            CALM_MEMORY
        };
        if let Some(usual) = self.by_organisation.get_mut(organisation) {
            usual.rate = usual.decayed(memory, now) + 1.0 / memory.as_secs_f64();
            usual.updated = now;
            return;
        }
        if self.by_organisation.len() >= MAX_ORGANISATIONS {
            self.by_organisation
                .retain(|_, usual| now.saturating_duration_since(usual.updated) < FORGET_AFTER);
        }
        let rate = 1.0 / memory.as_secs_f64();
        if self.by_organisation.len() < MAX_ORGANISATIONS {
            let usual = Usual { rate, updated: now };
            self.by_organisation.insert(organisation.to_owned(), usual);
        }
    }
}
