//! The transport of control exchanges between routers and agents.
//!
//! A package of its own, so that programs without agents are built without nng.

mod control;

pub use control::{Listener, MAX_MESSAGE_BYTES, TransportError, call};
