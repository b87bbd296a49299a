//! Admission of attempts at one backend server: load bound, queue, priorities and fair shares.

mod kinds;
mod settings;

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bulrushward_protocol::{AttemptId, RefusalReason, WorkUnits};

use self::kinds::{Kind, build_kinds, find_kind};
pub use self::settings::{AdmissionRequest, AdmissionSettings, Decision, KindSettings};
use crate::service_rate::ServiceRate;

/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Time after which a refused caller is asked to come back while no service time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An admitted attempt.
#[derive(Debug)]
struct Entry {
    kind: usize,
    /// Estimated work at the offer.
    total: WorkUnits,
    /// Estimated work that is left.
    left: WorkUnits,
    deadline: Instant,
    /// When it started; `None` while it waits.
    started: Option<Instant>,
}

/// Admits, queues and refuses the attempts of one backend server.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    /// Highest priority first; the last one takes the kinds without settings.
    kinds: Vec<Kind>,
    entries: HashMap<AttemptId, Entry>,
    /// Attempts that were dropped at a start and are reported by the next [`Self::expire`].
    expired: VecDeque<AttemptId>,
    rate: ServiceRate,
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
            rate: ServiceRate::default(),
            load: 0,
            draining: false,
        }
    }

    /// Replaces the settings, keeps all admitted attempts and returns those to start now.
    pub fn reconfigure(&mut self, settings: AdmissionSettings, now: Instant) -> Vec<AttemptId> {
        let mut old = std::mem::replace(&mut self.kinds, build_kinds(&settings));
        self.settings = settings;
        let moved: Vec<usize> = old
            .iter()
            .map(|kind| find_kind(&self.kinds, &kind.settings.name))
            .collect();
        for entry in self.entries.values_mut() {
            entry.kind = moved[entry.kind];
            self.kinds[entry.kind].running += usize::from(entry.started.is_some());
        }
        for (kind, index) in old.iter_mut().zip(moved) {
            self.kinds[index].queue.append(&mut kind.queue);
        }
        self.start_waiting(now)
    }

    /// Decides about a new attempt.
    ///
    /// `mean` is the mean load of the service's backend servers, the work of the attempt included.
    pub fn submit(&mut self, request: &AdmissionRequest, mean: f64, now: Instant) -> Decision {
        if self.draining {
            return self.refuse(RefusalReason::Draining, MIN_RETRY_AFTER);
        }
        if self.entries.contains_key(&request.attempt) {
            return self.refuse(RefusalReason::Duplicate, MIN_RETRY_AFTER);
        }
        if !self.settings.bound.admits(self.load, request.work, mean) {
            return self.refuse_load(request.work, mean);
        }
        let kind = find_kind(&self.kinds, &request.kind);
        let deadline = request
            .deadline
            .min(now + self.kinds[kind].settings.deadline);
        let starts = self.kinds[kind].queue.is_empty() && self.has_place(kind);
        let wait = if starts {
            Duration::ZERO
        } else {
            self.wait(kind, request)
        };
        let end = now + wait + self.rate.time_for(request.work as f64);
        if end > deadline || now >= deadline {
            return self.refuse(
                RefusalReason::Deadline,
                end.duration_since(deadline.min(end)),
            );
        }
        if !starts && !self.has_queue_place(kind, request, mean) {
            return self.refuse(RefusalReason::QueueFull, self.next_place());
        }
        self.admit(request, kind, deadline, starts.then_some(now))
    }

    /// Takes out an attempt whose answer is whole and returns those to start now.
    ///
    /// Waiting attempts that turn out too late are left to [`Self::expire`].
    pub fn finish(&mut self, attempt: AttemptId, now: Instant) -> Vec<AttemptId> {
        if let Some(entry) = self.entries.get(&attempt)
            && let Some(started) = entry.started
        {
            self.rate
                .record(entry.total, now.saturating_duration_since(started));
        }
        self.cancel(attempt, now)
    }

    /// Takes out an attempt that was given up or failed and returns those to start now.
    pub fn cancel(&mut self, attempt: AttemptId, now: Instant) -> Vec<AttemptId> {
        self.remove(attempt);
        self.start_waiting(now)
    }

    /// Takes out the waiting attempts that can no longer make their deadline and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<AttemptId> {
        self.drop_late(now);
        self.expired.drain(..).collect()
    }

    /// Reduces the outstanding work of an attempt by work that is done.
    pub fn progress(&mut self, attempt: AttemptId, units: WorkUnits) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        let done = units.min(entry.left);
        entry.left -= done;
        self.load -= done;
    }

    /// Refuses every new attempt from now on; admitted ones go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the running and waiting work.
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
            total: request.work,
            left: request.work,
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
        queue.push(&request.organisation, weight, request.attempt, request.work);
        Decision::Queue
    }

    fn remove(&mut self, attempt: AttemptId) {
        let Some(entry) = self.entries.remove(&attempt) else {
            return;
        };
        self.load -= entry.left;
        let kind = &mut self.kinds[entry.kind];
        if entry.started.is_some() {
            kind.running -= 1;
        } else {
            kind.queue.remove(attempt);
        }
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AttemptId> {
        self.drop_late(now);
        let mut started = Vec::new();
        for kind in 0..self.kinds.len() {
            while self.has_place(kind) {
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

    fn drop_late(&mut self, now: Instant) {
        let mut late: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.started.is_none())
            .filter(|(_, entry)| now + self.rate.time_for(entry.left as f64) > entry.deadline)
            .map(|(attempt, _)| *attempt)
            .collect();
        late.sort_unstable();
        for attempt in late {
            self.remove(attempt);
            self.expired.push_back(attempt);
        }
    }

    /// Returns whether an attempt of a kind may run now, leaving the places of other kinds.
    fn has_place(&self, kind: usize) -> bool {
        let free = self.settings.concurrency.saturating_sub(self.running());
        let kept = self.kept_for_others(kind, |other| {
            other.reserved_running.saturating_sub(other.running)
        });
        free > kept
    }

    /// Returns whether an attempt may wait: the queue has a place that is not kept for another
    /// kind, and the organisation leaves as much room to others as it takes itself.
    fn has_queue_place(&self, kind: usize, request: &AdmissionRequest, mean: f64) -> bool {
        let free = self.settings.queue.saturating_sub(self.queued());
        let kept = self.kept_for_others(kind, |other| {
            other.reserved_queue.saturating_sub(other.queue.len())
        });
        if free <= kept {
            return false;
        }
        let (count, work) = self
            .kinds
            .iter()
            .map(|kind| kind.queue.of(&request.organisation))
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let room = self
            .settings
            .bound
            .limit(mean)
            .saturating_sub(self.load + request.work);
        count == 0 || (count < free && work + request.work <= room)
    }

    fn kept_for_others(&self, kind: usize, kept: impl Fn(&Kind) -> usize) -> usize {
        self.kinds
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != kind)
            .map(|(_, other)| kept(other))
            .sum()
    }

    /// Estimates the wait of a new attempt for its place.
    fn wait(&self, kind: usize, request: &AdmissionRequest) -> Duration {
        let weight = self.weight(&request.organisation);
        let own = &self.kinds[kind];
        let fair = own.queue.ahead(&request.organisation, weight, request.work);
        let before = self.kinds[..kind].iter().map(|kind| kind.queue.work());
        let shared = self.rate.wait(
            self.left_on_places(|_| true),
            fair + before.sum::<u64>() as f64,
        );
        let places = self.left_on_places(|other| other == kind);
        if own.reserved_running == 0 || places.len() > own.reserved_running {
            return shared;
        }
        shared.min(self.rate.wait(places, fair))
    }

    fn left_on_places(&self, of_kind: impl Fn(usize) -> bool) -> Vec<WorkUnits> {
        self.entries
            .values()
            .filter(|entry| entry.started.is_some() && of_kind(entry.kind))
            .map(|entry| entry.left)
            .collect()
    }

    fn next_place(&self) -> Duration {
        let left = self.left_on_places(|_| true);
        self.rate
            .time_for(left.into_iter().min().unwrap_or_default() as f64)
    }

    fn weight(&self, organisation: &str) -> f64 {
        self.settings
            .weights
            .get(organisation)
            .copied()
            .unwrap_or(1.0)
    }

    fn refuse_load(&self, work: WorkUnits, mean: f64) -> Decision {
        let limit = self.settings.bound.limit(mean);
        let excess = self.load.saturating_add(work).saturating_sub(limit);
        let places = self.running().max(1);
        let retry_after = self.rate.time_for(excess as f64 / places as f64);
        self.refuse(RefusalReason::LoadBound, retry_after)
    }

    fn refuse(&self, reason: RefusalReason, retry_after: Duration) -> Decision {
        let retry_after = if self.rate.is_known() || reason == RefusalReason::Draining {
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
