//! The fields of a chat completion request that the router needs.

use salvo::http::StatusCode;
use serde::Deserialize;

use super::refusal::Rejection;

/// Approximate number of prompt characters per token.
const CHARACTERS_PER_TOKEN: u64 = 4;
/// Approximate number of prompt tokens that cost an engine as much as one generated token.
const PROMPT_TOKENS_PER_WORK_UNIT: u64 = 16;
/// Number of generated tokens that is assumed if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Largest limit on generated tokens that a caller may set.
const MAX_TOKENS_LIMIT: u64 = 10_000_000;

/// A chat completion request; all other fields are left to the engine.
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
    /// Validates what deserialisation does not check.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is no message or the limit on tokens is too large.
    pub(crate) fn check(&self) -> Result<(), Rejection> {
        if self.messages.is_empty() {
            return Err(invalid("\"messages\" is empty"));
        }
        if self.max_tokens().is_some_and(|max| max > MAX_TOKENS_LIMIT) {
            let problem = format!("the limit on tokens is larger than {MAX_TOKENS_LIMIT}");
            return Err(invalid(&problem));
        }
        Ok(())
    }

    /// Returns whether the caller requested a streamed response.
    pub(crate) fn is_streamed(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    /// Returns the limit on generated tokens, if the caller set one.
    pub(crate) fn max_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Estimates the work of the request from its token limit and body length.
    pub(crate) fn work(&self, body_length: usize) -> u64 {
        let prompt_tokens = body_length as u64 / CHARACTERS_PER_TOKEN;
        self.max_tokens().unwrap_or(DEFAULT_MAX_TOKENS)
            + prompt_tokens / PROMPT_TOKENS_PER_WORK_UNIT
    }

    /// Returns the messages up to the first one of the user.
    ///
    /// They identify the conversation, because later turns of the same chat begin with the same
    /// messages.
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

fn invalid(problem: &str) -> Rejection {
    let message = format!("the body is not a chat completion request: {problem}");
    Rejection::new(StatusCode::BAD_REQUEST, "invalid-body", message)
}
