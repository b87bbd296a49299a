//! Changes of a record that wait for their commit.

use bulrushward_policy::claim::{ClaimChange, ClaimDecision, ClaimNonce};
use bulrushward_protocol::{ActionKey, AttemptId};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

/// Message to the task of a shard.
#[derive(Debug)]
pub(crate) enum ShardMessage {
    /// Commits a change.
    Change(Pending),
    /// Commits all that waits now, then answers.
    Flush(oneshot::Sender<()>),
}

/// One change that waits for its commit.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) action: ActionKey,
    pub(crate) attempt: AttemptId,
    pub(crate) change: ClaimChange,
    /// Whoever waits for the decision; closed once nobody does.
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    /// When the change is to be committed at the latest.
    pub(crate) due: Instant,
    /// Whether a write that holds the change may have taken effect.
    pub(crate) sent: bool,
}

/// What a waiting caller gets.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The claim was won; released again unless accepted.
    Won(WonClaim),
    /// Any other decision, committed or confirmed by a read.
    Decided(ClaimDecision),
    /// Nothing is certain.
    Unavailable,
}

impl Pending {
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
            sent: false,
        }
    }

    /// Tells whether the change has to be committed even if nobody waits for it.
    pub(crate) fn is_durable(&self) -> bool {
        matches!(
            self.change,
            ClaimChange::Finish | ClaimChange::Release { .. }
        )
    }

    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_none_or(oneshot::Sender::is_closed)
    }

    /// Returns what is left to do if nobody waits any more, or the change itself otherwise.
    ///
    /// A claim that may have been written has to be released, or no repeat of the action could
    /// run. One that was never sent is just forgotten.
    pub(crate) fn unless_abandoned(self) -> Option<Self> {
        if self.is_durable() || !self.is_abandoned() {
            return Some(self);
        }
        self.into_release()
    }

    /// Answers that nothing is certain and returns what is left to do.
    pub(crate) fn give_up(mut self) -> Option<Self> {
        if self.is_durable() {
            return Some(self);
        }
        answer(self.reply.take(), Reply::Unavailable);
        self.into_release()
    }

    fn into_release(self) -> Option<Self> {
        let ClaimChange::Claim { nonce } = self.change else {
            return None;
        };
        let release = ClaimChange::Release { nonce };
        self.sent
            .then(|| Self::without_reply(self.action, self.attempt, release, Instant::now()))
    }
}

/// Sends a reply; whoever stopped waiting needs none.
pub(crate) fn answer(reply: Option<oneshot::Sender<Reply>>, value: Reply) {
    if let Some(tx) = reply {
        // A `WonClaim` that comes back is dropped here and releases its claim.
        drop(tx.send(value));
    }
}

/// A won claim on its way to the caller; dropping it before acceptance releases the claim.
#[derive(Debug)]
pub(crate) struct WonClaim {
    pub(crate) action: ActionKey,
    pub(crate) attempt: AttemptId,
    pub(crate) nonce: ClaimNonce,
    /// The task of the shard, until the claim is accepted.
    pub(crate) tx: Option<mpsc::WeakUnboundedSender<ShardMessage>>,
}

impl WonClaim {
    /// Hands the claim over to the caller, who must finish or release it.
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
        let pending = Pending::without_reply(self.action, self.attempt, release, Instant::now());
        // A closed channel means that the store is gone; the claim then stays held, which is safe.
        drop(tx.send(ShardMessage::Change(pending)));
    }
}
