//! Settings and faults of a model engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::crash::OnCrash;

/// Settings of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Time between two tokens of a completion.
    pub token_time: Duration,
    /// Prefill time per uncached prompt token, before the first token.
    pub prefill_time: Duration,
    /// Number of tokens in a completion if the request sets no maximum.
    pub default_completion_tokens: usize,
    /// Maximum number of requests that run at once; others wait in order of priority.
    pub batch_size: usize,
    /// Number of prompt tokens in a block of the prefix cache.
    pub block_tokens: usize,
    /// Number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Delay with which the load is reported.
    pub load_lag: Duration,
    /// Delay between a cache change and its event.
    pub cache_event_delay: Duration,
    /// Drops every event whose number is a multiple of this; 0 drops none.
    pub cache_event_gap: u64,
    /// Whether an order with an outdated fencing token is rejected.
    pub checks_fencing: bool,
    /// How a crash is simulated.
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

/// Faults of a running model engine.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Text whose occurrence in a prompt crashes the engine; empty for none.
    pub crash_on: String,
    /// Number of tokens generated for such a prompt before the engine crashes.
    pub crash_after_tokens: usize,
    /// Halts all responses until this is cleared; connections are still accepted.
    pub freeze: bool,
    /// Closes the connection of a response after this number of tokens.
    pub cut_after_tokens: Option<usize>,
    /// Sends every token event of a stream twice.
    pub duplicate_events: bool,
    /// Additional delay before the first token; a change of this value ends the wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
}
