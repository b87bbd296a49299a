//! Changes of a record that are waiting to be committed.

use bulrushward_policy::claim::{ClaimChange, ClaimDecision, ClaimNonce};
use bulrushward_protocol::{ActionKey, AttemptId};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

/// Message to a shard's task.
#[derive(Debug)]
pub(crate) enum ShardMessage {
    /// Queues a change.
    Change(PendingChange),
    /// Commits all queued changes without further delay, then replies.
    Flush(oneshot::Sender<()>),
}

/// A change that is waiting to be committed.
#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) action: ActionKey,
    pub(crate) attempt: AttemptId,
    pub(crate) change: ClaimChange,
    /// Channel to the waiting caller; closed once the caller stops waiting.
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    /// Time at which a commit is made for the change, unless an earlier commit includes it.
    pub(crate) due: Instant,
    /// Whether a write that contains the change had no response and may have taken effect.
    pub(crate) may_be_written: bool,
}

/// Reply to a waiting caller.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The claim was won; it is released again unless the caller accepts it.
    Won(WonClaim),
    /// Any other decision, committed or confirmed by a read.
    Decided(ClaimDecision),
    /// The change could not be decided.
    Unavailable,
}

impl PendingChange {
    pub(crate) fn without_reply(
        action: ActionKey,
        attempt: AttemptId,
        change: ClaimChange,
        due: Instant,
    ) -> Self {
        Self {
            action,
            attempt,
            change,
            reply: None,
            due,
            may_be_written: false,
        }
    }

    /// Returns whether the change must be committed even if no caller waits for it.
    pub(crate) fn must_commit(&self) -> bool {
        matches!(
            self.change,
            ClaimChange::Finish | ClaimChange::Release { .. }
        )
    }

    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_none_or(oneshot::Sender::is_closed)
    }

    /// Returns the change, or what must still be committed once its caller has stopped waiting.
    ///
    /// An abandoned claim that may have been written is replaced by its release, since otherwise no
    /// retry of the action could ever run. Other abandoned changes are dropped.
    pub(crate) fn unless_abandoned(self) -> Option<Self> {
        if self.must_commit() || !self.is_abandoned() {
            return Some(self);
        }
        self.into_release()
    }

    /// Replies [`Reply::Unavailable`] and returns what must still be committed.
    pub(crate) fn fail(mut self) -> Option<Self> {
        if self.must_commit() {
            return Some(self);
        }
        send_reply(self.reply.take(), Reply::Unavailable);
        self.into_release()
    }

    fn into_release(self) -> Option<Self> {
        let ClaimChange::Claim { nonce } = self.change else {
            return None;
        };
        let release = ClaimChange::Release { nonce };
        self.may_be_written
            .then(|| Self::without_reply(self.action, self.attempt, release, Instant::now()))
    }
}

/// Sends a reply if the caller is still waiting.
pub(crate) fn send_reply(reply: Option<oneshot::Sender<Reply>>, value: Reply) {
    if let Some(tx) = reply {
        // If the caller has left, `send` returns the reply; dropping a `WonClaim` releases it.
        drop(tx.send(value));
    }
}

/// A won claim that its caller has not accepted yet; dropping it releases the claim.
#[derive(Debug)]
pub(crate) struct WonClaim {
    pub(crate) action: ActionKey,
    pub(crate) attempt: AttemptId,
    pub(crate) nonce: ClaimNonce,
    /// Channel to the shard's task; `None` once the claim is accepted.
    pub(crate) tx: Option<mpsc::WeakUnboundedSender<ShardMessage>>,
}

impl WonClaim {
    /// Passes the claim to the caller, which must finish or release it.
    pub(crate) fn accept(mut self) -> ClaimNonce {
        self.tx = None;
        self.nonce
    }
}

impl Drop for WonClaim {
    fn drop(&mut self) {
        let Some(tx) = self.tx.take().and_then(|weak| weak.upgrade()) else {
            return;
        };
        let release = ClaimChange::Release { nonce: self.nonce };
        let pending =
            PendingChange::without_reply(self.action, self.attempt, release, Instant::now());
        // The channel is closed once the store is dropped. The claim then stays held, so that the
        // action cannot run twice.
        drop(tx.send(ShardMessage::Change(pending)));
    }
}
