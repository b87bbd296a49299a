//! The claim store: routes claims to the tasks of their shards.

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
    gateway::Gateway,
    layout::{agree_on_shards, layout_key, shard_key},
    live_retention::LiveRetention,
    pending::{Pending, Reply, ShardMessage},
    shard::Shard,
};

type ShardSender = mpsc::UnboundedSender<ShardMessage>;
type Shards = Arc<[ShardSender]>;

/// Claims that are committed in groups to records of the key-value service.
#[derive(Debug)]
pub struct ClaimStore {
    settings: Arc<ClaimSettings>,
    retention: Arc<LiveRetention>,
    gateway: Arc<Gateway>,
    /// Senders to the shards' tasks, once their number is agreed.
    shards: watch::Receiver<Option<Shards>>,
    rng: Mutex<Pcg64>,
    /// Claims that were won and neither finished nor released yet.
    won: Mutex<HashMap<(ActionKey, AttemptId), ClaimNonce>>,
    upkeep: JoinHandle<()>,
}

impl ClaimStore {
    /// Starts the tasks of a store.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn start(kv: Arc<dyn KeyValue>, settings: ClaimSettings) -> Arc<Self> {
        let settings = Arc::new(settings);
        let gateway = Gateway::new(kv, settings.call_timeout, settings.writes_per_second);
        let gateway = Arc::new(gateway);
        let mut rng = Pcg64::seed_from_u64(settings.seed);
        let (tx, shards) = watch::channel(None);
        let retention = Arc::new(LiveRetention::new(settings.retention));
        let upkeep = Upkeep {
            settings: Arc::clone(&settings),
            retention: Arc::clone(&retention),
            gateway: Arc::clone(&gateway),
            rng: Pcg64::seed_from_u64(rng.next_u64()),
        };
        Arc::new(Self {
            settings,
            retention,
            gateway,
            shards,
            rng: Mutex::new(rng),
            won: Mutex::default(),
            upkeep: tokio::spawn(upkeep.run(tx)),
        })
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.gateway.counters.snapshot()
    }

    /// Changes how long entries are kept, from the next commit of each record on.
    pub fn set_retention(&self, retention: Retention) {
        self.retention.set(retention);
    }

    /// Changes the bound on the writes of this store, as other agents of the service come and go.
    pub fn set_writes_per_second(&self, writes_per_second: NonZeroU32) {
        self.gateway.pacer.set_rate(writes_per_second);
    }

    /// Commits what waits in the background; `false` if that took longer than `limit`.
    ///
    /// A process that stops calls this after its last request ended.
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

    /// Submits a change and waits for its decision.
    async fn submit(&self, action: ActionKey, attempt: AttemptId, change: ClaimChange) -> Reply {
        let deadline = Instant::now() + self.settings.claim_timeout;
        let decided = async {
            let shards = self.ready_shards().await?;
            let (tx, rx) = oneshot::channel();
            let pending = Pending {
                reply: Some(tx),
                ..Pending::without_reply(action, attempt, change, Instant::now())
            };
            send(&shards, pending);
            rx.await.ok()
        };
        // Leaving early closes the reply, on which the shard's task gives the change up.
        let reply = tokio::select! {
            biased;
            () = self.gateway.availability.wait_until(false) => None,
            reply = timeout_at(deadline, decided) => reply.ok().flatten(),
        };
        reply.unwrap_or(Reply::Unavailable)
    }

    /// Waits for the senders to the shards.
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
            Pending::without_reply(action, attempt, change, due),
        );
    }

    fn next_nonce(&self) -> ClaimNonce {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.next_u64()
    }

    fn remember_won(&self, action: ActionKey, attempt: AttemptId, nonce: ClaimNonce) {
        let mut won = self.won.lock().unwrap_or_else(PoisonError::into_inner);
        won.insert((action, attempt), nonce);
    }

    fn forget_won(&self, action: ActionKey, attempt: AttemptId) -> Option<ClaimNonce> {
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
                self.remember_won(action, attempt, won.accept());
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
        self.forget_won(action, attempt);
        let delay = self.settings.finish_delay;
        self.submit_in_background(action, attempt, ClaimChange::Finish, delay);
    }

    fn release(&self, action: ActionKey, attempt: AttemptId) {
        let Some(nonce) = self.forget_won(action, attempt) else {
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
        self.upkeep.abort();
    }
}

/// The task that agrees on the shards and probes a service that does not answer.
struct Upkeep {
    settings: Arc<ClaimSettings>,
    retention: Arc<LiveRetention>,
    gateway: Arc<Gateway>,
    rng: Pcg64,
}

impl Upkeep {
    async fn run(mut self, tx: watch::Sender<Option<Shards>>) {
        let shards = loop {
            match agree_on_shards(&self.gateway, &self.settings).await {
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
            self.gateway.availability.wait_until(false).await;
            sleep(self.settings.probe_interval).await;
            // The answer itself sets the availability.
            drop(self.gateway.get(&key, KvCallReason::Probe).await);
        }
    }

    fn start_shard(&mut self, shard: u32) -> ShardSender {
        let (tx, task) = Shard::new(
            shard_key(&self.settings.service, shard),
            Arc::clone(&self.settings),
            Arc::clone(&self.retention),
            Arc::clone(&self.gateway),
            Pcg64::seed_from_u64(self.rng.next_u64()),
        );
        tokio::spawn(task.run());
        tx
    }
}

fn send(shards: &Shards, pending: Pending) {
    let tx = &shards[shard_of(pending.action, shards.len())];
    // A shard's task only ends with the store or with the runtime.
    drop(tx.send(ShardMessage::Change(pending)));
}

fn send_flush(tx: &ShardSender) -> Option<oneshot::Receiver<()>> {
    let (reply, rx) = oneshot::channel();
    tx.send(ShardMessage::Flush(reply)).ok()?;
    Some(rx)
}
