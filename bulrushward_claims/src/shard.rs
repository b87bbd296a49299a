//! The task that commits the changes of one record in groups.

use std::sync::Arc;

use bulrushward_platform::{CasOutcome, Entry, Version};
use bulrushward_policy::claim::{ClaimChange, ClaimDecision, ClaimRecord, RecordClock};
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Duration, Instant, sleep, sleep_until},
};
use tracing::{error, warn};

use crate::{
    ClaimSettings, KvCause,
    counters::add,
    gateway::{CallError, Gateway},
    pending::{Pending, Reply, ShardMessage, WonClaim, answer},
    record_codec::{decode_record, encode_record},
};

/// Longest wait before a write is tried again after a first conflict; doubles with each more.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(2);
/// Greatest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A record as last read or written by this task.
#[derive(Debug)]
struct Cached {
    record: ClaimRecord,
    version: Version,
    /// Whether the record was read for the group at hand.
    is_fresh: bool,
}

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
    gateway: Arc<Gateway>,
    rng: Pcg64,
    rx: mpsc::UnboundedReceiver<ShardMessage>,
    /// The task's own channel, for claims that are won but not accepted.
    tx: mpsc::WeakUnboundedSender<ShardMessage>,
    is_open: bool,
    pending: Vec<Pending>,
    flushes: Vec<oneshot::Sender<()>>,
    cached: Option<Cached>,
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
        gateway: Arc<Gateway>,
        rng: Pcg64,
    ) -> (mpsc::UnboundedSender<ShardMessage>, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = Instant::now();
        let shard = Self {
            key,
            settings,
            gateway,
            rng,
            rx,
            tx: tx.downgrade(),
            is_open: true,
            pending: Vec::new(),
            flushes: Vec::new(),
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
            self.take_waiting();
            self.next_commit = Instant::now() + self.settings.commit_interval;
            self.commit_group().await;
        }
    }

    /// Collects changes until some are to be committed; `false` at the end.
    async fn wait_until_due(&mut self) -> bool {
        loop {
            self.answer_flushes();
            let Some(due) = self.due() else {
                if !self.is_open {
                    return false;
                }
                let message = self.rx.recv().await;
                self.take(message);
                continue;
            };
            let gateway = Arc::clone(&self.gateway);
            let ready = async {
                sleep_until(due).await;
                gateway.availability.wait_until(true).await;
            };
            tokio::select! {
                biased;
                message = self.rx.recv(), if self.is_open => self.take(message),
                () = ready => return true,
            }
        }
    }

    fn take(&mut self, message: Option<ShardMessage>) {
        match message {
            Some(ShardMessage::Change(pending)) => self.pending.push(pending),
            Some(ShardMessage::Flush(reply)) => self.flushes.push(reply),
            None => self.is_open = false,
        }
    }

    /// Takes in what arrived while the task waited for its time to write.
    fn take_waiting(&mut self) {
        while let Ok(message) = self.rx.try_recv() {
            self.take(Some(message));
        }
    }

    fn due(&self) -> Option<Instant> {
        let first = self.pending.iter().map(|pending| pending.due).min()?;
        let is_urgent = !self.is_open || !self.flushes.is_empty();
        let wanted = if is_urgent { Instant::now() } else { first };
        Some(wanted.max(self.next_commit))
    }

    fn answer_flushes(&mut self) {
        if self.pending.is_empty() {
            for reply in self.flushes.drain(..) {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(());
            }
        }
    }

    /// Commits all that waits, however often the record changes meanwhile.
    async fn commit_group(&mut self) {
        let mut group = std::mem::take(&mut self.pending);
        if let Some(cached) = &mut self.cached {
            cached.is_fresh = false;
        }
        if self.is_contended && self.cached.is_some() && !self.refresh().await {
            return self.give_up(group);
        }
        let mut read_cause = KvCause::Load;
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
                (Try::Stale, _) => read_cause = KvCause::Confirm,
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
        read_cause: &mut KvCause,
        tries: u32,
    ) -> (Try, Vec<ClaimDecision>) {
        if self.cached.is_none() && self.read(*read_cause).await.is_none() {
            return (Try::Failed, Vec::new());
        }
        let Some(cached) = &mut self.cached else {
            return (Try::Failed, Vec::new());
        };
        let now_ms = self.clock.reading_ms(self.started.elapsed());
        let decisions = decide(&mut cached.record, group, now_ms, &self.settings);
        if cached.record.take_changed() {
            let (result, next_cause) = self.write(group, tries).await;
            *read_cause = next_cause;
            return (result, decisions);
        }
        if cached.is_fresh || decisions.iter().all(is_final) {
            return (Try::Settled, decisions);
        }
        self.cached = None;
        (Try::Stale, decisions)
    }

    /// Writes the cached record; anything but success drops or replaces it.
    async fn write(&mut self, group: &mut [Pending], tries: u32) -> (Try, KvCause) {
        let Some(cached) = self.cached.take() else {
            return (Try::Again, KvCause::Load);
        };
        let value = match encode_record(&cached.record) {
            Ok(value) => value,
            Err(err) => {
                error!(event = "claims_record_not_encoded", key = self.key, %err);
                return (Try::Failed, KvCause::Load);
            }
        };
        let cause = if tries == 0 {
            KvCause::Commit
        } else {
            KvCause::Recommit
        };
        let outcome = self
            .gateway
            .compare_and_swap(&self.key, cached.version, value, cause)
            .await;
        match outcome {
            Ok(CasOutcome::Written(version)) => {
                self.cached = Some(Cached { version, ..cached });
                (Try::Settled, KvCause::Load)
            }
            Ok(CasOutcome::Conflict(entry)) => {
                self.is_contended = true;
                match self.load(entry) {
                    Some(()) => (Try::Again, KvCause::Load),
                    None => (Try::Failed, KvCause::Load),
                }
            }
            Err(CallError::Unanswered) => {
                for pending in group.iter_mut() {
                    pending.sent = true;
                }
                (Try::Again, KvCause::ReadBack)
            }
            Err(CallError::Refused) => (Try::Failed, KvCause::Load),
        }
    }

    /// Reads a record that others write too; most likely, a write without that would be lost.
    async fn refresh(&mut self) -> bool {
        let version = self.cached.take().map(|cached| cached.version);
        if self.read(KvCause::Refresh).await.is_none() {
            return false;
        }
        let current = self.cached.as_ref().map(|cached| cached.version);
        self.is_contended = current != version;
        true
    }

    async fn read(&mut self, cause: KvCause) -> Option<()> {
        let entry = self.gateway.get(&self.key, cause).await.ok()?;
        self.load(entry)
    }

    /// Caches what the key holds; `None` if that is not a record, which is then left alone.
    fn load(&mut self, entry: Option<Entry>) -> Option<()> {
        let (record, version) = match entry {
            None => (ClaimRecord::default(), 0),
            Some(entry) => match decode_record(&entry.value) {
                Ok(record) => (record, entry.version),
                Err(err) => {
                    error!(event = "claims_record_unreadable", key = self.key, %err);
                    return None;
                }
            },
        };
        self.clock
            .observe(record.clock_ms(), self.started.elapsed());
        self.cached = Some(Cached {
            record,
            version,
            is_fresh: true,
        });
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
        let mut kept: Vec<_> = kept.map(|pending| Pending { due, ..pending }).collect();
        kept.append(&mut self.pending);
        self.pending = kept;
    }

    async fn back_off(&mut self, tries: u32) {
        let longest = CONFLICT_BACKOFF * 2_u32.pow(tries.min(MAX_BACKOFF_DOUBLINGS));
        sleep(longest.mul_f64(self.rng.random())).await;
        sleep_until(self.gateway.pacer.reserve()).await;
    }
}

/// Applies a group to a record.
fn decide(
    record: &mut ClaimRecord,
    group: &[Pending],
    now_ms: u64,
    settings: &ClaimSettings,
) -> Vec<ClaimDecision> {
    record.advance_clock(now_ms);
    let unfinished = record.prune(&settings.retention);
    if unfinished > 0 {
        warn!(event = "claims_unfinished_expired", count = unfinished);
    }
    let apply = |pending: &Pending| {
        record.apply(
            pending.action,
            pending.attempt,
            pending.change,
            settings.value_limit,
        )
    };
    group.iter().map(apply).collect()
}

/// Tells whether a decision stays true however old the record is that it was made on.
fn is_final(decision: &ClaimDecision) -> bool {
    match decision {
        ClaimDecision::Ran { .. } | ClaimDecision::Barred | ClaimDecision::Recorded => true,
        ClaimDecision::Won | ClaimDecision::Held { .. } | ClaimDecision::Full => false,
    }
}
