//! An in-memory platform: simple HTTP conventions and a store that can be unavailable.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_direct::{
    ConfigUpdate, DomainOrder, FleetConfig, FleetStore, ForwardingMetadata, HttpConventions,
    LogStats, OrderChange, OrderListing, PromptPart, ReportedLoad, RequestMetadata,
    ResponseMetadata, ServerChanges, ServerId, ServerListing, ServerRecord, StatedNumber,
    StoreError,
    call::{OnResponse, UNOBSERVED},
};
use bulrushward_policy::store_revision::{era, position, revision_in_era};
use bytes::Bytes;
use hyper::HeaderMap;
use tokio::{sync::Notify, time::timeout};

/// Log statistics without dropped lines.
#[derive(Debug)]
pub struct NoDroppedLines;

impl LogStats for NoDroppedLines {
    fn dropped_lines(&self) -> u64 {
        0
    }
}

/// HTTP conventions with simple header names.
#[derive(Debug)]
pub struct TestConventions;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl HttpConventions for TestConventions {
    /// Parses the headers; a request with `Stall-Ms` blocks the traffic thread for this time, and one with `Panic` panics.
    fn parse_request_headers(&self, headers: &HeaderMap) -> RequestMetadata {
        assert!(!headers.contains_key("panic"), "the request asks for it");
        if let Some(ms) = text(headers, "stall-ms").and_then(|ms| ms.parse().ok()) {
            std::thread::sleep(Duration::from_millis(ms));
        }
        let prompt = text(headers, "prompt").unwrap_or_default();
        RequestMetadata {
            request_id: text(headers, "request").unwrap_or_default().to_owned(),
            caller_timeout: text(headers, "patience-ms")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            key: text(headers, "key").map(str::to_owned),
            prompt: prompt
                .split(',')
                .filter_map(|part| {
                    let (id, tokens) = part.split_once(':')?;
                    Some(PromptPart {
                        id: id.parse().ok()?,
                        tokens: tokens.parse().ok()?,
                    })
                })
                .collect(),
            last_event_id: text(headers, "last-event").map(str::to_owned),
            resumes: text(headers, "resumes").map(str::to_owned),
        }
    }

    fn strip_request_headers(&self, headers: &mut HeaderMap) {
        for name in [
            "key",
            "patience-ms",
            "server",
            "organisation",
            "urgency",
            "copy-from",
        ] {
            headers.remove(name);
        }
    }

    fn write_forwarding_headers(&self, headers: &mut HeaderMap, metadata: &ForwardingMetadata<'_>) {
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, value.parse().expect("the value is valid in a header"));
        };
        set("server", metadata.server_id.to_owned());
        set("patience-ms", metadata.time_left.as_millis().to_string());
        if let Some(organisation) = metadata.organisation {
            set("organisation", organisation.to_owned());
        }
        if let Some(last_event_id) = metadata.last_event_id {
            set("last-event", last_event_id.to_owned());
        }
        if let Some(source) = metadata.copy_from {
            set("copy-from", source.to_string());
        }
    }

    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseMetadata {
        let load = text(headers, "load").and_then(|load| {
            let mut numbers = load.split(',').map(|number| number.parse().ok());
            Some(ReportedLoad {
                running: numbers.next()??,
                waiting: numbers.next()??,
                slots: numbers.next()??,
            })
        });
        ResponseMetadata {
            request_id: text(headers, "request").map(str::to_owned),
            is_signed: headers.contains_key("signed"),
            is_not_run: headers.contains_key("not-run"),
            is_leaving: headers.contains_key("leaving"),
            pause: stated_number(headers, "retry-after"),
            rate_limit: stated_number(headers, "limit"),
            load,
            cold_for: text(headers, "cold-ms")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            keep_alive_timeout: text(headers, "idle-s")
                .and_then(|seconds| seconds.parse().ok())
                .map(Duration::from_secs),
        }
    }

    fn readiness_path(&self) -> &'static str {
        "/ready"
    }
}

fn stated_number(headers: &HeaderMap, name: &str) -> Option<StatedNumber> {
    let text = text(headers, name)?;
    Some(text.parse().map_err(|_error| text.to_owned()))
}

#[derive(Clone, Debug, Default)]
struct Contents {
    revision: u64,
    config: Option<(FleetConfig, u64)>,
    /// Whether the configuration cannot be read.
    is_config_spoiled: bool,
    servers: BTreeMap<ServerId, ServerRecord>,
    changes: Vec<(u64, ServerId, Option<ServerRecord>)>,
    /// Emptied failure domains.
    emptied: BTreeSet<String>,
    order_changes: Vec<(u64, OrderChange)>,
    /// Revision up to which changes have been discarded.
    discarded_revision: u64,
}

impl Contents {
    fn config_update(
        &self,
        config: Option<&(FleetConfig, u64)>,
        orders: Vec<OrderChange>,
    ) -> ConfigUpdate {
        let is_readable = !self.is_config_spoiled;
        ConfigUpdate {
            config: config
                .filter(|_| is_readable)
                .map(|(config, _)| config.clone()),
            config_error: config
                .filter(|_| !is_readable)
                .map(|_| StoreError::Unavailable {
                    detail: "not a configuration".to_owned(),
                }),
            orders,
            has_other_changes: false,
            revision: self.revision,
        }
    }

    /// Returns the changes of the configuration, and of the orders if asked for, after a revision, if there are any.
    fn newer_config(
        &self,
        after: u64,
        with_orders: bool,
    ) -> Option<Result<ConfigUpdate, StoreError>> {
        // Without orders, a lost history shows only in the calls for the servers.
        if with_orders && self.discarded_revision > after {
            return Some(Err(StoreError::HistoryGone { after }));
        }
        let config = self.config.as_ref();
        let config = config.filter(|(_, revision)| *revision > after);
        let orders = self.order_changes.iter();
        let orders: Vec<_> = orders
            .filter(|(revision, _)| with_orders && *revision > after)
            .map(|(_, change)| change.clone())
            .collect();
        let has_changes = config.is_some() || !orders.is_empty();
        has_changes.then(|| Ok(self.config_update(config, orders)))
    }
}

/// Time after which a client of the store stops waiting for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// What the store does with calls that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Serves them.
    #[default]
    None,
    /// Never responds to them, not even after the trouble has ended.
    Silent,
    /// Resets their connections.
    Reset,
    /// Refuses them with a status.
    Refused(u16),
    /// Makes its client panic.
    Panic,
}

/// An in-memory store.
#[derive(Debug, Default)]
pub struct MemoryStore {
    contents: Mutex<Contents>,
    is_down: AtomicBool,
    trouble: Mutex<Trouble>,
    /// Number of times that the store forgot the calls that were waiting.
    forgotten: AtomicU32,
    fails_server_listing: AtomicBool,
    /// Result of calls that list the orders, instead of the present ones.
    order_listing: Mutex<Option<Result<OrderListing, StoreError>>>,
    saved: Mutex<Option<Bytes>>,
    copy: Mutex<Contents>,
    /// Time that a response with a configuration takes from its first to its last byte.
    transfer_time: Mutex<Duration>,
    /// Number of such responses that began.
    transfers: AtomicU32,
    changed: Notify,
}

impl MemoryStore {
    pub fn with(config: FleetConfig) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.set_config(config);
        store
    }

    pub fn set_config(&self, config: FleetConfig) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.config = Some((config, contents.revision));
        contents.is_config_spoiled = false;
        self.changed.notify_waiters();
    }

    /// Writes a configuration that cannot be read.
    pub fn spoil_config(&self) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.is_config_spoiled = true;
        let revision = contents.revision;
        if let Some(config) = &mut contents.config {
            config.1 = revision;
        }
        self.changed.notify_waiters();
    }

    /// Writes or removes an order to empty a failure domain.
    pub fn set_emptied(&self, domain: &str, is_emptied: bool) {
        self.set_order(domain, is_emptied, true);
    }

    /// Writes or removes an order whose value is readable or not.
    pub fn set_order(&self, domain: &str, is_in_force: bool, is_readable: bool) {
        let mut contents = self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        let mut order = domain_order(domain);
        order.is_readable = is_readable;
        let change = OrderChange { order, is_in_force };
        contents.order_changes.push((revision, change));
        if is_in_force {
            contents.emptied.insert(domain.to_owned());
        } else {
            contents.emptied.remove(domain);
        }
        self.changed.notify_waiters();
    }

    /// Returns the present listing of the orders.
    pub fn order_listing(&self) -> OrderListing {
        let contents = self.lock();
        OrderListing {
            orders: contents
                .emptied
                .iter()
                .map(|domain| domain_order(domain))
                .collect(),
            revision: contents.revision,
        }
    }

    /// Sets the result of calls that list the orders, instead of the present ones.
    pub fn set_order_listing(&self, result: Option<Result<OrderListing, StoreError>>) {
        *self
            .order_listing
            .lock()
            .expect("no test panics while holding the lock") = result;
    }

    pub fn put(&self, id: &str, record: ServerRecord) {
        self.change(id, Some(record));
    }

    pub fn remove(&self, id: &str) {
        self.change(id, None);
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Sets what the store does with the calls that it receives from now on.
    pub fn set_trouble(&self, trouble: Trouble) {
        *self
            .trouble
            .lock()
            .expect("no test panics while holding the lock") = trouble;
    }

    /// Makes the store never respond to the calls that are waiting for changes.
    pub fn forget_waiting(&self) {
        self.forgotten.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Makes calls that list servers fail while others succeed.
    pub fn fail_server_listing(&self, fails: bool) {
        self.fails_server_listing.store(fails, Ordering::SeqCst);
    }

    /// Discards all changes, so that waiting calls have to list the servers again.
    pub fn discard_history(&self) {
        let mut contents = self.lock();
        contents.revision += 1;
        contents.discarded_revision = contents.revision;
        contents.changes.clear();
        contents.order_changes.clear();
        self.changed.notify_waiters();
    }

    /// Copies the contents.
    pub fn copy(&self) {
        let contents = self.lock().clone();
        *self
            .copy
            .lock()
            .expect("no test panics while holding the lock") = contents;
    }

    /// Returns from the latest copy, with which a new era begins.
    pub fn return_from_copy(&self) {
        let copy = self.copy.lock();
        let copy = copy.expect("no test panics while holding the lock").clone();
        let mut contents = self.lock();
        let revision = position(era(contents.revision) + 1, revision_in_era(copy.revision));
        *contents = Contents {
            revision,
            discarded_revision: revision,
            changes: Vec::new(),
            order_changes: Vec::new(),
            ..copy
        };
        self.changed.notify_waiters();
    }

    /// Returns the bytes that a router saved last.
    /// Lets responses with a configuration take some time from now on.
    pub fn set_transfer_time(&self, time: Duration) {
        *self
            .transfer_time
            .lock()
            .expect("no test panics while holding the lock") = time;
    }

    /// Returns the number of responses with a configuration that have begun.
    pub fn transfers(&self) -> u32 {
        self.transfers.load(Ordering::SeqCst)
    }

    /// Sends a response with a configuration.
    async fn transfer(&self, on_response: OnResponse<'_>) {
        self.transfers.fetch_add(1, Ordering::SeqCst);
        on_response();
        let time = *self
            .transfer_time
            .lock()
            .expect("no test panics while holding the lock");
        tokio::time::sleep(time).await;
    }

    pub fn saved_bytes(&self) -> Option<Bytes> {
        self.saved
            .lock()
            .expect("no test panics while holding the lock")
            .clone()
    }

    /// Replaces the saved bytes.
    pub fn set_saved(&self, bytes: Option<Bytes>) {
        *self
            .saved
            .lock()
            .expect("no test panics while holding the lock") = bytes;
    }

    fn change(&self, id: &str, record: Option<ServerRecord>) {
        let mut contents = self.lock();
        contents.revision += 1;
        let revision = contents.revision;
        contents
            .changes
            .push((revision, id.to_owned(), record.clone()));
        match record {
            Some(record) => contents.servers.insert(id.to_owned(), record),
            None => contents.servers.remove(id),
        };
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents
            .lock()
            .expect("no test panics while holding the lock")
    }

    /// Lets a call through, or fails it as the current trouble does; `limit` is how long its client waits.
    async fn enter(&self, limit: Duration) -> Result<(), StoreError> {
        let trouble = *self
            .trouble
            .lock()
            .expect("no test panics while holding the lock");
        match trouble {
            Trouble::None => self.check(),
            Trouble::Panic => panic!("a fault of the store's client"),
            Trouble::Silent => Err(time_out(limit).await),
            Trouble::Reset => Err(StoreError::Unavailable {
                detail: "connection reset".to_owned(),
            }),
            Trouble::Refused(status) => Err(StoreError::Refused { status }),
        }
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.is_down.load(Ordering::SeqCst) {
            return Err(StoreError::Refused { status: 503 });
        }
        Ok(())
    }

    /// Waits until `find` returns something.
    async fn wait<T>(
        &self,
        wait: Duration,
        find: impl Fn(&Contents) -> Option<T>,
    ) -> Result<Option<T>, StoreError> {
        let limit = wait + CALL_TIMEOUT;
        self.enter(limit).await?;
        let forgotten = self.forgotten.load(Ordering::SeqCst);
        let is_forgotten = || self.forgotten.load(Ordering::SeqCst) != forgotten;
        let found = timeout(wait, async {
            loop {
                let changed = self.changed.notified();
                if is_forgotten() {
                    return Err(time_out(limit).await);
                }
                self.check()?;
                if let Some(found) = find(&self.lock()) {
                    return Ok(found);
                }
                changed.await;
            }
        });
        match found.await {
            Ok(found) => found.map(Some),
            Err(_elapsed) if is_forgotten() => Err(time_out(CALL_TIMEOUT).await),
            Err(_elapsed) => Ok(None),
        }
    }
}

fn domain_order(domain: &str) -> DomainOrder {
    DomainOrder {
        key: format!("orders/{domain}"),
        domain: domain.to_owned(),
        is_readable: true,
    }
}

/// Returns the error of a client that waited for a response in vain.
async fn time_out(limit: Duration) -> StoreError {
    tokio::time::sleep(limit).await;
    StoreError::Unavailable {
        detail: format!("no response within {limit:?}"),
    }
}

#[async_trait]
impl FleetStore for MemoryStore {
    async fn config(&self, on_response: OnResponse<'_>) -> Result<ConfigUpdate, StoreError> {
        self.enter(CALL_TIMEOUT).await?;
        self.transfer(on_response).await;
        let contents = self.lock();
        Ok(contents.config_update(contents.config.as_ref(), Vec::new()))
    }

    async fn orders(&self) -> Result<OrderListing, StoreError> {
        self.enter(CALL_TIMEOUT).await?;
        let result = self.order_listing.lock();
        let result = result.expect("no test panics while holding the lock");
        result.clone().unwrap_or_else(|| Ok(self.order_listing()))
    }

    async fn next_config(
        &self,
        after: u64,
        wait: Duration,
        with_orders: bool,
        on_response: OnResponse<'_>,
    ) -> Result<ConfigUpdate, StoreError> {
        let newer = self.wait(wait, |contents| contents.newer_config(after, with_orders));
        let newer = newer.await?;
        if matches!(&newer, Some(Ok(update)) if update.config.is_some()) {
            self.transfer(on_response).await;
        }
        newer.unwrap_or_else(|| {
            Ok(ConfigUpdate {
                config: None,
                config_error: None,
                orders: Vec::new(),
                has_other_changes: false,
                revision: after,
            })
        })
    }

    async fn next_config_size(
        &self,
        after: u64,
        with_orders: bool,
    ) -> Result<Option<usize>, StoreError> {
        let find = |contents: &Contents| contents.newer_config(after, with_orders);
        let newer = self.wait(Duration::ZERO, find).await?;
        Ok(newer.transpose()?.map(|_update| 0))
    }

    async fn servers(&self, _on_response: OnResponse<'_>) -> Result<ServerListing, StoreError> {
        self.enter(CALL_TIMEOUT).await?;
        if self.fails_server_listing.load(Ordering::SeqCst) {
            return Err(StoreError::Refused { status: 429 });
        }
        let contents = self.lock();
        Ok(ServerListing {
            servers: contents.servers.clone().into_iter().collect(),
            revision: contents.revision,
        })
    }

    async fn next_servers_size(&self, after: u64) -> Result<Option<usize>, StoreError> {
        let changes = self.next_servers(after, Duration::ZERO, UNOBSERVED).await?;
        Ok((!changes.changes.is_empty()).then_some(0))
    }

    async fn next_servers(
        &self,
        after: u64,
        wait: Duration,
        _on_response: OnResponse<'_>,
    ) -> Result<ServerChanges, StoreError> {
        let found = self.wait(wait, |contents| {
            if contents.discarded_revision > after {
                return Some(Err(StoreError::HistoryGone { after }));
            }
            let newer = contents
                .changes
                .iter()
                .filter(|(revision, ..)| *revision > after);
            let changes: Vec<_> = newer
                .map(|(_, id, record)| (id.clone(), record.clone()))
                .collect();
            (!changes.is_empty()).then_some(Ok(ServerChanges {
                changes,
                revision: contents.revision,
            }))
        });
        found.await?.unwrap_or_else(|| {
            Ok(ServerChanges {
                changes: Vec::new(),
                revision: after,
            })
        })
    }

    async fn probe(&self) -> Result<(), StoreError> {
        self.enter(CALL_TIMEOUT).await
    }

    async fn read_saved(&self) -> Result<Option<Bytes>, StoreError> {
        self.enter(CALL_TIMEOUT).await?;
        Ok(self.saved_bytes())
    }

    async fn save(&self, bytes: &[u8]) -> Result<(), StoreError> {
        self.enter(CALL_TIMEOUT).await?;
        self.set_saved(Some(Bytes::copy_from_slice(bytes)));
        Ok(())
    }
}
