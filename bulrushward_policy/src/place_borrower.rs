//! Asks of one router for lent places, until each is granted, refused or given up.
//!
//! Handles: lost and late messages, and a lender that crashes, stops or is cut off while requests wait.

use std::{
    collections::{BTreeMap, HashMap},
    hash::Hash,
    time::{Duration, Instant},
};

use crate::place_lender::{Answer, AskId};

/// Time after which an ask without an answer is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(30);
/// Number of asks without an answer after which a lender counts as silent.
const MAX_UNANSWERED: u32 = 3;
/// Time after which an ask that waits in the line is sent again, as a sign that the request still waits.
const WAITING_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a silent lender is not asked.
const SILENCE_TIME: Duration = Duration::from_secs(10);
/// Largest number of lenders whose silence is remembered.
const MAX_SILENT: usize = 64;

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BorrowEnd {
    /// The lender granted or refused it.
    Answered(Answer),
    /// There is no lender or it is silent, so that the router decides by itself.
    NoLender,
}

/// What a router has to do for an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BorrowStep<L> {
    /// Send it once more.
    Send {
        /// Lender.
        to: L,
        /// Ask.
        id: AskId,
    },
    /// Continue the request.
    End {
        /// Ask.
        id: AskId,
        /// How it ended.
        end: BorrowEnd,
    },
}

#[derive(Clone, Copy, Debug)]
struct PendingAsk<L> {
    lender: L,
    /// Lender that is asked if this one is silent.
    next_lender: Option<L>,
    /// Number of asks sent since the last answer.
    unanswered: u32,
    /// Time at which the first of these was sent.
    asked: Instant,
    next: Instant,
}

/// Asks of one router that are neither granted nor refused yet.
#[derive(Debug)]
pub struct PlaceBorrower<L> {
    pending: BTreeMap<AskId, PendingAsk<L>>,
    /// Lenders that did not answer, with the time until which they are not asked.
    silent: HashMap<L, Instant>,
    /// Time of a lender's last message.
    heard: HashMap<L, Instant>,
}

impl<L> Default for PlaceBorrower<L> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            silent: HashMap::new(),
            heard: HashMap::new(),
        }
    }
}

impl<L: Copy + Eq + Hash> PlaceBorrower<L> {
    /// Begins an ask and returns the lender to send it to: the first of `lenders` that is not silent.
    ///
    /// `lenders` are in the order that all routers share; if all are silent, there is no lender.
    pub fn begin(&mut self, id: AskId, lenders: &[L], now: Instant) -> Option<L> {
        self.silent.retain(|_, until| now < *until);
        let mut heard = lenders
            .iter()
            .filter(|lender| !self.silent.contains_key(lender));
        let lender = *heard.next()?;
        let pending = PendingAsk {
            lender,
            next_lender: heard.next().copied(),
            unanswered: 1,
            asked: now,
            next: now + REPEAT_INTERVAL,
        };
        self.pending.insert(id, pending);
        Some(lender)
    }

    /// Records an answer; returns how the ask ended, or `None` if it still waits or is not known.
    pub fn receive(
        &mut self,
        from: L,
        id: AskId,
        answer: Answer,
        now: Instant,
    ) -> Option<BorrowEnd> {
        self.record_heard(from, now);
        let pending = self.pending.get_mut(&id)?;
        if answer == Answer::Waiting {
            pending.unanswered = 0;
            pending.next = now + WAITING_INTERVAL;
            return None;
        }
        self.pending.remove(&id);
        Some(BorrowEnd::Answered(answer))
    }

    /// Records a message of a lender.
    pub fn record_heard(&mut self, from: L, now: Instant) {
        self.silent.remove(&from);
        if self.heard.len() >= MAX_SILENT && !self.heard.contains_key(&from) {
            self.heard.clear();
        }
        self.heard.insert(from, now);
    }

    /// Removes an ask whose caller has left; returns the lender to notify.
    pub fn withdraw(&mut self, id: AskId) -> Option<L> {
        self.pending.remove(&id).map(|pending| pending.lender)
    }

    /// Returns what is due.
    pub fn poll(&mut self, now: Instant) -> Vec<BorrowStep<L>> {
        let mut steps = Vec::new();
        let mut ended = Vec::new();
        for (id, pending) in &mut self.pending {
            if now < pending.next {
                continue;
            }
            if pending.unanswered >= MAX_UNANSWERED {
                // Single messages are lost; a lender that answers others is not silent.
                let heard = self.heard.get(&pending.lender);
                let is_silent = heard.is_none_or(|at| *at <= pending.asked);
                if is_silent && self.silent.len() < MAX_SILENT {
                    self.silent.insert(pending.lender, now + SILENCE_TIME);
                }
                let Some(next) = pending.next_lender.take() else {
                    ended.push(*id);
                    continue;
                };
                pending.lender = next;
                pending.unanswered = 0;
            }
            if pending.unanswered == 0 {
                pending.asked = now;
            }
            pending.unanswered += 1;
            pending.next = now + REPEAT_INTERVAL;
            steps.push(BorrowStep::Send {
                to: pending.lender,
                id: *id,
            });
        }
        for id in ended {
            self.pending.remove(&id);
            steps.push(BorrowStep::End {
                id,
                end: BorrowEnd::NoLender,
            });
        }
        steps
    }

    /// Returns the time of the next call of [`Self::poll`].
    #[must_use]
    pub fn next_poll(&self) -> Option<Instant> {
        self.pending.values().map(|pending| pending.next).min()
    }

    /// Returns the number of asks that wait for an answer.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }
}
