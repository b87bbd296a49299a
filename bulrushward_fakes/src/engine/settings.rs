//! Settings of a model engine.

use std::time::Duration;

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Time between two tokens of an answer.
    pub token_time: Duration,
    /// Number of tokens in an answer if the request does not say.
    pub answer_tokens: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(30),
            answer_tokens: 16,
        }
    }
}
