//! Client of a key-value service with the etcd v3 JSON gateway API.

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
    gateway::{
        GatewayError, RangeRequest, RangeResponse, StoredKey, TxnOperationResponse, TxnRequest,
        TxnResponse,
    },
    key_value::{CasOutcome, Entry, KeyValue, KvError, RefusedSnafu, UnavailableSnafu, Version},
    response::{http_client, read_body},
    watch::{WatchOutcome, WatchStream},
};

/// Maximum size of a response in bytes: a value of 1 MiB in base64 and the fields around it.
const MAX_RESPONSE_BYTES: usize = 1_500_000;

/// gRPC status codes which guarantee that a call had no effect.
const NO_EFFECT_CODES: [i32; 9] = [
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

/// Key-value service that is reached through one or more gateways.
#[derive(Debug)]
pub struct EtcdKeyValue {
    client: Client,
    urls: Vec<String>,
    timeout: Duration,
    /// Index of the gateway to which the next call is sent first, modulo the number of gateways.
    preferred: AtomicUsize,
}

/// A call that failed.
pub(crate) enum CallError {
    /// No usable response arrived; the service may have executed the request.
    Unavailable(String),
    /// The service refused the request and did not execute it.
    Refused(String),
}

impl EtcdKeyValue {
    /// Creates a client of the gateways at `urls`, each `http://address:port`.
    ///
    /// A call fails after `timeout`, which includes the time to connect.
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
        // A gateway that does not accept connections must leave time to try the others.
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

    /// Makes a call and reads the complete response.
    async fn call<Q: Serialize + Sync, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, CallError> {
        let deadline = Instant::now() + self.timeout;
        let response = self.send(path, request, deadline).await?;
        let result = timeout_at(deadline, read_body(response, MAX_RESPONSE_BYTES)).await;
        let body = match result {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Err(self.fail_over(error.to_string())),
            Err(_elapsed) => return Err(self.fail_over(self.timeout_message())),
        };
        serde_json::from_slice(&body).map_err(|error| {
            self.fail_over(format!(
                "the response to {path} could not be parsed: {error}"
            ))
        })
    }

    /// Sends a request to the preferred gateway, or to the next one if it cannot be reached.
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
                Ok(Ok(response)) => return self.check_status(response, deadline).await,
                Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                    self.advance_preferred();
                    not_sent = format!("the request was not sent: {}", with_causes(&error));
                }
                Ok(Err(error)) => return Err(self.fail_over(with_causes(&error))),
                Err(_elapsed) => return Err(self.fail_over(self.timeout_message())),
            }
        }
        Err(CallError::Unavailable(not_sent))
    }

    /// Returns a response with status 200 and turns any other into an error.
    async fn check_status(
        &self,
        response: Response,
        deadline: Instant,
    ) -> Result<Response, CallError> {
        let status = response.status();
        if status == StatusCode::OK {
            return Ok(response);
        }
        let result = timeout_at(deadline, read_body(response, MAX_RESPONSE_BYTES)).await;
        let Ok(Ok(body)) = result else {
            return Err(self.fail_over(format!("status {status} without a readable body")));
        };
        let Ok(error) = serde_json::from_slice::<GatewayError>(&body) else {
            return Err(self.fail_over(format!("status {status} with an unexpected body")));
        };
        let detail = format!("status {status}, code {}: {}", error.code, error.message);
        if NO_EFFECT_CODES.contains(&error.code) {
            return Err(CallError::Refused(detail));
        }
        Err(self.fail_over(detail))
    }

    pub(crate) fn timeout_message(&self) -> String {
        format!("no response within {} ms", self.timeout.as_millis())
    }

    /// Switches to the next gateway for later calls and returns the error of this call.
    pub(crate) fn fail_over(&self, detail: String) -> CallError {
        self.advance_preferred();
        CallError::Unavailable(detail)
    }

    fn advance_preferred(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads a key and the current revision of the store.
    async fn get_with_revision(&self, key: &str) -> Result<(Option<Entry>, Version), KvError> {
        let request = RangeRequest {
            key: key_bytes(key),
        };
        let response: RangeResponse = self
            .call("/v3/kv/range", &request)
            .await
            .map_err(|error| error.for_key(key))?;
        Ok((single_entry(key, response.kvs)?, response.header.revision))
    }
}

#[async_trait]
impl KeyValue for EtcdKeyValue {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        let (entry, _) = self.get_with_revision(key).await?;
        Ok(entry)
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
    ) -> Result<CasOutcome, KvError> {
        let request = TxnRequest::compare_and_swap(key_bytes(key), expected, value);
        let response: TxnResponse = self
            .call("/v3/kv/txn", &request)
            .await
            .map_err(|error| error.for_key(key))?;
        cas_outcome(key, response)
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
            let open_deadline = Instant::now() + self.timeout;
            let mut stream = WatchStream::open(self, key, after, open_deadline.min(deadline))
                .await
                .map_err(|error| error.for_key(key))?;
            let outcome = stream.next_entry(self, open_deadline, deadline).await;
            match outcome.map_err(|error| error.for_key(key))? {
                WatchOutcome::Changed(entry) => return Ok(Some(entry)),
                WatchOutcome::TimedOut => return Ok(None),
                WatchOutcome::ResyncNeeded => {}
            }
            // The changes since `after` are not available as events, so the newest value is read.
            let (entry, revision) = self.get_with_revision(key).await?;
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
            Self::Unavailable(detail) => UnavailableSnafu { key, detail }.build(),
            Self::Refused(detail) => RefusedSnafu { key, detail }.build(),
        }
    }
}

pub(crate) fn key_bytes(key: &str) -> Bytes {
    Bytes::copy_from_slice(key.as_bytes())
}

fn cas_outcome(key: &str, response: TxnResponse) -> Result<CasOutcome, KvError> {
    if response.succeeded && response.header.revision > 0 {
        return Ok(CasOutcome::Written(response.header.revision));
    }
    match response.responses.into_iter().next() {
        Some(TxnOperationResponse::ResponseRange(range)) if !response.succeeded => {
            Ok(CasOutcome::Conflict(single_entry(key, range.kvs)?))
        }
        _ => UnavailableSnafu {
            key,
            detail: "the response lacks the result of the write",
        }
        .fail(),
    }
}

/// Returns the entry in a response, which must be for the requested key and have a revision.
fn single_entry(key: &str, kvs: Vec<StoredKey>) -> Result<Option<Entry>, KvError> {
    let Some(stored) = kvs.into_iter().next() else {
        return Ok(None);
    };
    if stored.key != key.as_bytes() || stored.mod_revision <= 0 {
        let detail = format!(
            "the response has another key or no revision: key {:?}",
            stored.key
        );
        return UnavailableSnafu { key, detail }.fail();
    }
    Ok(Some(Entry {
        value: stored.value,
        version: stored.mod_revision,
    }))
}
