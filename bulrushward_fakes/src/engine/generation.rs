//! Generation of one completion.

use std::{io, sync::Arc};

use tokio::time::sleep;

use super::{
    EngineState,
    batch::{BatchSlot, Priority},
    cache::BYTES_PER_TOKEN,
    chat::completion_tokens,
};

/// A completion in progress; dropping it cancels the generation.
pub(crate) struct Generation {
    state: Arc<EngineState>,
    /// Prompt and the completion so far.
    text: String,
    prompt_bytes: usize,
    tokens: Box<dyn Iterator<Item = String> + Send>,
    count: usize,
    produced: usize,
    cached_tokens: usize,
    /// Whether the prompt triggers a crash of the engine.
    triggers_crash: bool,
    _slot: BatchSlot,
}

impl Generation {
    /// Waits for a slot in the batch and prefills the prompt.
    pub(crate) async fn start(
        state: Arc<EngineState>,
        prompt: String,
        count: usize,
        priority: Priority,
    ) -> Self {
        let slot = state.batch.acquire(priority).await;
        let cached_tokens = state.cache().cached_tokens(&prompt);
        let crash_on = state.faults.get().crash_on;
        let generation = Self {
            tokens: Box::new(completion_tokens(&prompt, count)),
            prompt_bytes: prompt.len(),
            text: prompt,
            count,
            produced: 0,
            cached_tokens,
            triggers_crash: false,
            _slot: slot,
            state,
        };
        let triggers_crash = !crash_on.is_empty() && generation.text.contains(&crash_on);
        let uncached = generation.prompt_tokens().saturating_sub(cached_tokens);
        let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
        sleep(generation.state.settings.prefill_time * uncached).await;
        generation.store_in_cache();
        Self {
            triggers_crash,
            ..generation
        }
    }

    /// Returns the next token, or `None` after the last.
    ///
    /// # Errors
    ///
    /// Returns an error if a fault truncates the response here.
    pub(crate) async fn next(&mut self) -> io::Result<Option<String>> {
        let faults = self.state.faults.get();
        if self.triggers_crash && self.produced >= faults.crash_after_tokens {
            self.state.process.crash().await;
        }
        if faults
            .cut_after_tokens
            .is_some_and(|tokens| self.produced >= tokens)
        {
            // Lets the server send the tokens so far before it closes the connection.
            tokio::task::yield_now().await;
            return Err(io::Error::other("the response is truncated by a fault"));
        }
        let Some(token) = self.tokens.next() else {
            self.text.push('\n');
            self.store_in_cache();
            return Ok(None);
        };
        sleep(self.state.settings.token_time).await;
        self.state.wait_while_frozen().await;
        if self.produced == 0 {
            self.state.faults.delay(|faults| faults.delay).await;
            self.text.push_str("assistant: ");
        }
        self.produced += 1;
        self.text.push_str(&token);
        Ok(Some(token))
    }

    pub(crate) fn prompt_tokens(&self) -> usize {
        self.prompt_bytes.div_ceil(BYTES_PER_TOKEN)
    }

    pub(crate) fn cached_tokens(&self) -> usize {
        self.cached_tokens.min(self.prompt_tokens())
    }

    pub(crate) fn completion_tokens(&self) -> usize {
        self.count
    }

    pub(crate) fn duplicates_events(&self) -> bool {
        self.state.faults.get().duplicate_events
    }

    /// Stores the text so far in the prefix cache.
    fn store_in_cache(&self) {
        let change = self.state.cache().store(&self.text);
        self.state
            .cache_events
            .publish(change.stored, change.removed);
    }
}
