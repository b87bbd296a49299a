//! Names of the HTTP headers that routers and agents read or set.

/// Prefix of the headers that only routers set; those of callers and backend servers are dropped.
pub const PREFIX: &str = "x-bulrushward-";
/// Carries the request id on every response.
pub const REQUEST_ID: &str = "x-bulrushward-request";
/// Carries the [`crate::Outcome`] on every refusal.
pub const OUTCOME: &str = "x-bulrushward-outcome";
/// Carries the attempt to which the response of an agent belongs.
pub const ATTEMPT: &str = "x-bulrushward-attempt";
/// Carries the backend server that responded.
pub const BACKEND: &str = "x-bulrushward-backend";
/// Carries an optional chat id from the caller.
pub const CHAT: &str = "x-chat-id";
/// Carries an optional kind of work from the caller.
pub const KIND: &str = "x-work-kind";
/// Carries the caller's idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the fencing token of an order to a backend server.
pub const FENCING_TOKEN: &str = "x-fencing-token";
