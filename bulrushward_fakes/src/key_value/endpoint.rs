//! The etcd v3 JSON gateway of the key-value service.

use std::sync::Arc;

use bulrushward_clients::gateway::{
    RangeRequest, TxnAnswer, TxnRequest, WatchCreateRequest, WatchLine, WatchRequest, WatchResult,
};
use bytes::Bytes;
use futures_util::stream;
use salvo::{
    Request, Response, async_trait,
    http::{Method, StatusCode},
};
use serde::Serialize;

use super::{
    lease::{LeaseGrantRequest, LeaseRequest},
    state::{CallFailure, KeyValueState},
};
use crate::http::{Endpoint, Failure, Refusal, ResponseFault, read_json, write_json};

/// Line of an answer that is a stream.
#[derive(Debug, Serialize)]
struct StreamLine<T> {
    result: T,
}

#[async_trait]
impl Endpoint for Arc<KeyValueState> {
    async fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/counters") => write_json(res, self.counters()),
            (&Method::POST, "/v3/kv/range") => {
                let request: RangeRequest = read_json(req).await?;
                let answer = self.range(&request).await;
                write_json(res, self.settle(answer).await?)
            }
            (&Method::POST, "/v3/kv/txn") => {
                let request: TxnRequest = read_json(req).await?;
                let answer = self.whole_txn(request).await?;
                write_json(res, answer)
            }
            (&Method::POST, "/v3/watch") => {
                let request: WatchRequest = read_json(req).await?;
                self.stream_watch(request.create_request, res).await
            }
            (&Method::POST, "/v3/lease/grant") => {
                let request: LeaseGrantRequest = read_json(req).await?;
                write_json(res, self.grant(request))
            }
            (&Method::POST, "/v3/lease/keepalive") => {
                let request: LeaseRequest = read_json(req).await?;
                write_json(
                    res,
                    StreamLine {
                        result: self.keep_alive(request),
                    },
                )
            }
            (&Method::POST, "/v3/lease/revoke" | "/v3/kv/lease/revoke") => {
                let request: LeaseRequest = read_json(req).await?;
                write_json(res, self.revoke(request))
            }
            (&Method::POST, "/lapse-leases") => {
                self.lapse_all();
                write_json(res, "lapsed")
            }
            _ => Err(Refusal::unknown_path(req).into()),
        }
    }

    fn answer_fault(&self) -> Option<ResponseFault> {
        self.faults.get().answer
    }
}

impl KeyValueState {
    /// Carries out a write to its end, also if the caller goes.
    async fn whole_txn(self: &Arc<Self>, request: TxnRequest) -> Result<TxnAnswer, Failure> {
        let state = Arc::clone(self);
        let txn = tokio::spawn(async move { state.txn(&request).await });
        let answer = txn
            .await
            .map_err(|error| Refusal::internal(error.to_string()))?;
        self.settle(answer).await
    }

    /// Streams the changes of a key until the caller goes.
    async fn stream_watch(
        self: &Arc<Self>,
        request: WatchCreateRequest,
        res: &mut Response,
    ) -> Result<(), Failure> {
        let watch = self.watch(request).await;
        let watch = self.settle(watch).await?;
        let lines = stream::unfold(watch, async |mut watch| {
            let result = watch.next().await?;
            Some((line(result), watch))
        });
        res.stream(self.end_of_watches.until_end(lines));
        Ok(())
    }

    /// Turns the failure of a call into what its caller sees.
    async fn settle<T>(&self, answer: Result<T, CallFailure>) -> Result<T, Failure> {
        match answer {
            Ok(answer) => Ok(answer),
            Err(CallFailure::Refused { code, message }) => {
                let status = match code {
                    3 => StatusCode::BAD_REQUEST,
                    8 => StatusCode::TOO_MANY_REQUESTS,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                };
                Err(Refusal {
                    status,
                    code,
                    message,
                }
                .into())
            }
            Err(CallFailure::AnswerLost) => {
                if self.faults.get().hang_lost_answers {
                    std::future::pending::<()>().await;
                }
                Err(Failure::Closed)
            }
        }
    }
}

fn line(result: WatchResult) -> serde_json::Result<Bytes> {
    let mut line = serde_json::to_vec(&WatchLine::Result(result))?;
    line.push(b'\n');
    Ok(Bytes::from(line))
}
