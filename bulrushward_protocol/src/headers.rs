//! Names of the HTTP headers of the fleet.

/// Prefix of all headers of the fleet; callers' own headers with it are dropped.
pub const PREFIX: &str = "x-bulrushward-";
/// Carries the request id on every answer.
pub const REQUEST_ID: &str = "x-bulrushward-request";
/// Carries the [`crate::Outcome`] on every refusal.
pub const OUTCOME: &str = "x-bulrushward-outcome";
/// Carries the backend server that answered.
pub const BACKEND: &str = "x-bulrushward-backend";
/// Carries the chat id that a caller may send to name its chat.
pub const CHAT: &str = "x-chat-id";
/// Carries the kind of work that a caller may ask for.
pub const KIND: &str = "x-work-kind";
/// Carries the caller's key for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Carries the fencing number of an order to a backend server.
pub const FENCING_TOKEN: &str = "x-fencing-token";
