//! Admission control keeps the load bound, the reserved slots and the shares of organisations.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionRequest, AdmissionSettings, Decision, KindSettings},
    load_bound::LoadBound,
};
use bulrushward_protocol::{AttemptId, RefusalReason, WorkUnits};
use proptest::{prelude::*, test_runner::RngSeed};

const LONG_DEADLINE: Duration = Duration::from_hours(1);

fn kind(name: &str, priority: u8, reserved_share: f64) -> KindSettings {
    KindSettings {
        name: name.to_owned(),
        priority,
        reserved_share,
        deadline: LONG_DEADLINE,
    }
}

fn settings(concurrency: usize, queue: usize, floor: WorkUnits) -> AdmissionSettings {
    AdmissionSettings {
        concurrency,
        queue,
        bound: LoadBound {
            multiple: 1.25,
            floor,
        },
        kinds: vec![kind("quick", 9, 0.0), kind("long", 1, 0.25)],
        weights: HashMap::new(),
    }
}

fn request(
    attempt: AttemptId,
    organisation: &str,
    kind: &str,
    work: WorkUnits,
    now: Instant,
) -> AdmissionRequest {
    AdmissionRequest {
        attempt,
        organisation: organisation.to_owned(),
        kind: kind.to_owned(),
        work,
        deadline: now + LONG_DEADLINE,
    }
}

fn reason(decision: Decision) -> Option<RefusalReason> {
    match decision {
        Decision::Refuse { reason, .. } => Some(reason),
        Decision::Start | Decision::Queue => None,
    }
}

#[derive(Clone, Debug)]
enum Event {
    Submit {
        organisation: u8,
        kind: u8,
        work: WorkUnits,
        mean: u64,
    },
    Finish(usize),
    Cancel(usize),
    Progress(usize, WorkUnits),
    Expire,
    AdvanceTime(u64),
    SetConcurrency(usize),
    Drain,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..4_u8, 0..3_u8, 1..900_u64, 0..4_000_u64).prop_map(
            |(organisation, kind, work, mean)| Event::Submit { organisation, kind, work, mean }
        ),
        4 => any::<usize>().prop_map(Event::Finish),
        1 => any::<usize>().prop_map(Event::Cancel),
        2 => (any::<usize>(), 1..500_u64).prop_map(|(index, units)| Event::Progress(index, units)),
        1 => Just(Event::Expire),
        3 => (1..30_000_u64).prop_map(Event::AdvanceTime),
        1 => (1..9_usize).prop_map(Event::SetConcurrency),
        1 => prop_oneof![30 => Just(Event::Expire), 1 => Just(Event::Drain)],
    ]
}

/// Expected state of an admitted attempt.
#[derive(Debug)]
struct ModelEntry {
    kind: &'static str,
    remaining: WorkUnits,
    started: bool,
}

/// Reference model of the queue, updated from its decisions.
#[derive(Debug, Default)]
struct Model {
    attempts: BTreeMap<AttemptId, ModelEntry>,
}

impl Model {
    fn start(&mut self, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            let entry = self
                .attempts
                .get_mut(&attempt)
                .expect("the started attempt was admitted");
            assert!(!entry.started, "attempt {attempt} started twice");
            entry.started = true;
        }
    }

    fn pick(&self, index: usize, started: bool) -> Option<AttemptId> {
        let all: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, entry)| entry.started || !started)
            .collect();
        (!all.is_empty()).then(|| *all[index % all.len()].0)
    }

    fn running(&self, predicate: impl Fn(&ModelEntry) -> bool) -> usize {
        self.attempts
            .values()
            .filter(|entry| entry.started && predicate(entry))
            .count()
    }

    fn load(&self) -> WorkUnits {
        self.attempts.values().map(|entry| entry.remaining).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bound_slots_and_counts_hold_under_any_interleaving(
        events in proptest::collection::vec(event(), 1..120),
    ) {
        let mut now = Instant::now();
        let mut settings = settings(4, 8, 1_000);
        let mut queue = AdmissionQueue::new(settings.clone());
        let mut model = Model::default();
        let mut drained = false;
        for (index, event) in events.into_iter().enumerate() {
            let id = index as AttemptId;
            match event {
                Event::Submit { organisation, kind, work, mean } => {
                    let kind = ["quick", "long", "other"][usize::from(kind)];
                    let request = request(id, &format!("org-{organisation}"), kind, work, now);
                    let decision = queue.submit(&request, mean as f64, now);
                    if reason(decision).is_none() {
                        prop_assert!(!drained, "admitted while draining");
                        let limit = 1_000.max((1.25 * mean as f64).ceil() as u64);
                        prop_assert!(queue.load() <= limit, "{} above {limit}", queue.load());
                        let started = decision == Decision::Start;
                        model.attempts.insert(id, ModelEntry { kind, remaining: work, started });
                        if started {
                            let slots = settings.concurrency;
                            prop_assert!(model.running(|_| true) <= slots);
                            let reserved = slots / 4;
                            prop_assert!(
                                model.running(|entry| entry.kind != "long") <= slots - reserved,
                                "a reserved slot was taken"
                            );
                        }
                    }
                }
                Event::Finish(index) | Event::Cancel(index) => {
                    if let Some(attempt) = model.pick(index, matches!(event, Event::Finish(_))) {
                        model.attempts.remove(&attempt);
                        model.start(queue.finish(attempt, now));
                    }
                }
                Event::Progress(index, units) => {
                    if let Some(attempt) = model.pick(index, true) {
                        queue.progress(attempt, units);
                        let entry = model.attempts.get_mut(&attempt).expect("the attempt was picked from the model");
                        entry.remaining = entry.remaining.saturating_sub(units);
                    }
                }
                Event::Expire => {}
                Event::AdvanceTime(ms) => now += Duration::from_millis(ms),
                Event::SetConcurrency(slots) => {
                    settings.concurrency = slots;
                    model.start(queue.reconfigure(settings.clone(), now));
                }
                Event::Drain => {
                    drained = true;
                    queue.drain();
                }
            }
            for attempt in queue.expire(now) {
                let entry = model.attempts.remove(&attempt).expect("the expired attempt was admitted");
                prop_assert!(!entry.started, "a running attempt expired");
            }
            prop_assert_eq!(queue.load(), model.load());
            prop_assert_eq!(queue.running(), model.running(|_| true));
            prop_assert_eq!(queue.queued(), model.attempts.len() - queue.running());
            prop_assert!(queue.queued() <= settings.queue);
        }
        // No admitted attempt is lost: as running attempts end, all waiting ones start or expire.
        while let Some(attempt) = model.attempts.iter().find(|(_, entry)| entry.started).map(|(id, _)| *id) {
            model.attempts.remove(&attempt);
            model.start(queue.cancel(attempt, now));
        }
        for attempt in queue.expire(now) {
            model.attempts.remove(&attempt);
        }
        prop_assert!(model.attempts.is_empty(), "still waiting: {:?}", model.attempts);
    }
}

#[test]
fn a_surge_of_one_organisation_delays_only_itself() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(settings(2, 16, 1_000_000));
    let mut running = Vec::new();
    let mut refused = 0;
    for id in 0..100 {
        match queue.submit(&request(id, "surging", "quick", 100, now), 0.0, now) {
            Decision::Start => running.push(id),
            Decision::Queue => {}
            Decision::Refuse { reason, .. } => {
                assert_eq!(reason, RefusalReason::QueueFull);
                refused += 1;
            }
        }
    }
    assert!(
        refused >= 90,
        "only {refused} attempts of the surge were refused"
    );
    let calm = request(1_000, "calm", "quick", 100, now);
    assert_eq!(queue.submit(&calm, 0.0, now), Decision::Queue);
    let first = queue.finish(running[0], now);
    let second = queue.finish(running[1], now);
    let next: Vec<AttemptId> = first.into_iter().chain(second).collect();
    assert!(
        next.contains(&1_000),
        "{next:?} started before the attempt of the other organisation"
    );
}

#[test]
fn weights_set_the_shares_of_competing_organisations() {
    let now = Instant::now();
    let mut settings = settings(1, 4_000, 10_000_000);
    settings.weights.insert("heavy".to_owned(), 3.0);
    let mut queue = AdmissionQueue::new(settings);
    queue.submit(&request(0, "light", "quick", 1, now), 0.0, now);
    for id in 0..800 {
        let work = 50 + (id * 37 % 400) as WorkUnits;
        queue.submit(&request(1 + 2 * id, "heavy", "quick", work, now), 0.0, now);
        queue.submit(&request(2 + 2 * id, "light", "quick", work, now), 0.0, now);
    }
    let mut last = 0;
    let mut heavy = 0;
    for _ in 0..400 {
        last = queue.finish(last, now)[0];
        heavy += u32::from(last % 2 == 1);
    }
    assert!(
        (285..=315).contains(&heavy),
        "{heavy} of 400 starts were of the heavier organisation"
    );
}

#[test]
fn the_higher_priority_starts_first_and_a_reserved_slot_is_kept() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(settings(4, 16, 1_000_000));
    let submit = |queue: &mut AdmissionQueue, id, kind| {
        queue.submit(&request(id, "one", kind, 10, now), 0.0, now)
    };
    for id in 0..3 {
        assert_eq!(submit(&mut queue, id, "quick"), Decision::Start);
    }
    assert_eq!(submit(&mut queue, 3, "quick"), Decision::Queue);
    assert_eq!(submit(&mut queue, 4, "long"), Decision::Start);
    assert_eq!(submit(&mut queue, 5, "long"), Decision::Queue);
    assert_eq!(queue.finish(0, now), vec![3]);
    assert_eq!(queue.finish(4, now), vec![5]);
}

#[test]
fn an_attempt_that_cannot_meet_its_deadline_is_refused_immediately() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(settings(4, 16, 1_000_000));
    queue.submit(&request(0, "one", "quick", 100, start), 0.0, start);
    // One unit takes 10 ms.
    let now = start + Duration::from_secs(1);
    queue.finish(0, now);
    let within = |id, ms| AdmissionRequest {
        deadline: now + Duration::from_millis(ms),
        ..request(id, "one", "quick", 100, now)
    };
    let refused = queue.submit(&within(1, 900), 0.0, now);
    assert_eq!(reason(refused), Some(RefusalReason::Deadline));
    for id in 2..5 {
        assert_eq!(queue.submit(&within(id, 1_100), 0.0, now), Decision::Start);
    }
    // The attempt would start after 1 s and end after 2 s.
    let refused = queue.submit(&within(5, 1_900), 0.0, now);
    assert_eq!(reason(refused), Some(RefusalReason::Deadline));
    assert_eq!(queue.submit(&within(6, 2_100), 0.0, now), Decision::Queue);
    assert_eq!(
        queue.expire(now + Duration::from_secs(1)),
        Vec::<AttemptId>::new()
    );
    assert_eq!(queue.expire(now + Duration::from_millis(1_200)), vec![6]);
    assert_eq!(queue.queued(), 0);
}

#[test]
fn a_draining_queue_refuses_new_attempts_and_keeps_admitted_ones() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(settings(1, 4, 1_000));
    queue.submit(&request(0, "one", "quick", 10, now), 0.0, now);
    queue.submit(&request(1, "one", "quick", 10, now), 0.0, now);
    queue.drain();
    let refused = queue.submit(&request(2, "one", "quick", 10, now), 0.0, now);
    assert_eq!(reason(refused), Some(RefusalReason::Draining));
    assert_eq!(queue.finish(0, now), vec![1]);
}

#[test]
fn queue_slots_are_bounded_and_some_are_reserved_for_long_work() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(settings(1, 16, 1_000_000));
    let submit = |queue: &mut AdmissionQueue, id: AttemptId, kind| {
        queue.submit(&request(id, &format!("org-{id}"), kind, 10, now), 0.0, now)
    };
    assert_eq!(submit(&mut queue, 0, "quick"), Decision::Start);
    for id in 1..=12 {
        assert_eq!(submit(&mut queue, id, "quick"), Decision::Queue);
    }
    let refused = submit(&mut queue, 13, "quick");
    assert_eq!(reason(refused), Some(RefusalReason::QueueFull));
    for id in 14..18 {
        assert_eq!(submit(&mut queue, id, "long"), Decision::Queue);
    }
    let refused = submit(&mut queue, 18, "long");
    assert_eq!(reason(refused), Some(RefusalReason::QueueFull));
}
