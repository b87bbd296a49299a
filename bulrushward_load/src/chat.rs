//! Bodies of chat requests.

use serde::Serialize;

use crate::arrivals::Arrival;

#[derive(Debug, Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    stream: bool,
    max_tokens: u32,
    messages: Vec<Message>,
}

#[derive(Debug, Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

/// Returns the body of a chat request.
///
/// Each turn repeats the messages of the earlier turns, from which routers recognise the chat.
pub(crate) fn body(
    arrival: &Arrival,
    seed: u64,
    model: &str,
    stream: bool,
    max_tokens: u32,
) -> Vec<u8> {
    let chat = arrival.chat;
    let mut messages = vec![
        message(
            "system",
            "Assess the portfolio and answer briefly.".to_owned(),
        ),
        message("user", format!("Portfolio {seed}-{chat}, first question.")),
    ];
    for turn in 1..=arrival.turn {
        messages.push(message("assistant", format!("Answer {turn}.")));
        messages.push(message("user", format!("Question {turn}.")));
    }
    let request = ChatRequest {
        model,
        stream,
        max_tokens,
        messages,
    };
    serde_json::to_vec(&request).expect("strings and numbers always serialize")
}

fn message(role: &'static str, content: String) -> Message {
    Message { role, content }
}
