//! Queue of the changes that one shard has not committed yet.

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep_until},
};

use crate::{
    availability::Availability,
    pending::{PendingChange, ShardMessage},
};

#[derive(Debug)]
pub(crate) struct ChangeQueue {
    rx: mpsc::UnboundedReceiver<ShardMessage>,
    is_open: bool,
    pending: Vec<PendingChange>,
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

    /// Collects changes until a commit is due and the key-value service is available.
    ///
    /// Returns `false` once the store is dropped and the queue is empty.
    pub(crate) async fn wait_until_due(
        &mut self,
        not_before: Instant,
        availability: &Availability,
    ) -> bool {
        loop {
            self.complete_flushes();
            let Some(due) = self.next_due() else {
                if !self.is_open {
                    return false;
                }
                let message = self.rx.recv().await;
                self.handle_message(message);
                continue;
            };
            let ready = async {
                sleep_until(due.max(not_before)).await;
                availability.wait_until(true).await;
            };
            tokio::select! {
                biased;
                message = self.rx.recv(), if self.is_open => self.handle_message(message),
                () = ready => return true,
            }
        }
    }

    /// Removes and returns all queued changes in order of arrival.
    pub(crate) fn take_group(&mut self) -> Vec<PendingChange> {
        while let Ok(message) = self.rx.try_recv() {
            self.handle_message(Some(message));
        }
        std::mem::take(&mut self.pending)
    }

    /// Puts changes back, ahead of those that have arrived in the meantime.
    pub(crate) fn requeue(&mut self, mut group: Vec<PendingChange>) {
        group.append(&mut self.pending);
        self.pending = group;
    }

    fn handle_message(&mut self, message: Option<ShardMessage>) {
        match message {
            Some(ShardMessage::Change(pending)) => self.pending.push(pending),
            Some(ShardMessage::Flush(reply)) => self.flushes.push(reply),
            None => self.is_open = false,
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let first = self.pending.iter().map(|pending| pending.due).min()?;
        let is_urgent = !self.is_open || !self.flushes.is_empty();
        Some(if is_urgent { Instant::now() } else { first })
    }

    fn complete_flushes(&mut self) {
        if self.pending.is_empty() {
            for reply in self.flushes.drain(..) {
                // Sending fails if the caller has stopped waiting.
                let _ = reply.send(());
            }
        }
    }
}
