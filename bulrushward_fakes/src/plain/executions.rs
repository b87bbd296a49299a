//! Record of what a plain service executed.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

/// What tells one action from another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Action {
    /// Value of the `idempotency-key` header, empty if there is none.
    pub idempotency_key: String,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Body of the request.
    pub body: String,
}

/// An action and how often it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// What ran.
    #[serde(flatten)]
    pub action: Action,
    /// Number of times.
    pub count: u64,
}

/// Answer to a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// The action that ran.
    #[serde(flatten)]
    pub action: Action,
    /// Which execution of this action it was, from 1.
    pub execution: u64,
}

/// Record of what was executed.
#[derive(Debug, Default)]
pub(crate) struct ExecutionCounts(Mutex<BTreeMap<Action, u64>>);

impl ExecutionCounts {
    /// Returns every action that ran.
    pub(crate) fn all(&self) -> Vec<Execution> {
        let counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts
            .iter()
            .map(|(action, &count)| Execution {
                action: action.clone(),
                count,
            })
            .collect()
    }

    /// Records an execution and returns which one of its action it is.
    pub(crate) fn record(&self, action: &Action) -> u64 {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(action.clone()).or_default();
        *count += 1;
        *count
    }
}
