//! Retry budget as a fraction of requests.

/// Largest number of retries that a router can accumulate.
const MAX_BALANCE: f64 = 10.0;
/// Balance of a new router; it starts full, as a crash may fail several requests at once before the
/// router has had many requests.
const INITIAL_BALANCE: f64 = MAX_BALANCE;

/// Limits retries to a fraction of requests.
///
/// Each router withdraws only what its own requests deposit, so the retries of the whole fleet stay
/// within the same fraction of its traffic without coordination.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    fraction: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates the budget of one router; `fraction` is the number of retries allowed per request.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction: fraction.clamp(0.0, 1.0),
            balance: INITIAL_BALANCE,
        }
    }

    /// Replaces the fraction and keeps the balance.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction.clamp(0.0, 1.0);
    }

    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.fraction).min(MAX_BALANCE);
    }

    /// Withdraws one retry; returns whether it may be sent.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the number of retries that may be sent now.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.balance as u32
    }
}
