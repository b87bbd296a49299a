//! Counts of the executions of a plain service.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

/// Request properties that identify an action.
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

/// An action and the number of its executions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The executed action.
    #[serde(flatten)]
    pub action: Action,
    /// Number of executions.
    pub count: u64,
}

/// Response to a request that was executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// The executed action.
    #[serde(flatten)]
    pub action: Action,
    /// Sequence number of this execution of the action, from 1.
    pub execution: u64,
}

/// Number of executions per action.
#[derive(Debug, Default)]
pub(crate) struct ExecutionCounts(Mutex<BTreeMap<Action, u64>>);

impl ExecutionCounts {
    /// Returns every executed action.
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

    /// Counts an execution and returns its sequence number among those of the same action.
    pub(crate) fn record(&self, action: &Action) -> u64 {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(action.clone()).or_default();
        *count += 1;
        *count
    }
}
