//! Chat completions, complete or streamed.

use std::{io, sync::Arc};

use futures_util::stream;
use salvo::{
    Response,
    http::{HeaderValue, header::CONTENT_TYPE},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{EngineState, batch::Priority, generation::Generation};
use crate::http::{Failure, write_json};

/// Chat completion request, with the fields that the fake uses.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<usize>,
    #[serde(default)]
    priority: Priority,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(flatten)]
    content: Content,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Content {
    /// A complete response.
    Message(ChatMessage),
    /// One token of a streamed response.
    Delta(Delta),
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

/// Returns the prompt text for the messages of a chat.
#[must_use]
pub fn render_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// Returns the tokens that an engine generates for a prompt; each prompt yields different tokens.
pub fn completion_tokens(prompt: &str, count: usize) -> impl Iterator<Item = String> + use<> {
    let hash = xxh3_64(prompt.as_bytes());
    (0..count).map(move |index| format!("{hash:016x}-{index} "))
}

/// Handles a chat completion request.
pub(crate) async fn respond(
    state: Arc<EngineState>,
    request: ChatRequest,
    res: &mut Response,
) -> Result<(), Failure> {
    let prompt = render_prompt(&request.messages);
    let id = format!("chatcmpl-{:016x}", xxh3_64(prompt.as_bytes()));
    let count = request
        .max_tokens
        .unwrap_or(state.settings.default_completion_tokens);
    if request.stream {
        let start = Generation::start(state, prompt, count, request.priority);
        stream_completion(start, id, request.model, res);
        return Ok(());
    }
    let generation = Generation::start(state, prompt, count, request.priority).await;
    write_completion(generation, &id, &request.model, res).await
}

/// Sets the content type of a response to server-sent events.
pub(crate) fn set_event_stream_type(res: &mut Response) {
    let value = HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(CONTENT_TYPE, value);
}

async fn write_completion(
    mut generation: Generation,
    id: &str,
    model: &str,
    res: &mut Response,
) -> Result<(), Failure> {
    let mut content = String::new();
    loop {
        match generation.next().await {
            Ok(Some(token)) => content.push_str(&token),
            Ok(None) => break,
            Err(_truncated) => return Err(Failure::ConnectionClosed),
        }
    }
    let message = ChatMessage {
        role: "assistant".to_owned(),
        content,
    };
    let content = Content::Message(message);
    let choices = [Choice {
        index: 0,
        content,
        finish_reason: Some("stop"),
    }];
    let usage = Some(usage(&generation));
    write_json(
        res,
        Completion {
            id,
            object: "chat.completion",
            model,
            choices,
            usage,
        },
    )
}

/// Next step of a streamed response.
enum Step<S> {
    Start(S),
    Token(Generation),
    End,
}

fn stream_completion<S>(start: S, id: String, model: String, res: &mut Response)
where
    S: Future<Output = Generation> + Send + 'static,
{
    set_event_stream_type(res);
    let first = Step::Start(Box::pin(start));
    res.stream(stream::try_unfold(
        (first, id, model),
        async |(step, id, model)| {
            let mut generation = match step {
                Step::Start(start) => start.await,
                Step::Token(generation) => generation,
                Step::End => return Ok::<_, io::Error>(None),
            };
            let Some(token) = generation.next().await? else {
                let end = encode_event(&id, &model, None, Some(usage(&generation)));
                return Ok(Some((end + "data: [DONE]\n\n", (Step::End, id, model))));
            };
            let mut events = encode_event(&id, &model, Some(token), None);
            if generation.duplicates_events() {
                events = events.repeat(2);
            }
            Ok(Some((events, (Step::Token(generation), id, model))))
        },
    ));
}

fn encode_event(id: &str, model: &str, content: Option<String>, usage: Option<Usage>) -> String {
    let finish_reason = usage.map(|_| "stop");
    let content = Content::Delta(Delta { content });
    let choices = [Choice {
        index: 0,
        content,
        finish_reason,
    }];
    let completion = Completion {
        id,
        object: "chat.completion.chunk",
        model,
        choices,
        usage,
    };
    format!(
        "data: {}\n\n",
        serde_json::to_string(&completion).unwrap_or_default()
    )
}

fn usage(generation: &Generation) -> Usage {
    let prompt_tokens = generation.prompt_tokens();
    let completion_tokens = generation.completion_tokens();
    let cached_tokens = generation.cached_tokens();
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
        prompt_tokens_details: PromptTokensDetails { cached_tokens },
    }
}
