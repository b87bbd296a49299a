//! Settings and faults of a model engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::crash::OnCrash;

/// Settings of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Time between two tokens of an answer.
    pub token_time: Duration,
    /// Time that each prompt token that is not cached adds before the first token.
    pub prefill_time: Duration,
    /// Number of tokens in an answer if the request does not say.
    pub default_completion_tokens: usize,
    /// Number of requests that run at once; others wait, by priority.
    pub batch_size: usize,
    /// Number of prompt tokens in a block of the prefix cache.
    pub block_tokens: usize,
    /// Number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Time between a change of the cache and its event.
    pub cache_event_delay: Duration,
    /// Every event whose number divides by this is left out; 0 for none.
    pub cache_event_gap: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// What a crash does.
    pub on_crash: OnCrash,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(30),
            prefill_time: Duration::from_micros(100),
            default_completion_tokens: 16,
            batch_size: 32,
            block_tokens: 16,
            cache_blocks: 4096,
            load_lag: Duration::from_millis(200),
            cache_event_delay: Duration::from_millis(200),
            cache_event_gap: 0,
            checks_fencing: true,
            on_crash: OnCrash::default(),
        }
    }
}

/// Faults of a model engine that runs.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// A prompt that holds this text crashes the engine; empty for none.
    pub crash_on: String,
    /// Number of tokens that an answer has when the engine crashes.
    pub crash_after_tokens: usize,
    /// Stops all answers until this ends; connections are still accepted.
    pub freeze: bool,
    /// Ends the connection of an answer after this number of tokens.
    pub cut_after_tokens: Option<usize>,
    /// Sends every event of a stream twice.
    pub duplicate_events: bool,
    /// Time before the first token, or until this changes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
}
