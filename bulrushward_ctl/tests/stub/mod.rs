//! A stub of a router's admin API, with texts in memory and scripted faults.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, UNIX_EPOCH},
};

use bulrushward_protocol::{
    MemberState, Outcome, Revision, Role,
    admin::{
        ConfigResponse, ConflictResponse, ErrorResponse, HistoryEntry, HistoryResponse,
        MemberStatus, RevisionInfo, StatusResponse, SubmitRequest, SubmitResponse, TextErrorInfo,
        TextErrorsResponse,
    },
};
use salvo::{
    Depot, Request, Response, Router, Server, async_trait,
    conn::{Acceptor, Listener, TcpListener},
    handler::Handler,
    http::StatusCode,
    writing::{Json, Text},
};
use serde::Serialize;

/// Delay of a lost response, longer than any timeout of the tests.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Fault of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is accepted, but no response arrives.
    ResponseLost,
    /// It is rejected with status 503 and the outcome that it did not run.
    NotRun,
    /// It is rejected with status 503 and an unknown outcome.
    Unknown,
    /// Another operator submits a change just before it.
    ConcurrentChange,
    /// The router reports an error in the text that the tool itself does not detect.
    TextError,
    /// It is rejected with status 400.
    BadRequest,
    /// It is accepted, but the response is not JSON.
    MalformedResponse,
}

/// The state of the stub.
#[derive(Debug, Default)]
pub struct State {
    /// Accepted texts, the newest last.
    pub texts: Vec<ConfigResponse>,
    /// Faults of the next submissions, in order.
    pub faults: VecDeque<Fault>,
    /// Processes of the fleet.
    pub members: Vec<MemberStatus>,
    /// Number of status requests after which all members have the newest revision.
    pub polls_until_active: Option<usize>,
    /// Number of submissions received.
    pub submissions: usize,
}

/// A running stub.
#[derive(Clone, Debug)]
pub struct Stub {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Stub {
    /// Starts a stub on a free port.
    pub async fn start() -> Self {
        let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.holdings()[0].local_addr.clone();
        let address = address.into_std().expect("the address is a TCP address");
        let state = Arc::<Mutex<State>>::default();
        let endpoint = |call| Endpoint {
            call,
            state: Arc::clone(&state),
        };
        let router = Router::with_path("admin")
            .push(
                Router::with_path("config")
                    .get(endpoint(Call::Config))
                    .post(endpoint(Call::Submit)),
            )
            .push(Router::with_path("history").get(endpoint(Call::History)))
            .push(Router::with_path("status").get(endpoint(Call::Status)));
        tokio::spawn(Server::new(acceptor).serve(router));
        Self { address, state }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while it holds the lock")
    }

    /// Adds an accepted text.
    pub fn accept(&self, text: &str) {
        self.state().accept("seed", "start", 1, text);
    }

    /// Returns the newest text.
    pub fn text(&self) -> String {
        let state = self.state();
        state
            .texts
            .last()
            .map(|newest| newest.text.clone())
            .unwrap_or_default()
    }
}

impl State {
    fn revision(&self) -> Revision {
        self.texts.len() as Revision
    }

    fn accept(&mut self, author: &str, why: &str, submission: u128, text: &str) -> RevisionInfo {
        let info = RevisionInfo {
            revision: self.revision() + 1,
            author: author.to_owned(),
            why: why.to_owned(),
            at: UNIX_EPOCH + Duration::from_secs(1_764_800_000),
            submission,
        };
        self.texts.push(ConfigResponse {
            info: info.clone(),
            text: text.to_owned(),
        });
        info
    }

    fn submit(&mut self, request: &SubmitRequest) -> Result<SubmitResponse, Box<ConflictResponse>> {
        let known = self.texts.get(request.base as usize);
        if let Some(known) = known.filter(|known| known.info.submission == request.submission) {
            let info = known.info.clone();
            return Ok(SubmitResponse {
                info,
                unchanged: false,
            });
        }
        if let Some(newest) = self.texts.last() {
            let info = newest.info.clone();
            if newest.text == request.text {
                return Ok(SubmitResponse {
                    info,
                    unchanged: true,
                });
            }
            if request.base != info.revision {
                let diff = "@@ -1 +1 @@\n-old\n+new\n".to_owned();
                return Err(Box::new(ConflictResponse {
                    current: info,
                    diff,
                }));
            }
        }
        let SubmitRequest {
            text,
            author,
            why,
            submission,
            ..
        } = request;
        let info = self.accept(author, why, *submission, text);
        Ok(SubmitResponse {
            info,
            unchanged: false,
        })
    }

    fn status(&mut self) -> StatusResponse {
        let newest_revision = self.revision();
        if let Some(polls) = &mut self.polls_until_active {
            *polls = polls.saturating_sub(1);
            if *polls == 0 {
                for member in &mut self.members {
                    member.revision = newest_revision;
                }
            }
        }
        StatusResponse {
            node: "router-1".to_owned(),
            newest_revision,
            members: self.members.clone(),
        }
    }
}

/// Creates the status of an agent.
pub fn member(node: &str, state: MemberState, revision: Revision) -> MemberStatus {
    MemberStatus {
        node: node.to_owned(),
        role: Role::Agent,
        state,
        failure_domain: "kathmandu-1".to_owned(),
        service: Some("assessment".to_owned()),
        backend: Some(format!("backend-of-{node}")),
        revision,
        load: 4_096,
        queued: 2,
        refusals: None,
        age: Duration::from_millis(150),
    }
}

/// A request of the admin API.
#[derive(Clone, Copy, Debug)]
enum Call {
    Config,
    Submit,
    History,
    Status,
}

struct Endpoint {
    call: Call,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no test panics while it holds the lock")
    }

    fn config(&self, req: &Request, res: &mut Response) {
        let state = self.lock();
        let revision = req
            .query::<Revision>("revision")
            .unwrap_or(state.revision());
        match state
            .texts
            .iter()
            .find(|text| text.info.revision == revision)
        {
            Some(text) => res.render(Json(text)),
            None => reject(res, StatusCode::NOT_FOUND, Outcome::NotRun),
        }
    }

    fn history(&self, req: &Request, res: &mut Response) {
        let limit = req
            .query::<usize>("limit")
            .expect("the request has a limit");
        let state = self.lock();
        let newest = state.texts.iter().rev().take(limit);
        let entries = newest.map(|text| HistoryEntry {
            info: text.info.clone(),
            diff: "+ a line".to_owned(),
        });
        res.render(Json(HistoryResponse {
            entries: entries.collect(),
        }));
    }

    async fn submit(&self, req: &mut Request, res: &mut Response) {
        let body = req
            .payload()
            .await
            .expect("the request has a body")
            .to_vec();
        let request: SubmitRequest =
            serde_json::from_slice(&body).expect("the body is a submission");
        let fault = {
            let mut state = self.lock();
            state.submissions += 1;
            state.faults.pop_front()
        };
        match fault {
            None => respond(res, self.lock().submit(&request)),
            Some(Fault::ResponseLost) => {
                let _ = self.lock().submit(&request);
                tokio::time::sleep(LOST_RESPONSE_DELAY).await;
            }
            Some(Fault::NotRun) => reject(res, StatusCode::SERVICE_UNAVAILABLE, Outcome::NotRun),
            Some(Fault::Unknown) => reject(res, StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown),
            Some(Fault::BadRequest) => reject(res, StatusCode::BAD_REQUEST, Outcome::NotRun),
            Some(Fault::ConcurrentChange) => {
                let mut state = self.lock();
                let text = state
                    .texts
                    .last()
                    .map(|text| text.text.clone())
                    .unwrap_or_default();
                state.accept("binod", "faster", 2, &(text + "# faster\n"));
                respond(res, state.submit(&request));
            }
            Some(Fault::TextError) => {
                let message = "new rule".to_owned();
                let error = TextErrorInfo {
                    line: 2,
                    column: 1,
                    message,
                };
                res.status_code(StatusCode::UNPROCESSABLE_ENTITY);
                res.render(Json(TextErrorsResponse {
                    errors: vec![error],
                }));
            }
            Some(Fault::MalformedResponse) => {
                let _ = self.lock().submit(&request);
                res.render(Text::Plain("not JSON"));
            }
        }
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut salvo::FlowCtrl,
    ) {
        match self.call {
            Call::Config => self.config(req, res),
            Call::History => self.history(req, res),
            Call::Status => res.render(Json(self.lock().status())),
            Call::Submit => self.submit(req, res).await,
        }
    }
}

fn respond<T: Serialize + Send, E: Serialize + Send>(res: &mut Response, result: Result<T, E>) {
    match result {
        Ok(accepted) => res.render(Json(accepted)),
        Err(conflict) => {
            res.status_code(StatusCode::CONFLICT);
            res.render(Json(conflict));
        }
    }
}

fn reject(res: &mut Response, status: StatusCode, outcome: Outcome) {
    res.status_code(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        res.add_header("retry-after", "3", true)
            .expect("the header is valid");
    }
    let message = "the key-value service is down".to_owned();
    res.render(Json(ErrorResponse { message, outcome }));
}
