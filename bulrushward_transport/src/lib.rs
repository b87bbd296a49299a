//! Transport of gossip exchanges between routers and agents.
//!
//! A separate package, so that programs without agents do not depend on nng.

mod control;

pub use control::{Listener, MAX_MESSAGE_BYTES, TransportError, call};
