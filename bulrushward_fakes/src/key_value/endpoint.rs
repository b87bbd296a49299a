//! The etcd v3 JSON gateway of the fake key-value service.

use std::sync::Arc;

use bulrushward_clients::gateway::{
    RangeRequest, TxnRequest, TxnResponse, WatchCreateRequest, WatchLine, WatchRequest, WatchResult,
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
use crate::http::{Endpoint, ErrorResponse, Failure, ResponseFault, read_json, write_json};

/// One line of a streamed response.
#[derive(Debug, Serialize)]
struct StreamLine<T> {
    result: T,
}

#[async_trait]
impl Endpoint for Arc<KeyValueState> {
    async fn respond(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/health") => write_json(res, "healthy"),
            (&Method::GET, "/counters") => write_json(res, self.counters()),
            (&Method::POST, "/v3/kv/range") => {
                let request: RangeRequest = read_json(req).await?;
                let response = self.range(&request).await;
                write_json(res, self.convert_failure(response).await?)
            }
            (&Method::POST, "/v3/kv/txn") => {
                let request: TxnRequest = read_json(req).await?;
                let response = self.run_txn(request).await?;
                write_json(res, response)
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
                self.expire_all();
                write_json(res, "lapsed")
            }
            _ => Err(ErrorResponse::unknown_path(req).into()),
        }
    }

    fn response_fault(&self) -> Option<ResponseFault> {
        self.faults.get().answer
    }
}

impl KeyValueState {
    /// Runs a write to completion, even if the caller disconnects.
    async fn run_txn(self: &Arc<Self>, request: TxnRequest) -> Result<TxnResponse, Failure> {
        let state = Arc::clone(self);
        let txn = tokio::spawn(async move { state.txn(&request).await });
        let response = txn
            .await
            .map_err(|error| ErrorResponse::internal(error.to_string()))?;
        self.convert_failure(response).await
    }

    /// Streams the changes of a key until the caller disconnects.
    async fn stream_watch(
        self: &Arc<Self>,
        request: WatchCreateRequest,
        res: &mut Response,
    ) -> Result<(), Failure> {
        let watch = self.watch(request).await;
        let watch = self.convert_failure(watch).await?;
        let lines = stream::unfold(watch, async |mut watch| {
            let result = watch.next().await?;
            Some((encode_line(result), watch))
        });
        res.stream(self.watch_shutdown.until_shutdown(lines));
        Ok(())
    }

    /// Converts a failed call into an error response or a closed connection.
    ///
    /// Hangs forever on a lost response if the fault `hang_lost_answers` is set.
    async fn convert_failure<T>(&self, response: Result<T, CallFailure>) -> Result<T, Failure> {
        match response {
            Ok(response) => Ok(response),
            Err(CallFailure::Rejected { code, message }) => {
                let status = match code {
                    3 => StatusCode::BAD_REQUEST,
                    8 => StatusCode::TOO_MANY_REQUESTS,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                };
                Err(ErrorResponse {
                    status,
                    code,
                    message,
                }
                .into())
            }
            Err(CallFailure::ResponseLost) => {
                if self.faults.get().hang_lost_answers {
                    std::future::pending::<()>().await;
                }
                Err(Failure::ConnectionClosed)
            }
        }
    }
}

fn encode_line(result: WatchResult) -> serde_json::Result<Bytes> {
    let mut line = serde_json::to_vec(&WatchLine::Result(result))?;
    line.push(b'\n');
    Ok(Bytes::from(line))
}
