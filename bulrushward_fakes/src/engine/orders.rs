//! Orders to an engine, with fencing numbers.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
};

use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http::ErrorResponse;

/// gRPC code of a failed precondition.
const CODE_FAILED_PRECONDITION: i32 = 9;

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a model, or a version of one.
    LoadModel(String),
    /// Loads an adapter.
    LoadAdapter(String),
    /// Takes another role.
    ChangeRole(EngineRole),
}

/// Part of the work that an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Everything.
    #[default]
    Whole,
    /// Reads prompts.
    Prefill,
    /// Produces tokens.
    Decode,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing number of the one who gives the order.
    pub fencing: u64,
    /// The order.
    pub order: EngineOrder,
}

/// What the orders so far have led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersState {
    /// Highest fencing number of an order that was carried out.
    pub fencing: u64,
    /// Models that were loaded.
    pub models: BTreeSet<String>,
    /// Adapters that were loaded.
    pub adapters: BTreeSet<String>,
    /// Role of the engine.
    pub role: EngineRole,
    /// Every order that was carried out, oldest first.
    pub carried_out: Vec<OrderRequest>,
}

/// Orders that an engine was given.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fencing: bool,
    state: Mutex<OrdersState>,
}

impl Orders {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            state: Mutex::default(),
        }
    }

    pub(crate) fn state(&self) -> OrdersState {
        self.lock().clone()
    }

    pub(crate) fn clear(&self) {
        *self.lock() = OrdersState::default();
    }

    /// Carries out an order, unless its fencing number is old and numbers are checked.
    pub(crate) fn execute(&self, request: OrderRequest) -> Result<OrdersState, ErrorResponse> {
        let mut state = self.lock();
        if self.checks_fencing && request.fencing < state.fencing {
            let message = format!(
                "fencing number {} is older than {}, the number of an earlier order",
                request.fencing, state.fencing
            );
            let status = StatusCode::CONFLICT;
            return Err(ErrorResponse {
                status,
                code: CODE_FAILED_PRECONDITION,
                message,
            });
        }
        state.fencing = state.fencing.max(request.fencing);
        match &request.order {
            EngineOrder::LoadModel(model) => {
                state.models.insert(model.clone());
            }
            EngineOrder::LoadAdapter(adapter) => {
                state.adapters.insert(adapter.clone());
            }
            EngineOrder::ChangeRole(role) => state.role = *role,
        }
        state.carried_out.push(request);
        Ok(state.clone())
    }

    fn lock(&self) -> MutexGuard<'_, OrdersState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
