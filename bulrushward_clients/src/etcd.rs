//! Client of a key-value service that speaks the etcd v3 JSON gateway.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_net::with_causes;
use bytes::Bytes;
use reqwest::{Client, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{Instant, timeout_at};

use crate::{
    answer::{http_client, read_body},
    gateway::{
        GatewayError, RangeRequest, RangeResponse, StoredKey, TxnOperationResponse, TxnRequest,
        TxnResponse,
    },
    key_value::{CasOutcome, Entry, KeyValue, KvError, RefusedSnafu, UnavailableSnafu, Version},
    watch::{WatchEnd, WatchStream},
};

/// Largest answer that is read, in bytes: a value of 1 MiB in base64, and room for the rest.
const MAX_ANSWER_BYTES: usize = 1_500_000;

/// gRPC status codes after which a call certainly had no effect.
const CODES_WITHOUT_EFFECT: [i32; 9] = [
    3,  // invalid argument
    5,  // not found
    6,  // already exists
    7,  // permission denied
    8,  // resource exhausted
    9,  // failed precondition
    11, // out of range
    12, // unimplemented
    16, // unauthenticated
];

/// Key-value service behind one or more gateways.
#[derive(Debug)]
pub struct EtcdKeyValue {
    client: Client,
    urls: Vec<String>,
    timeout: Duration,
    /// Index of the gateway that is asked first.
    preferred: AtomicUsize,
}

/// A call that could not be completed.
pub(crate) enum CallError {
    /// The service may have carried out the request.
    NoUsableAnswer(String),
    /// The service did not carry out the request.
    Refused(String),
}

impl EtcdKeyValue {
    /// Makes a client of the gateways at `urls`, each `http://address:port`.
    ///
    /// A call is given up after `timeout`, connecting included.
    ///
    /// # Panics
    ///
    /// Panics if `urls` is empty.
    #[must_use]
    pub fn new(urls: &[String], timeout: Duration) -> Self {
        assert!(
            !urls.is_empty(),
            "at least one key-value service URL is needed"
        );
        // A gateway that does not accept must leave time for another.
        let connect_timeout = timeout / u32::try_from(urls.len() + 1).unwrap_or(u32::MAX);
        Self {
            client: http_client(connect_timeout),
            urls: urls
                .iter()
                .map(|url| url.trim_end_matches('/').to_owned())
                .collect(),
            timeout,
            preferred: AtomicUsize::new(0),
        }
    }

    /// Makes a call and reads its whole answer.
    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, CallError> {
        let deadline = Instant::now() + self.timeout;
        let answer = self.send(path, request, deadline).await?;
        let read = timeout_at(deadline, read_body(answer, MAX_ANSWER_BYTES)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(self.no_usable_answer(error.to_string())),
            Err(_elapsed) => return Err(self.no_usable_answer(self.timeout_text())),
        };
        serde_json::from_slice(&body).map_err(|error| {
            self.no_usable_answer(format!("the answer to {path} is not understood: {error}"))
        })
    }

    /// Sends a request to the preferred gateway, or to another if that one cannot be reached.
    pub(crate) async fn send<Q: Serialize + Sync>(
        &self,
        path: &str,
        request: &Q,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let mut not_sent = String::new();
        for _ in 0..self.urls.len() {
            let preferred = self.preferred.load(Ordering::Relaxed) % self.urls.len();
            let url = format!("{}{path}", self.urls[preferred]);
            let sent = timeout_at(deadline, self.client.post(&url).json(request).send()).await;
            match sent {
                Ok(Ok(answer)) => return self.accept(answer, deadline).await,
                Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                    self.prefer_next();
                    not_sent = format!("the request was not sent: {}", with_causes(&error));
                }
                Ok(Err(error)) => return Err(self.no_usable_answer(with_causes(&error))),
                Err(_elapsed) => return Err(self.no_usable_answer(self.timeout_text())),
            }
        }
        Err(CallError::NoUsableAnswer(not_sent))
    }

    /// Passes on a good answer and reads a bad one.
    async fn accept(&self, answer: Response, deadline: Instant) -> Result<Response, CallError> {
        let status = answer.status();
        if status == StatusCode::OK {
            return Ok(answer);
        }
        let read = timeout_at(deadline, read_body(answer, MAX_ANSWER_BYTES)).await;
        let Ok(Ok(body)) = read else {
            return Err(self.no_usable_answer(format!("status {status} without a readable body")));
        };
        let Ok(error) = serde_json::from_slice::<GatewayError>(&body) else {
            return Err(self.no_usable_answer(format!("status {status} with an unknown body")));
        };
        let detail = format!("status {status}, code {}: {}", error.code, error.message);
        if CODES_WITHOUT_EFFECT.contains(&error.code) {
            return Err(CallError::Refused(detail));
        }
        Err(self.no_usable_answer(detail))
    }

    pub(crate) fn timeout_text(&self) -> String {
        format!("no answer within {} ms", self.timeout.as_millis())
    }

    /// Turns to another gateway for the next call and reports this one.
    pub(crate) fn no_usable_answer(&self, detail: String) -> CallError {
        self.prefer_next();
        CallError::NoUsableAnswer(detail)
    }

    fn prefer_next(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads a key and the revision of the store.
    async fn read(&self, key: &str) -> Result<(Option<Entry>, Version), KvError> {
        let request = RangeRequest {
            key: key_bytes(key),
        };
        let answer: RangeResponse = self
            .call("/v3/kv/range", &request)
            .await
            .map_err(|error| error.for_key(key))?;
        Ok((entry_of(key, answer.kvs)?, answer.header.revision))
    }
}

#[async_trait]
impl KeyValue for EtcdKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let (entry, _) = self.read(key).await?;
        Ok(entry)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let request = TxnRequest::compare_and_swap(key_bytes(key), expected, value);
        let answer: TxnResponse = self
            .call("/v3/kv/txn", &request)
            .await
            .map_err(|error| error.for_key(key))?;
        cas_outcome(key, answer)
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<Entry>, KvError> {
        let deadline = Instant::now() + timeout;
        let mut after = after;
        loop {
            let started = Instant::now() + self.timeout;
            let mut stream = WatchStream::open(self, key, after, started.min(deadline))
                .await
                .map_err(|error| error.for_key(key))?;
            let end = stream.next_entry(self, started, deadline).await;
            match end.map_err(|error| error.for_key(key))? {
                WatchEnd::Changed(entry) => return Ok(Some(entry)),
                WatchEnd::TimedOut => return Ok(None),
                WatchEnd::ReadAgain => {}
            }
            // The changes since `after` can't be had one by one; the newest value will do.
            let (entry, revision) = self.read(key).await?;
            if let Some(entry) = entry.filter(|entry| entry.version > after) {
                return Ok(Some(entry));
            }
            after = revision;
        }
    }
}

impl CallError {
    pub(crate) fn for_key(self, key: &str) -> KvError {
        match self {
            Self::NoUsableAnswer(detail) => UnavailableSnafu { key, detail }.build(),
            Self::Refused(detail) => RefusedSnafu { key, detail }.build(),
        }
    }
}

pub(crate) fn key_bytes(key: &str) -> Bytes {
    Bytes::copy_from_slice(key.as_bytes())
}

fn cas_outcome(key: &str, answer: TxnResponse) -> Result<CasOutcome, KvError> {
    if answer.succeeded && answer.header.revision > 0 {
        return Ok(CasOutcome::Written(answer.header.revision));
    }
    match answer.responses.into_iter().next() {
        Some(TxnOperationResponse::ResponseRange(range)) if !answer.succeeded => {
            Ok(CasOutcome::Conflict(entry_of(key, range.kvs)?))
        }
        _ => UnavailableSnafu {
            key,
            detail: "the answer lacks the result of the write",
        }
        .fail(),
    }
}

/// Takes the one entry of a key from an answer.
fn entry_of(key: &str, kvs: Vec<StoredKey>) -> Result<Option<Entry>, KvError> {
    let Some(stored) = kvs.into_iter().next() else {
        return Ok(None);
    };
    if stored.key != key.as_bytes() || stored.mod_revision <= 0 {
        let detail = format!("the answer is for key {:?}", stored.key);
        return UnavailableSnafu { key, detail }.fail();
    }
    Ok(Some(Entry {
        value: stored.value,
        version: stored.mod_revision,
    }))
}
