//! Chat completions, whole and streamed.

use std::sync::{Arc, atomic::Ordering};

use salvo::{Response, http::header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::EngineState;
use crate::http::{Refusal, write_json};

/// Prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// A chat completion request, as far as the engine heeds it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    pub(crate) max_tokens: Option<usize>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Message {
    pub(crate) role: String,
    pub(crate) content: String,
}

impl ChatRequest {
    /// Returns the prompt that the messages make.
    pub(crate) fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }
}

#[derive(Debug, Serialize)]
struct Completion {
    id: String,
    object: &'static str,
    model: String,
    choices: Vec<Choice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
    total_tokens: usize,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct PromptTokensDetails {
    cached_tokens: usize,
}

/// Returns the tokens that an engine answers a prompt with; they differ from prompt to prompt.
pub fn answer_tokens(prompt: &str, count: usize) -> impl Iterator<Item = String> + use<> {
    let hash = xxh3_64(prompt.as_bytes()) >> 32;
    (0..count).map(move |index| format!("{hash:08x}-{index} "))
}

/// Counts a request as running while it exists.
struct Running(Arc<EngineState>);

impl Running {
    fn new(state: Arc<EngineState>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self(state)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a request.
pub(crate) async fn answer(
    state: Arc<EngineState>,
    request: ChatRequest,
    res: &mut Response,
) -> Result<(), Refusal> {
    let prompt = request.prompt();
    let count = request.max_tokens.unwrap_or(state.settings.answer_tokens);
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
    let usage = Usage {
        prompt_tokens,
        completion_tokens: count,
        total_tokens: prompt_tokens + count,
        prompt_tokens_details: PromptTokensDetails { cached_tokens: 0 },
    };
    let id = format!("chatcmpl-{:016x}", xxh3_64(prompt.as_bytes()));
    let running = Running::new(state);
    if request.stream {
        stream(running, request.model, id, &prompt, usage, res);
        return Ok(());
    }
    whole(running, request.model, id, &prompt, usage, res).await
}

async fn whole(
    running: Running,
    model: String,
    id: String,
    prompt: &str,
    usage: Usage,
    res: &mut Response,
) -> Result<(), Refusal> {
    let mut content = String::new();
    for token in answer_tokens(prompt, usage.completion_tokens) {
        tokio::time::sleep(running.0.settings.token_time).await;
        content.push_str(&token);
    }
    let message = Message {
        role: "assistant".to_owned(),
        content,
    };
    let choice = Choice {
        index: 0,
        message: Some(message),
        delta: None,
        finish_reason: Some("stop"),
    };
    let completion = Completion {
        id,
        object: "chat.completion",
        model,
        choices: vec![choice],
        usage: Some(usage),
    };
    write_json(res, completion)
}

fn stream(
    running: Running,
    model: String,
    id: String,
    prompt: &str,
    usage: Usage,
    res: &mut Response,
) {
    res.headers_mut().insert(
        CONTENT_TYPE,
        salvo::http::HeaderValue::from_static("text/event-stream"),
    );
    let mut tx = res.channel();
    let tokens = answer_tokens(prompt, usage.completion_tokens);
    let chunk = move |content: Option<String>, usage: Option<Usage>| {
        let finish_reason = usage.map(|_| "stop");
        let choice = Choice {
            index: 0,
            message: None,
            delta: Some(Delta { content }),
            finish_reason,
        };
        let completion = Completion {
            id: id.clone(),
            object: "chat.completion.chunk",
            model: model.clone(),
            choices: vec![choice],
            usage,
        };
        format!(
            "data: {}\n\n",
            serde_json::to_string(&completion).unwrap_or_default()
        )
    };
    tokio::spawn(async move {
        for token in tokens {
            tokio::time::sleep(running.0.settings.token_time).await;
            if tx.send_data(chunk(Some(token), None)).await.is_err() {
                return;
            }
        }
        let end = chunk(None, Some(usage)) + "data: [DONE]\n\n";
        // A caller that has gone needs no end.
        let _sent = tx.send_data(end).await;
    });
}
