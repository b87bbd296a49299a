//! The claim store, which passes each change to the task of its shard.

use std::{
    collections::HashMap,
    num::NonZeroU32,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bulrushward_clients::KeyValue;
use bulrushward_policy::claim::{ClaimChange, ClaimDecision, ClaimNonce, Retention, shard_of};
use bulrushward_protocol::{ActionKey, AttemptId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout, timeout_at},
};
use tracing::warn;

use crate::{
    ClaimCounters, ClaimOutcome, ClaimSettings, Claims, KvCallReason,
    kv_client::KvClient,
    layout::{layout_key, load_or_create_shard_count, shard_key},
    pending::{PendingChange, Reply, ShardMessage},
    shard::Shard,
    shared_retention::SharedRetention,
};

type ShardSender = mpsc::UnboundedSender<ShardMessage>;
type Shards = Arc<[ShardSender]>;

/// Claims in sharded records of the key-value service, with one task per shard.
#[derive(Debug)]
pub struct ClaimStore {
    settings: Arc<ClaimSettings>,
    retention: Arc<SharedRetention>,
    kv_client: Arc<KvClient>,
    /// Senders to the shards' tasks, once the number of shards is known.
    shards: watch::Receiver<Option<Shards>>,
    rng: Mutex<Pcg64>,
    /// Nonces of the claims that were won and not yet finished or released.
    won: Mutex<HashMap<(ActionKey, AttemptId), ClaimNonce>>,
    maintenance: JoinHandle<()>,
}

impl ClaimStore {
    /// Starts a store and its background tasks.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn start(kv: Arc<dyn KeyValue>, settings: ClaimSettings) -> Arc<Self> {
        let settings = Arc::new(settings);
        let kv_client = KvClient::new(kv, settings.call_timeout, settings.writes_per_second);
        let kv_client = Arc::new(kv_client);
        let mut rng = Pcg64::seed_from_u64(settings.seed);
        let (tx, shards) = watch::channel(None);
        let retention = Arc::new(SharedRetention::new(settings.retention));
        let maintenance = MaintenanceTask {
            settings: Arc::clone(&settings),
            retention: Arc::clone(&retention),
            kv_client: Arc::clone(&kv_client),
            rng: Pcg64::seed_from_u64(rng.next_u64()),
        };
        Arc::new(Self {
            settings,
            retention,
            kv_client,
            shards,
            rng: Mutex::new(rng),
            won: Mutex::default(),
            maintenance: tokio::spawn(maintenance.run(tx)),
        })
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.kv_client.counters.snapshot()
    }

    /// Changes how long entries are kept, starting with the next commit of each record.
    pub fn set_retention(&self, retention: Retention) {
        self.retention.set(retention);
    }

    /// Changes the maximum rate of writes, for example when the number of agents has changed.
    pub fn set_writes_per_second(&self, writes_per_second: NonZeroU32) {
        self.kv_client.write_limiter.set_rate(writes_per_second);
    }

    /// Commits all queued changes; returns `false` if that takes longer than `limit`.
    ///
    /// A process that shuts down calls this once its last request has ended.
    pub async fn flush(&self, limit: Duration) -> bool {
        let Some(shards) = self.shards.borrow().clone() else {
            return true;
        };
        let flush_all = async {
            let replies: Vec<_> = shards.iter().filter_map(send_flush).collect();
            for rx in replies {
                drop(rx.await);
            }
        };
        timeout(limit, flush_all).await.is_ok()
    }

    /// Queues a change and waits for its decision.
    async fn submit(&self, action: ActionKey, attempt: AttemptId, change: ClaimChange) -> Reply {
        let deadline = Instant::now() + self.settings.claim_timeout;
        let decided = async {
            let shards = self.ready_shards().await?;
            let (tx, rx) = oneshot::channel();
            let pending = PendingChange {
                reply: Some(tx),
                ..PendingChange::without_reply(action, attempt, change, Instant::now())
            };
            send(&shards, pending);
            rx.await.ok()
        };
        // Returning early closes the reply channel, so that the shard's task drops the change or
        // releases its claim.
        let reply = tokio::select! {
            biased;
            () = self.kv_client.availability.wait_until(false) => None,
            reply = timeout_at(deadline, decided) => reply.ok().flatten(),
        };
        reply.unwrap_or(Reply::Unavailable)
    }

    /// Waits until the number of shards is known and returns the senders to their tasks.
    async fn ready_shards(&self) -> Option<Shards> {
        let mut shards = self.shards.clone();
        let ready = shards.wait_for(Option::is_some).await.ok()?;
        ready.clone()
    }

    fn submit_in_background(
        &self,
        action: ActionKey,
        attempt: AttemptId,
        change: ClaimChange,
        delay: Duration,
    ) {
        let Some(shards) = self.shards.borrow().clone() else {
            warn!(event = "claims-change-before-claim", ?change);
            return;
        };
        let due = Instant::now() + delay;
        send(
            &shards,
            PendingChange::without_reply(action, attempt, change, due),
        );
    }

    fn next_nonce(&self) -> ClaimNonce {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.next_u64()
    }

    fn insert_won(&self, action: ActionKey, attempt: AttemptId, nonce: ClaimNonce) {
        let mut won = self.won.lock().unwrap_or_else(PoisonError::into_inner);
        won.insert((action, attempt), nonce);
    }

    fn remove_won(&self, action: ActionKey, attempt: AttemptId) -> Option<ClaimNonce> {
        let mut won = self.won.lock().unwrap_or_else(PoisonError::into_inner);
        won.remove(&(action, attempt))
    }
}

#[async_trait]
impl Claims for ClaimStore {
    async fn claim(&self, action: ActionKey, attempt: AttemptId) -> ClaimOutcome {
        let nonce = self.next_nonce();
        let change = ClaimChange::Claim { nonce };
        match self.submit(action, attempt, change).await {
            Reply::Won(won) => {
                self.insert_won(action, attempt, won.accept());
                ClaimOutcome::Won
            }
            Reply::Decided(ClaimDecision::Held { holder }) => ClaimOutcome::Held { holder },
            Reply::Decided(ClaimDecision::Ran { holder }) => ClaimOutcome::Ran { holder },
            Reply::Decided(ClaimDecision::Barred) => ClaimOutcome::Barred,
            Reply::Decided(ClaimDecision::Full) => ClaimOutcome::Full,
            Reply::Decided(ClaimDecision::Won | ClaimDecision::Recorded) | Reply::Unavailable => {
                ClaimOutcome::Unavailable
            }
        }
    }

    fn finish(&self, action: ActionKey, attempt: AttemptId) {
        self.remove_won(action, attempt);
        let delay = self.settings.finish_delay;
        self.submit_in_background(action, attempt, ClaimChange::Finish, delay);
    }

    fn release(&self, action: ActionKey, attempt: AttemptId) {
        let Some(nonce) = self.remove_won(action, attempt) else {
            warn!(event = "claims-release-without-claim", attempt);
            return;
        };
        let change = ClaimChange::Release { nonce };
        self.submit_in_background(action, attempt, change, Duration::ZERO);
    }

    async fn bar(&self, action: ActionKey, attempt: AttemptId) -> bool {
        let reply = self.submit(action, attempt, ClaimChange::Bar).await;
        matches!(reply, Reply::Decided(ClaimDecision::Barred))
    }
}

impl Drop for ClaimStore {
    fn drop(&mut self) {
        self.maintenance.abort();
    }
}

/// Task that starts the shards and probes the key-value service while it is unavailable.
struct MaintenanceTask {
    settings: Arc<ClaimSettings>,
    retention: Arc<SharedRetention>,
    kv_client: Arc<KvClient>,
    rng: Pcg64,
}

impl MaintenanceTask {
    async fn run(mut self, tx: watch::Sender<Option<Shards>>) {
        let shards = loop {
            match load_or_create_shard_count(&self.kv_client, &self.settings).await {
                Some(shards) => break shards,
                None => sleep(self.settings.probe_interval).await,
            }
        };
        let senders = (0..shards.get())
            .map(|shard| self.start_shard(shard))
            .collect();
        tx.send_replace(Some(senders));
        let key = layout_key(&self.settings.service);
        loop {
            self.kv_client.availability.wait_until(false).await;
            sleep(self.settings.probe_interval).await;
            // The call itself updates the availability.
            drop(self.kv_client.get(&key, KvCallReason::Probe).await);
        }
    }

    fn start_shard(&mut self, shard: u32) -> ShardSender {
        let (tx, task) = Shard::new(
            shard_key(&self.settings.service, shard),
            Arc::clone(&self.settings),
            Arc::clone(&self.retention),
            Arc::clone(&self.kv_client),
            Pcg64::seed_from_u64(self.rng.next_u64()),
        );
        tokio::spawn(task.run());
        tx
    }
}

fn send(shards: &Shards, pending: PendingChange) {
    let tx = &shards[shard_of(pending.action, shards.len())];
    // Sending fails only if the runtime has shut down, since the task runs as long as the store.
    drop(tx.send(ShardMessage::Change(pending)));
}

fn send_flush(tx: &ShardSender) -> Option<oneshot::Receiver<()>> {
    let (reply, rx) = oneshot::channel();
    tx.send(ShardMessage::Flush(reply)).ok()?;
    Some(rx)
}
