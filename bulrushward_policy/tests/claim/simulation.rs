//! Simulation of agents that share one claims record by compare-and-swap, in single steps.

use std::collections::{HashMap, HashSet};

use bulrushward_policy::claim::{ClaimChange, ClaimDecision, ClaimRecord};
use bulrushward_protocol::{ActionKey, AttemptId};

const LIMIT: usize = 100_000;

/// One step of the simulation; an index selects among the matching operations or writes, if any.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request reaches an agent; a second one for the same attempt is a late copy.
    Arrive {
        agent: usize,
        action: ActionKey,
        attempt: AttemptId,
    },
    /// A router asks an agent to bar an attempt.
    Bar {
        agent: usize,
        action: ActionKey,
        attempt: AttemptId,
    },
    /// An agent reads the record.
    Read(usize),
    /// An agent applies a change to its cached record and sends the write.
    Send(usize),
    /// A write reaches the service, and the response reaches the agent if it still waits.
    DeliverWrite(usize),
    /// An agent stops waiting for a response; the write may still arrive.
    LoseResponse(usize),
    /// An agent reads the record back to learn the result of a write without a response.
    ReadBack(usize),
    /// An agent abandons a claim whose result it does not know.
    Abandon(usize),
    /// The holder of a claim starts the action, possibly after a long pause.
    Start(usize),
    /// The holder of a claim releases it without starting the action.
    Release(usize),
    /// The action ends.
    Finish(usize),
    /// An agent restarts and loses its state; its writes in flight remain.
    Restart(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    InFlight,
    Unknown,
    Won,
    Started,
    Done,
}

#[derive(Clone, Debug)]
struct Operation {
    agent: usize,
    action: ActionKey,
    attempt: AttemptId,
    change: ClaimChange,
    stage: Stage,
}

#[derive(Debug)]
struct Write {
    operation: usize,
    expected: u64,
    record: ClaimRecord,
    decision: ClaimDecision,
}

/// Number of times that each outcome was reached.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    counts: HashMap<&'static str, u32>,
}

impl Coverage {
    const ALL: [&str; 8] = [
        "started",
        "finished",
        "released",
        "barred",
        "conflict",
        "read-back won",
        "late copy held",
        "abandoned",
    ];

    fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    pub fn add(&mut self, other: &Self) {
        for (name, n) in &other.counts {
            *self.counts.entry(name).or_default() += n;
        }
    }

    pub fn all_above(&self, minimum: u32) -> bool {
        Self::ALL
            .iter()
            .all(|name| self.counts.get(name).is_some_and(|n| *n > minimum))
    }
}

#[derive(Debug)]
pub struct Simulation {
    stored: ClaimRecord,
    version: u64,
    cached_records: Vec<(ClaimRecord, u64)>,
    operations: Vec<Operation>,
    writes: Vec<Write>,
    starts: Vec<(ActionKey, AttemptId)>,
    reported_not_run: HashSet<(ActionKey, AttemptId)>,
    next_nonce: u64,
    pub coverage: Coverage,
}

impl Simulation {
    pub fn new(agents: usize) -> Self {
        Self {
            stored: ClaimRecord::default(),
            version: 0,
            cached_records: vec![(ClaimRecord::default(), 0); agents],
            operations: Vec::new(),
            writes: Vec::new(),
            starts: Vec::new(),
            reported_not_run: HashSet::new(),
            next_nonce: 0,
            coverage: Coverage::default(),
        }
    }

    /// Describes the first violated invariant, if any.
    pub fn violation(&self) -> Option<String> {
        let mut started = HashSet::new();
        for (action, attempt) in &self.starts {
            if !started.insert(action) {
                return Some(format!("action {action} started twice"));
            }
            if self.reported_not_run.contains(&(*action, *attempt)) {
                return Some(format!(
                    "attempt {attempt} of action {action} started, but was reported as not run"
                ));
            }
        }
        None
    }

    pub fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Arrive {
                agent,
                action,
                attempt,
            } => {
                let nonce = self.next_nonce;
                self.next_nonce += 1;
                self.add_operation(agent, action, attempt, ClaimChange::Claim { nonce });
            }
            Step::Bar {
                agent,
                action,
                attempt,
            } => {
                self.add_operation(agent, action, attempt, ClaimChange::Bar);
            }
            Step::Read(agent) => self.read(agent),
            Step::Send(index) => self
                .pick(index, &[Stage::Waiting])
                .map_or((), |i| self.send(i)),
            Step::DeliverWrite(index) => self.deliver(index),
            Step::LoseResponse(index) => self.advance_stage(index, Stage::InFlight, Stage::Unknown),
            Step::ReadBack(index) => {
                if let Some(i) = self.pick(index, &[Stage::Unknown]) {
                    self.read(self.operations[i].agent);
                    self.operations[i].stage = Stage::Waiting;
                    self.send(i);
                    if self.operations[i].stage == Stage::Won {
                        self.coverage.count("read-back won");
                    }
                }
            }
            Step::Abandon(index) => {
                if let Some(i) = self.pick(index, &[Stage::Unknown]) {
                    self.release(i);
                    self.coverage.count("abandoned");
                }
            }
            Step::Start(index) => {
                if let Some(i) = self.pick(index, &[Stage::Won]) {
                    let operation = &mut self.operations[i];
                    operation.stage = Stage::Started;
                    self.starts.push((operation.action, operation.attempt));
                    self.coverage.count("started");
                }
            }
            Step::Release(index) => {
                if let Some(i) = self.pick(index, &[Stage::Won]) {
                    self.release(i);
                }
            }
            Step::Finish(index) => {
                if let Some(i) = self.pick(index, &[Stage::Started]) {
                    self.operations[i].change = ClaimChange::Finish;
                    self.operations[i].stage = Stage::Waiting;
                }
            }
            Step::Restart(agent) => {
                self.cached_records[agent] = (ClaimRecord::default(), 0);
                for operation in self.operations.iter_mut().filter(|o| o.agent == agent) {
                    operation.stage = Stage::Done;
                }
            }
        }
    }

    fn add_operation(
        &mut self,
        agent: usize,
        action: ActionKey,
        attempt: AttemptId,
        change: ClaimChange,
    ) {
        let stage = Stage::Waiting;
        self.operations.push(Operation {
            agent,
            action,
            attempt,
            change,
            stage,
        });
    }

    fn pick(&self, index: usize, stages: &[Stage]) -> Option<usize> {
        let matches = |i: &usize| stages.contains(&self.operations[*i].stage);
        let all: Vec<usize> = (0..self.operations.len()).filter(matches).collect();
        (!all.is_empty()).then(|| all[index % all.len()])
    }

    fn advance_stage(&mut self, index: usize, from: Stage, to: Stage) {
        if let Some(i) = self.pick(index, &[from]) {
            self.operations[i].stage = to;
        }
    }

    fn read(&mut self, agent: usize) {
        self.cached_records[agent] = (self.stored.clone(), self.version);
    }

    fn release(&mut self, i: usize) {
        let operation = &mut self.operations[i];
        if let ClaimChange::Claim { nonce } = operation.change {
            operation.change = ClaimChange::Release { nonce };
        }
        operation.stage = Stage::Waiting;
    }

    fn send(&mut self, i: usize) {
        let operation = &self.operations[i];
        let (mut record, expected) = self.cached_records[operation.agent].clone();
        let (action, attempt) = (operation.action, operation.attempt);
        let decision = record.apply(action, attempt, operation.change, LIMIT);
        if !record.take_changed() {
            return self.apply_decision(i, decision);
        }
        self.operations[i].stage = Stage::InFlight;
        self.writes.push(Write {
            operation: i,
            expected,
            record,
            decision,
        });
    }

    fn deliver(&mut self, index: usize) {
        if self.writes.is_empty() {
            return;
        }
        let write = self.writes.swap_remove(index % self.writes.len());
        let is_written = write.expected == self.version;
        if is_written {
            self.stored = write.record;
            self.version += 1;
        }
        let operation = &mut self.operations[write.operation];
        if operation.stage != Stage::InFlight {
            return;
        }
        let agent = operation.agent;
        if is_written {
            self.apply_decision(write.operation, write.decision);
        } else {
            operation.stage = Stage::Waiting;
            self.coverage.count("conflict");
        }
        self.read(agent);
    }

    fn apply_decision(&mut self, i: usize, decision: ClaimDecision) {
        let operation = &mut self.operations[i];
        let attempt = operation.attempt;
        operation.stage = match decision {
            ClaimDecision::Won => Stage::Won,
            _ => Stage::Done,
        };
        match (operation.change, decision) {
            (_, ClaimDecision::Barred) => {
                self.reported_not_run.insert((operation.action, attempt));
                let released = matches!(operation.change, ClaimChange::Release { .. });
                self.coverage
                    .count(if released { "released" } else { "barred" });
            }
            (ClaimChange::Claim { .. }, ClaimDecision::Held { holder }) if holder == attempt => {
                self.coverage.count("late copy held");
            }
            (ClaimChange::Finish, _) => self.coverage.count("finished"),
            _ => {}
        }
    }
}
