//! Group commit of the changes to one record.

use std::sync::Arc;

use bulrushward_clients::{CasOutcome, Entry};
use bulrushward_policy::claim::{ClaimChange, ClaimDecision, RecordClock};
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep, sleep_until},
};
use tracing::error;

use crate::{
    ClaimSettings, KvCallReason,
    cached_record::CachedRecord,
    counters::add,
    kv_client::{CallError, KvClient},
    pending::{PendingChange, Reply, ShardMessage, WonClaim, send_reply},
    queue::ChangeQueue,
    record_codec::encode_record,
    shared_retention::SharedRetention,
};

/// Maximum backoff before the first retry of a commit; doubles with each further retry.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Result of one try to commit a group.
enum GroupResult {
    /// The decisions are final.
    Settled,
    /// The write conflicted or had no response; the group must be applied to the current record.
    Retry,
    /// A claim would be refused, but the cached record may be outdated.
    StaleCache,
    /// The record cannot be read or written.
    Failed,
}

#[derive(Debug)]
pub(crate) struct Shard {
    key: String,
    settings: Arc<ClaimSettings>,
    retention: Arc<SharedRetention>,
    kv_client: Arc<KvClient>,
    rng: Pcg64,
    queue: ChangeQueue,
    /// Sender of the task's own channel, through which unaccepted claims are released.
    tx: mpsc::WeakUnboundedSender<ShardMessage>,
    cached: Option<CachedRecord>,
    /// Whether another store may also be writing the record; `true` until a read shows otherwise.
    is_contended: bool,
    clock: RecordClock,
    started: Instant,
    next_commit: Instant,
}

impl Shard {
    pub(crate) fn new(
        key: String,
        settings: Arc<ClaimSettings>,
        retention: Arc<SharedRetention>,
        kv_client: Arc<KvClient>,
        rng: Pcg64,
    ) -> (mpsc::UnboundedSender<ShardMessage>, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = Instant::now();
        let shard = Self {
            key,
            settings,
            retention,
            kv_client,
            rng,
            queue: ChangeQueue::new(rx),
            tx: tx.downgrade(),
            cached: None,
            is_contended: true,
            clock: RecordClock::default(),
            started: now,
            next_commit: now,
        };
        (tx, shard)
    }

    /// Commits groups until the store is dropped and the queue is empty.
    pub(crate) async fn run(mut self) {
        while self.wait_until_due().await {
            sleep_until(self.kv_client.write_limiter.reserve()).await;
            self.next_commit = Instant::now() + self.settings.commit_interval;
            self.commit_group().await;
        }
    }

    async fn wait_until_due(&mut self) -> bool {
        let availability = &self.kv_client.availability;
        self.queue
            .wait_until_due(self.next_commit, availability)
            .await
    }

    /// Commits all queued changes, with retries while other stores change the record.
    async fn commit_group(&mut self) {
        let mut group = self.queue.take_group();
        if let Some(cached) = &mut self.cached {
            cached.is_fresh = false;
        }
        if self.is_contended && self.cached.is_some() && !self.refresh().await {
            return self.fail_group(group);
        }
        let mut read_reason = KvCallReason::Load;
        let mut retries = 0;
        loop {
            group = group
                .into_iter()
                .filter_map(PendingChange::unless_abandoned)
                .collect();
            if group.is_empty() {
                return;
            }
            match self
                .try_commit_group(&mut group, &mut read_reason, retries)
                .await
            {
                (GroupResult::Settled, decisions) => return self.reply_to_group(group, decisions),
                (GroupResult::Failed, _) => return self.fail_group(group),
                (GroupResult::StaleCache, _) => read_reason = KvCallReason::Confirm,
                (GroupResult::Retry, _) => {
                    self.back_off(retries).await;
                    retries += 1;
                }
            }
        }
    }

    async fn try_commit_group(
        &mut self,
        group: &mut [PendingChange],
        read_reason: &mut KvCallReason,
        retries: u32,
    ) -> (GroupResult, Vec<ClaimDecision>) {
        if self.cached.is_none() && self.read(*read_reason).await.is_none() {
            return (GroupResult::Failed, Vec::new());
        }
        let Some(cached) = &mut self.cached else {
            return (GroupResult::Failed, Vec::new());
        };
        let now_ms = self.clock.reading_ms(self.started.elapsed());
        let decisions = cached.apply_group(group, now_ms, &self.settings, &self.retention.get());
        if cached.record.take_changed() {
            let (result, next_read_reason) = self.write(group, retries).await;
            *read_reason = next_read_reason;
            return (result, decisions);
        }
        if cached.are_conclusive(&decisions) {
            return (GroupResult::Settled, decisions);
        }
        self.cached = None;
        (GroupResult::StaleCache, decisions)
    }

    /// Writes the cached record; unless that succeeds, the cache is cleared or reloaded.
    async fn write(
        &mut self,
        group: &mut [PendingChange],
        retries: u32,
    ) -> (GroupResult, KvCallReason) {
        let Some(cached) = self.cached.take() else {
            return (GroupResult::Retry, KvCallReason::Load);
        };
        let value = match encode_record(&cached.record) {
            Ok(value) => value,
            Err(err) => {
                error!(event = "claims-record-not-encoded", key = self.key, %err);
                return (GroupResult::Failed, KvCallReason::Load);
            }
        };
        let reason = if retries == 0 {
            KvCallReason::Commit
        } else {
            KvCallReason::Recommit
        };
        let outcome = self
            .kv_client
            .compare_and_swap(&self.key, cached.version, value, reason)
            .await;
        match outcome {
            Ok(CasOutcome::Written(version)) => {
                self.cached = Some(CachedRecord { version, ..cached });
                (GroupResult::Settled, KvCallReason::Load)
            }
            Ok(CasOutcome::Conflict(entry)) => {
                self.is_contended = true;
                match self.load(entry) {
                    Some(()) => (GroupResult::Retry, KvCallReason::Load),
                    None => (GroupResult::Failed, KvCallReason::Load),
                }
            }
            Err(CallError::Unavailable) => {
                for pending in group.iter_mut() {
                    pending.may_be_written = true;
                }
                (GroupResult::Retry, KvCallReason::ReadBack)
            }
            Err(CallError::Refused) => (GroupResult::Failed, KvCallReason::Load),
        }
    }

    /// Reads a contended record before it is written, as the write would otherwise likely conflict.
    async fn refresh(&mut self) -> bool {
        let version = self.cached.take().map(|cached| cached.version);
        if self.read(KvCallReason::Refresh).await.is_none() {
            return false;
        }
        let current = self.cached.as_ref().map(|cached| cached.version);
        self.is_contended = current != version;
        true
    }

    async fn read(&mut self, reason: KvCallReason) -> Option<()> {
        let entry = self.kv_client.get(&self.key, reason).await.ok()?;
        self.load(entry)
    }

    /// Caches the record of an entry; `None` if it cannot be decoded and must not be overwritten.
    fn load(&mut self, entry: Option<Entry>) -> Option<()> {
        let cached = match CachedRecord::from_entry(entry) {
            Ok(cached) => cached,
            Err(err) => {
                error!(event = "claims-record-unreadable", key = self.key, %err);
                return None;
            }
        };
        let now = self.started.elapsed();
        self.clock.observe(cached.record.clock_ms(), now);
        self.cached = Some(cached);
        Some(())
    }

    fn reply_to_group(&mut self, group: Vec<PendingChange>, decisions: Vec<ClaimDecision>) {
        add(&self.kv_client.counters.changes, group.len() as u64);
        for (pending, decision) in group.into_iter().zip(decisions) {
            let reply = match (decision, pending.change) {
                (ClaimDecision::Won, ClaimChange::Claim { nonce }) => Reply::Won(WonClaim {
                    action: pending.action,
                    attempt: pending.attempt,
                    nonce,
                    tx: Some(self.tx.clone()),
                }),
                _ => Reply::Decided(decision),
            };
            send_reply(pending.reply, reply);
        }
    }

    /// Fails the waiting callers and requeues the changes that still must be committed.
    fn fail_group(&mut self, group: Vec<PendingChange>) {
        self.cached = None;
        let due = Instant::now() + self.settings.probe_interval;
        let kept = group.into_iter().filter_map(PendingChange::fail);
        let kept = kept.map(|pending| PendingChange { due, ..pending });
        self.queue.requeue(kept.collect());
    }

    async fn back_off(&mut self, retries: u32) {
        let max_delay = CONFLICT_BACKOFF * 2_u32.pow(retries.min(MAX_BACKOFF_DOUBLINGS));
        sleep(max_delay.mul_f64(self.rng.random())).await;
        sleep_until(self.kv_client.write_limiter.reserve()).await;
    }
}
