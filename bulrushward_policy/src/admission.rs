//! Admission control for one backend server: load bound, queue, priorities and fair shares.

mod kinds;
mod settings;

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bulrushward_protocol::{AttemptId, RefusalReason, WorkUnits};

use self::kinds::{Kind, build_kinds, find_kind};
pub use self::settings::{AdmissionRequest, AdmissionSettings, Decision, KindSettings};
use crate::service_time::ServiceTimeEstimator;

/// Shortest retry delay that is given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest retry delay that is given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Retry delay that is given to a refused caller while no service time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted attempt.
#[derive(Debug)]
struct Entry {
    kind: usize,
    /// Estimated work at submission.
    estimated_work: WorkUnits,
    /// Estimated work that remains to be done.
    remaining: WorkUnits,
    deadline: Instant,
    /// When the attempt started; `None` while it waits.
    started: Option<Instant>,
}

/// Admits, queues or refuses attempts at one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    /// Kinds of work, highest priority first; the last is for kinds without settings.
    kinds: Vec<Kind>,
    entries: HashMap<AttemptId, Entry>,
    /// Attempts that expired while other attempts were started, for the next [`Self::expire`].
    expired: VecDeque<AttemptId>,
    service_time: ServiceTimeEstimator,
    load: WorkUnits,
    draining: bool,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        let kinds = build_kinds(&settings);
        Self {
            settings,
            kinds,
            entries: HashMap::new(),
            expired: VecDeque::new(),
            service_time: ServiceTimeEstimator::default(),
            load: 0,
            draining: false,
        }
    }

    /// Replaces the settings, keeps all admitted attempts and returns those that start now.
    pub fn reconfigure(&mut self, settings: AdmissionSettings, now: Instant) -> Vec<AttemptId> {
        let mut old = std::mem::replace(&mut self.kinds, build_kinds(&settings));
        self.settings = settings;
        let new_index: Vec<usize> = old
            .iter()
            .map(|kind| find_kind(&self.kinds, &kind.settings.name))
            .collect();
        for entry in self.entries.values_mut() {
            entry.kind = new_index[entry.kind];
            self.kinds[entry.kind].running += usize::from(entry.started.is_some());
        }
        for (kind, index) in old.iter_mut().zip(new_index) {
            self.kinds[index].queue.append(&mut kind.queue);
        }
        self.start_waiting(now)
    }

    /// Decides whether a new attempt starts, waits or is refused.
    ///
    /// `mean` is the mean load of the service's backend servers, including the work of the attempt.
    pub fn submit(&mut self, request: &AdmissionRequest, mean: f64, now: Instant) -> Decision {
        if self.draining {
            return self.refuse(RefusalReason::Draining, MIN_RETRY_AFTER);
        }
        if self.entries.contains_key(&request.attempt) {
            return self.refuse(RefusalReason::Duplicate, MIN_RETRY_AFTER);
        }
        if !self.settings.bound.admits(self.load, request.work, mean) {
            return self.refuse_over_bound(request.work, mean);
        }
        let kind = find_kind(&self.kinds, &request.kind);
        let deadline = request
            .deadline
            .min(now + self.kinds[kind].settings.deadline);
        let starts_now = self.kinds[kind].queue.is_empty() && self.has_free_slot(kind);
        let estimated_wait = if starts_now {
            Duration::ZERO
        } else {
            self.estimated_wait(kind, request)
        };
        let end = now + estimated_wait + self.service_time.estimate(request.work as f64);
        if end > deadline || now >= deadline {
            return self.refuse(
                RefusalReason::Deadline,
                end.duration_since(deadline.min(end)),
            );
        }
        if !starts_now && !self.has_queue_slot(kind, request, mean) {
            return self.refuse(RefusalReason::QueueFull, self.time_to_next_free_slot());
        }
        self.admit(request, kind, deadline, starts_now.then_some(now))
    }

    /// Removes an attempt whose response is complete and returns those that start now.
    ///
    /// Waiting attempts that can no longer meet their deadline are returned by [`Self::expire`].
    pub fn finish(&mut self, attempt: AttemptId, now: Instant) -> Vec<AttemptId> {
        if let Some(entry) = self.entries.get(&attempt)
            && let Some(started) = entry.started
        {
            self.service_time
                .record(entry.estimated_work, now.saturating_duration_since(started));
        }
        self.cancel(attempt, now)
    }

    /// Removes an attempt that failed or was abandoned and returns those that start now.
    pub fn cancel(&mut self, attempt: AttemptId, now: Instant) -> Vec<AttemptId> {
        self.remove(attempt);
        self.start_waiting(now)
    }

    /// Removes and returns the waiting attempts that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<AttemptId> {
        self.drop_overdue(now);
        self.expired.drain(..).collect()
    }

    /// Reduces the remaining work of an attempt by the work that was done.
    pub fn progress(&mut self, attempt: AttemptId, units: WorkUnits) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        let done = units.min(entry.remaining);
        entry.remaining -= done;
        self.load -= done;
    }

    /// Refuses every new attempt from now on; admitted ones continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the remaining work of running and waiting attempts.
    #[must_use]
    pub fn load(&self) -> WorkUnits {
        self.load
    }

    /// Returns the number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.kinds.iter().map(|kind| kind.running).sum()
    }

    /// Returns the number of waiting attempts.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.kinds.iter().map(|kind| kind.queue.len()).sum()
    }

    fn admit(
        &mut self,
        request: &AdmissionRequest,
        kind: usize,
        deadline: Instant,
        started: Option<Instant>,
    ) -> Decision {
        self.load += request.work;
        let entry = Entry {
            kind,
            estimated_work: request.work,
            remaining: request.work,
            deadline,
            started,
        };
        self.entries.insert(request.attempt, entry);
        if started.is_some() {
            self.kinds[kind].running += 1;
            return Decision::Start;
        }
        let weight = self.weight(&request.organisation);
        let queue = &mut self.kinds[kind].queue;
        queue.push(
            &request.organisation,
            weight,
            request.attempt,
            request.work,
            (),
        );
        Decision::Queue
    }

    fn remove(&mut self, attempt: AttemptId) {
        let Some(entry) = self.entries.remove(&attempt) else {
            return;
        };
        self.load -= entry.remaining;
        let kind = &mut self.kinds[entry.kind];
        if entry.started.is_some() {
            kind.running -= 1;
        } else {
            kind.queue.remove(attempt);
        }
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AttemptId> {
        self.drop_overdue(now);
        let mut started = Vec::new();
        for kind in 0..self.kinds.len() {
            while self.has_free_slot(kind) {
                let Some(attempt) = self.kinds[kind].queue.pop() else {
                    break;
                };
                self.kinds[kind].running += 1;
                if let Some(entry) = self.entries.get_mut(&attempt) {
                    entry.started = Some(now);
                }
                started.push(attempt);
            }
        }
        started
    }

    fn drop_overdue(&mut self, now: Instant) {
        let mut overdue: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.started.is_none())
            .filter(|(_, entry)| {
                now + self.service_time.estimate(entry.remaining as f64) > entry.deadline
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        overdue.sort_unstable();
        for attempt in overdue {
            self.remove(attempt);
            self.expired.push_back(attempt);
        }
    }

    /// Returns whether a slot is free that is not reserved for another kind.
    fn has_free_slot(&self, kind: usize) -> bool {
        let free = self.settings.concurrency.saturating_sub(self.running());
        let reserved = self.reserved_for_others(kind, |other| {
            other.reserved_running.saturating_sub(other.running)
        });
        free > reserved
    }

    /// Returns whether an attempt may be queued.
    ///
    /// The queue must have a slot that is not reserved for another kind. If the organisation
    /// already has waiting attempts, it must leave at least as many slots and as much work to
    /// others as it uses.
    fn has_queue_slot(&self, kind: usize, request: &AdmissionRequest, mean: f64) -> bool {
        let free = self.settings.queue.saturating_sub(self.queued());
        let reserved = self.reserved_for_others(kind, |other| {
            other.reserved_queue.saturating_sub(other.queue.len())
        });
        if free <= reserved {
            return false;
        }
        let (count, work) = self
            .kinds
            .iter()
            .map(|kind| kind.queue.organisation_backlog(&request.organisation))
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let available_work = self
            .settings
            .bound
            .limit(mean)
            .saturating_sub(self.load + request.work);
        count == 0 || (count < free && work + request.work <= available_work)
    }

    fn reserved_for_others(&self, kind: usize, reserved: impl Fn(&Kind) -> usize) -> usize {
        self.kinds
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != kind)
            .map(|(_, other)| reserved(other))
            .sum()
    }

    /// Estimates how long a new attempt waits for a slot.
    fn estimated_wait(&self, kind: usize, request: &AdmissionRequest) -> Duration {
        let weight = self.weight(&request.organisation);
        let own = &self.kinds[kind];
        let same_kind_work = own
            .queue
            .work_ahead(&request.organisation, weight, request.work, &());
        let higher_priority_work = self.kinds[..kind].iter().map(|kind| kind.queue.work());
        let shared_wait = self.service_time.estimated_wait(
            self.remaining_work_by_slot(|_| true),
            same_kind_work + higher_priority_work.sum::<u64>() as f64,
        );
        let own_slots = self.remaining_work_by_slot(|other| other == kind);
        if own.reserved_running == 0 || own_slots.len() > own.reserved_running {
            return shared_wait;
        }
        shared_wait.min(self.service_time.estimated_wait(own_slots, same_kind_work))
    }

    fn remaining_work_by_slot(&self, of_kind: impl Fn(usize) -> bool) -> Vec<WorkUnits> {
        self.entries
            .values()
            .filter(|entry| entry.started.is_some() && of_kind(entry.kind))
            .map(|entry| entry.remaining)
            .collect()
    }

    fn time_to_next_free_slot(&self) -> Duration {
        let remaining = self.remaining_work_by_slot(|_| true);
        self.service_time
            .estimate(remaining.into_iter().min().unwrap_or_default() as f64)
    }

    fn weight(&self, organisation: &str) -> f64 {
        self.settings
            .weights
            .get(organisation)
            .copied()
            .unwrap_or(1.0)
    }

    fn refuse_over_bound(&self, work: WorkUnits, mean: f64) -> Decision {
        let limit = self.settings.bound.limit(mean);
        let excess = self.load.saturating_add(work).saturating_sub(limit);
        let slots = self.running().max(1);
        let retry_after = self.service_time.estimate(excess as f64 / slots as f64);
        self.refuse(RefusalReason::LoadBound, retry_after)
    }

    fn refuse(&self, reason: RefusalReason, retry_after: Duration) -> Decision {
        let retry_after = if self.service_time.is_known() || reason == RefusalReason::Draining {
            retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        } else {
            DEFAULT_RETRY_AFTER
        };
        Decision::Refuse {
            reason,
            retry_after,
        }
    }
}
