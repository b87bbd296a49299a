//! The queue of one shard: changes that wait for their commit.

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    availability::Availability,
    pending::{Pending, ShardMessage},
};

#[derive(Debug)]
pub(crate) struct ChangeQueue {
    rx: mpsc::UnboundedReceiver<ShardMessage>,
    is_open: bool,
    pending: Vec<Pending>,
    flushes: Vec<oneshot::Sender<()>>,
}

impl ChangeQueue {
    pub(crate) fn new(rx: mpsc::UnboundedReceiver<ShardMessage>) -> Self {
        Self {
            rx,
            is_open: true,
            pending: Vec::new(),
            flushes: Vec::new(),
        }
    }

    /// Collects changes until some are to be committed while the service answers.
    ///
    /// Returns `false` at the end, when the store is gone and nothing waits.
    pub(crate) async fn wait_until_due(
        &mut self,
        not_before: Instant,
        availability: &Availability,
    ) -> bool {
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
            let ready = async {
                sleep_until(due.max(not_before)).await;
                availability.wait_until(true).await;
            };
            tokio::select! {
                biased;
                message = self.rx.recv(), if self.is_open => self.take(message),
                () = ready => return true,
            }
        }
    }

    /// Returns all that waits, in the order of arrival.
    pub(crate) fn take_group(&mut self) -> Vec<Pending> {
        while let Ok(message) = self.rx.try_recv() {
            self.take(Some(message));
        }
        std::mem::take(&mut self.pending)
    }

    /// Puts changes back in front of what arrived since.
    pub(crate) fn put_back(&mut self, mut group: Vec<Pending>) {
        group.append(&mut self.pending);
        self.pending = group;
    }

    fn take(&mut self, message: Option<ShardMessage>) {
        match message {
            Some(ShardMessage::Change(pending)) => self.pending.push(pending),
            Some(ShardMessage::Flush(reply)) => self.flushes.push(reply),
            None => self.is_open = false,
        }
    }

    fn due(&self) -> Option<Instant> {
        let first = self.pending.iter().map(|pending| pending.due).min()?;
        let is_urgent = !self.is_open || !self.flushes.is_empty();
        Some(if is_urgent { Instant::now() } else { first })
    }

    fn answer_flushes(&mut self) {
        if self.pending.is_empty() {
            for reply in self.flushes.drain(..) {
                // Whoever asked may have stopped waiting.
                let _ = reply.send(());
            }
        }
    }
}
