//! The task that commits the changes of one record in groups.

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
    gateway::{CallError, Gateway},
    live_retention::LiveRetention,
    pending::{Pending, Reply, ShardMessage, WonClaim, answer},
    queue::ChangeQueue,
    record_codec::encode_record,
};

/// Longest wait before a write is tried again after a first conflict; doubles with each more.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(2);
/// Greatest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// How a try to commit a group ended.
enum Try {
    /// The decisions hold.
    Settled,
    /// The write did not settle the group; the record has to be looked at again.
    Again,
    /// The cached record is too old to refuse a claim by it.
    Stale,
    /// The key-value service cannot be used.
    Failed,
}

#[derive(Debug)]
pub(crate) struct Shard {
    key: String,
    settings: Arc<ClaimSettings>,
    retention: Arc<LiveRetention>,
    gateway: Arc<Gateway>,
    rng: Pcg64,
    queue: ChangeQueue,
    /// The task's own channel, for claims that are won but not accepted.
    tx: mpsc::WeakUnboundedSender<ShardMessage>,
    cached: Option<CachedRecord>,
    /// Whether another store may have written the record since the last commit; `true` until a
    /// read shows otherwise.
    is_contended: bool,
    clock: RecordClock,
    started: Instant,
    next_commit: Instant,
}

impl Shard {
    pub(crate) fn new(
        key: String,
        settings: Arc<ClaimSettings>,
        retention: Arc<LiveRetention>,
        gateway: Arc<Gateway>,
        rng: Pcg64,
    ) -> (mpsc::UnboundedSender<ShardMessage>, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = Instant::now();
        let shard = Self {
            key,
            settings,
            retention,
            gateway,
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

    /// Commits groups until the store is gone and nothing waits.
    pub(crate) async fn run(mut self) {
        while self.wait_until_due().await {
            sleep_until(self.gateway.pacer.reserve()).await;
            self.next_commit = Instant::now() + self.settings.commit_interval;
            self.commit_group().await;
        }
    }

    async fn wait_until_due(&mut self) -> bool {
        let availability = &self.gateway.availability;
        self.queue
            .wait_until_due(self.next_commit, availability)
            .await
    }

    /// Commits all that waits, however often the record changes meanwhile.
    async fn commit_group(&mut self) {
        let mut group = self.queue.take_group();
        if let Some(cached) = &mut self.cached {
            cached.is_fresh = false;
        }
        if self.is_contended && self.cached.is_some() && !self.refresh().await {
            return self.give_up(group);
        }
        let mut read_cause = KvCallReason::Load;
        let mut tries = 0;
        loop {
            group = group
                .into_iter()
                .filter_map(Pending::unless_abandoned)
                .collect();
            if group.is_empty() {
                return;
            }
            match self.try_group(&mut group, &mut read_cause, tries).await {
                (Try::Settled, decisions) => return self.answer_group(group, decisions),
                (Try::Failed, _) => return self.give_up(group),
                (Try::Stale, _) => read_cause = KvCallReason::Confirm,
                (Try::Again, _) => {
                    self.back_off(tries).await;
                    tries += 1;
                }
            }
        }
    }

    async fn try_group(
        &mut self,
        group: &mut [Pending],
        read_cause: &mut KvCallReason,
        tries: u32,
    ) -> (Try, Vec<ClaimDecision>) {
        if self.cached.is_none() && self.read(*read_cause).await.is_none() {
            return (Try::Failed, Vec::new());
        }
        let Some(cached) = &mut self.cached else {
            return (Try::Failed, Vec::new());
        };
        let now_ms = self.clock.reading_ms(self.started.elapsed());
        let decisions = cached.decide(group, now_ms, &self.settings, &self.retention.get());
        if cached.record.take_changed() {
            let (result, next_cause) = self.write(group, tries).await;
            *read_cause = next_cause;
            return (result, decisions);
        }
        if cached.holds(&decisions) {
            return (Try::Settled, decisions);
        }
        self.cached = None;
        (Try::Stale, decisions)
    }

    /// Writes the cached record; anything but success drops or replaces it.
    async fn write(&mut self, group: &mut [Pending], tries: u32) -> (Try, KvCallReason) {
        let Some(cached) = self.cached.take() else {
            return (Try::Again, KvCallReason::Load);
        };
        let value = match encode_record(&cached.record) {
            Ok(value) => value,
            Err(err) => {
                error!(event = "claims-record-not-encoded", key = self.key, %err);
                return (Try::Failed, KvCallReason::Load);
            }
        };
        let cause = if tries == 0 {
            KvCallReason::Commit
        } else {
            KvCallReason::Recommit
        };
        let outcome = self
            .gateway
            .compare_and_swap(&self.key, cached.version, value, cause)
            .await;
        match outcome {
            Ok(CasOutcome::Written(version)) => {
                self.cached = Some(CachedRecord { version, ..cached });
                (Try::Settled, KvCallReason::Load)
            }
            Ok(CasOutcome::Conflict(entry)) => {
                self.is_contended = true;
                match self.load(entry) {
                    Some(()) => (Try::Again, KvCallReason::Load),
                    None => (Try::Failed, KvCallReason::Load),
                }
            }
            Err(CallError::Unanswered) => {
                for pending in group.iter_mut() {
                    pending.sent = true;
                }
                (Try::Again, KvCallReason::ReadBack)
            }
            Err(CallError::Refused) => (Try::Failed, KvCallReason::Load),
        }
    }

    /// Reads a record that others write too; most likely, a write without that would be lost.
    async fn refresh(&mut self) -> bool {
        let version = self.cached.take().map(|cached| cached.version);
        if self.read(KvCallReason::Refresh).await.is_none() {
            return false;
        }
        let current = self.cached.as_ref().map(|cached| cached.version);
        self.is_contended = current != version;
        true
    }

    async fn read(&mut self, cause: KvCallReason) -> Option<()> {
        let entry = self.gateway.get(&self.key, cause).await.ok()?;
        self.load(entry)
    }

    /// Caches what the key holds; `None` if that is not a record, which is then left alone.
    fn load(&mut self, entry: Option<Entry>) -> Option<()> {
        let cached = match CachedRecord::read(entry) {
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

    fn answer_group(&mut self, group: Vec<Pending>, decisions: Vec<ClaimDecision>) {
        add(&self.gateway.counters.changes, group.len() as u64);
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
            answer(pending.reply, reply);
        }
    }

    /// Answers the callers and keeps what must be committed later.
    fn give_up(&mut self, group: Vec<Pending>) {
        self.cached = None;
        let due = Instant::now() + self.settings.probe_interval;
        let kept = group.into_iter().filter_map(Pending::give_up);
        let kept = kept.map(|pending| Pending { due, ..pending });
        self.queue.put_back(kept.collect());
    }

    async fn back_off(&mut self, tries: u32) {
        let longest = CONFLICT_BACKOFF * 2_u32.pow(tries.min(MAX_BACKOFF_DOUBLINGS));
        sleep(longest.mul_f64(self.rng.random())).await;
        sleep_until(self.gateway.pacer.reserve()).await;
    }
}
