//! The parts of a chat completion request that placement needs.

use salvo::http::StatusCode;
use serde::Deserialize;

use super::refusal::Rejection;

/// Characters of a prompt that make about one token.
const CHARACTERS_PER_TOKEN: u64 = 4;
/// Prompt tokens that cost an engine about as much as one generated token.
const PROMPT_TOKENS_PER_UNIT: u64 = 16;
/// Generated tokens that are assumed when the caller names no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest limit on generated tokens that a caller may name.
const MAX_TOKENS_LIMIT: u64 = 10_000_000;

/// A chat completion request; fields that the fleet does not need are left to the engine.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    stream: Option<bool>,
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
    /// Checks what the types of the fields leave open.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is no message or the limit on tokens is beyond reason.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        if self.messages.is_empty() {
            return Err(invalid("\"messages\" is empty"));
        }
        if self.max_tokens().is_some_and(|max| max > MAX_TOKENS_LIMIT) {
            let fault = format!("the limit on tokens is above {MAX_TOKENS_LIMIT}");
            return Err(invalid(&fault));
        }
        Ok(())
    }

    /// Returns whether the caller asked for the answer piece by piece.
    pub(crate) fn is_streamed(&self) -> bool {
        self.stream.unwrap_or(false)
    }

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

fn invalid(fault: &str) -> Rejection {
    let message = format!("the body is not a chat completion request: {fault}");
    Rejection::new(StatusCode::BAD_REQUEST, "invalid-body", message)
}
