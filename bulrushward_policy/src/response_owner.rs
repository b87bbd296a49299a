//! Whether a response that arrives on a connection belongs to the current request of the connection.
//!
//! Handles: servers that send a copy of an earlier response where the next one is expected, also of one that names no
//! request; servers that refuse requests before they have read them.

/// A response head on a connection, and the request that waits for one.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedHead<'a> {
    /// Id of the request that waits; empty if it has none.
    pub awaited: &'a str,
    /// Id that the response names.
    pub named: Option<&'a str>,
    /// Whether the response says that its request has not run.
    pub is_refusal: bool,
    /// Whether the connection has carried a request before, of which a late copy may arrive.
    pub is_reused: bool,
}

impl ArrivedHead<'_> {
    /// Returns whether the response is that of the request which waits.
    ///
    /// One that names no request can only be its response if nothing else was ever sent on the connection. All but refusals
    /// name the request that they answer, if it has an id.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        match self.named {
            Some(named) => named == self.awaited,
            None => !self.is_reused && (self.is_refusal || self.awaited.is_empty()),
        }
    }
}
