//! Sends single requests and records their outcomes and response times.

use std::time::{Duration, Instant};

use reqwest::{RequestBuilder, Response};
use snafu::{ResultExt, Snafu};
use strum::{Display, EnumString};

use crate::{arrivals::Arrival, chat, target::Target};

/// Header that carries the outcome of a refusal.
const OUTCOME_HEADER: &str = "x-bulrushward-outcome";
/// Last event of a streamed response.
const LAST_EVENT: &[u8] = b"[DONE]";

/// Kind of request.
#[derive(Clone, Copy, Debug, Display, EnumString, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Work {
    /// A chat request whose response is not streamed.
    WholeChat,
    /// A chat request whose response is streamed token by token.
    StreamedChat,
    /// An idempotent request to a plain service.
    Call,
    /// A non-idempotent request to a plain service, with an idempotency key of its own.
    Action,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete response arrived.
    #[strum(serialize = "whole")]
    Complete,
    /// The request was refused and did not run.
    NotRun,
    /// The request was refused after it ran.
    Ran,
    /// The request was refused, and it is unknown whether it ran.
    Unknown,
    /// The response was an error without an outcome.
    Error,
    /// The response was truncated.
    #[strum(serialize = "cut")]
    Truncated,
    /// There was no response.
    #[strum(serialize = "no-answer")]
    NoResponse,
    /// The request was still in progress when the load ended.
    Unfinished,
}

/// The outcome and times of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time until the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Times between consecutive chunks of the body.
    pub gaps: Vec<Duration>,
    /// Time until the end of the request.
    pub total_time: Duration,
}

impl Sample {
    fn new(outcome: Outcome, started: Instant) -> Self {
        Self {
            outcome,
            first_byte: None,
            gaps: Vec::new(),
            total_time: started.elapsed(),
        }
    }
}

/// An error in building the HTTP client.
#[derive(Debug, Snafu)]
#[snafu(display("cannot build the HTTP client: {source}"))]
pub struct ClientError {
    source: reqwest::Error,
}

/// Contents of the requests that a client sends.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// API keys, one for each organisation.
    pub keys: Vec<String>,
    /// Model that chats name.
    pub model: String,
    /// Maximum number of tokens in a response.
    pub max_tokens: u32,
    /// Seed of the load; it is part of the prompts, so that loads with other seeds share no chats.
    pub seed: u64,
}

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    settings: ClientSettings,
}

impl Client {
    /// Builds a client.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError`] if the HTTP client cannot be initialised.
    pub fn new(settings: ClientSettings) -> Result<Self, ClientError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(usize::MAX)
            // A redirect could send load to a host outside the loopback interface.
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .context(ClientSnafu)?;
        Ok(Self { http, settings })
    }

    /// Sends one request and reads its response to the end.
    pub async fn send(&self, target: &Target, work: Work, arrival: &Arrival) -> Sample {
        let request = self.request(target, work, arrival);
        let started = Instant::now();
        let Ok(response) = request.send().await else {
            return Sample::new(Outcome::NoResponse, started);
        };
        if !response.status().is_success() {
            let outcome = refusal_outcome(&response);
            // Reading the body makes the connection reusable.
            let _read = response.bytes().await;
            return Sample::new(outcome, started);
        }
        read_response(response, work, started).await
    }

    pub(crate) fn request(&self, target: &Target, work: Work, arrival: &Arrival) -> RequestBuilder {
        let index = arrival.index;
        let request = match work {
            Work::WholeChat | Work::StreamedChat => self.chat(target, work, arrival),
            Work::Call => self.http.get(target.url(&format!("/records/{index}"))),
            Work::Action => self
                .http
                .post(target.url("/certificates"))
                .header("idempotency-key", uuid::Uuid::new_v4().to_string())
                .body(format!("technician {index}")),
        };
        match self.settings.keys.get(arrival.organisation) {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    fn chat(&self, target: &Target, work: Work, arrival: &Arrival) -> RequestBuilder {
        let settings = &self.settings;
        let stream = work == Work::StreamedChat;
        let (model, max_tokens) = (&settings.model, settings.max_tokens);
        let body = chat::body(arrival, settings.seed, model, stream, max_tokens);
        self.http
            .post(target.url("/v1/chat/completions"))
            .header("content-type", "application/json")
            .body(body)
    }
}

fn refusal_outcome(response: &Response) -> Outcome {
    let outcome = response.headers().get(OUTCOME_HEADER);
    match outcome.and_then(|value| value.to_str().ok()) {
        Some("not-run") => Outcome::NotRun,
        Some("ran") => Outcome::Ran,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Error,
    }
}

async fn read_response(mut response: Response, work: Work, started: Instant) -> Sample {
    let mut sample = Sample::new(Outcome::Complete, started);
    let mut tail = Vec::new();
    let mut last = started;
    loop {
        let Ok(chunk) = response.chunk().await else {
            sample.outcome = Outcome::Truncated;
            break;
        };
        let Some(chunk) = chunk else { break };
        let now = Instant::now();
        if sample.first_byte.is_none() {
            sample.first_byte = Some(now - started);
        } else {
            sample.gaps.push(now - last);
        }
        last = now;
        keep_tail(&mut tail, &chunk);
    }
    sample.total_time = started.elapsed();
    let has_end = tail.windows(LAST_EVENT.len()).any(|w| w == LAST_EVENT);
    if work == Work::StreamedChat && !has_end {
        sample.outcome = Outcome::Truncated;
    }
    sample
}

/// Appends a chunk and keeps only the end of the body, which contains the last event.
fn keep_tail(tail: &mut Vec<u8>, chunk: &[u8]) {
    /// Enough for the last event and the white space after it.
    const TAIL_BYTES: usize = 32;
    tail.extend_from_slice(chunk);
    let excess = tail.len().saturating_sub(TAIL_BYTES);
    tail.drain(..excess);
}
