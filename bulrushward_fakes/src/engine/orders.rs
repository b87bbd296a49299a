//! Administrative orders to an engine, with fencing tokens.

use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
};

use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http::ErrorResponse;

/// gRPC code of a failed precondition.
const CODE_FAILED_PRECONDITION: i32 = 9;

/// Administrative order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a model, or a version of one.
    LoadModel(String),
    /// Loads an adapter.
    LoadAdapter(String),
    /// Changes the role of the engine.
    ChangeRole(EngineRole),
}

/// Part of the inference work that an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// Fencing token of the sender.
    pub fencing: u64,
    /// The order.
    pub order: EngineOrder,
}

/// State that results from the orders executed so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersState {
    /// Highest fencing token of an executed order.
    pub fencing: u64,
    /// Loaded models.
    pub models: BTreeSet<String>,
    /// Loaded adapters.
    pub adapters: BTreeSet<String>,
    /// Role of the engine.
    pub role: EngineRole,
    /// Executed orders, oldest first.
    pub carried_out: Vec<OrderRequest>,
}

/// Executes orders and keeps the resulting state.
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

    /// Executes an order.
    ///
    /// # Errors
    ///
    /// Rejects an order whose fencing token is older than that of an earlier order, if tokens are
    /// checked.
    pub(crate) fn execute(&self, request: OrderRequest) -> Result<OrdersState, ErrorResponse> {
        let mut state = self.lock();
        if self.checks_fencing && request.fencing < state.fencing {
            let message = format!(
                "fencing token {} is older than {}, the token of an earlier order",
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
