//! The parts of a chat completion request that placement needs.

use serde::Deserialize;

/// Characters of a prompt that make about one token.
const CHARACTERS_PER_TOKEN: u64 = 4;
/// Prompt tokens that cost an engine about as much as one generated token.
const PROMPT_TOKENS_PER_UNIT: u64 = 16;
/// Generated tokens that are assumed when the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A chat completion request; fields that the fleet does not need are left to the engine.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    #[serde(default)]
    pub(crate) content: serde_json::Value,
}

impl ChatRequest {
    /// Returns the limit on generated tokens, if the caller named one.
    pub(crate) fn max_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Estimates the work of the request.
    pub(crate) fn work(&self, body_length: usize) -> u64 {
        let prompt_tokens = body_length as u64 / CHARACTERS_PER_TOKEN;
        self.max_tokens().unwrap_or(DEFAULT_MAX_TOKENS) + prompt_tokens / PROMPT_TOKENS_PER_UNIT
    }

    /// Returns the opening of the conversation: all messages up to the first of the user.
    ///
    /// Later turns of the same chat begin with the same messages.
    pub(crate) fn opening(&self) -> Vec<String> {
        let first_user = self
            .messages
            .iter()
            .position(|message| message.role == "user");
        let end = first_user.map_or(self.messages.len(), |index| index + 1);
        self.messages[..end]
            .iter()
            .map(|m| format!("{}\u{0}{}", m.role, m.content))
            .collect()
    }
}
