//! Weighted deficit round robin among the organisations of one kind of work.

use std::collections::VecDeque;

use bulrushward_protocol::{AttemptId, OrganisationId, WorkUnits};

/// Work units that an organisation of weight 1 gains in a round; fewer than most attempts need, so
/// that organisations alternate.
const QUANTUM: f64 = 16.0;
/// Lowest effective weight, so that no organisation starves.
const MIN_WEIGHT: f64 = 0.01;

/// Waiting attempts, with one queue per organisation.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: VecDeque<Flow>,
    count: usize,
}

/// The waiting attempts of one organisation.
#[derive(Debug)]
struct Flow {
    organisation: OrganisationId,
    weight: f64,
    deficit: f64,
    waiting: VecDeque<(AttemptId, WorkUnits)>,
}

impl Flow {
    fn quantum(&self) -> f64 {
        QUANTUM * self.weight
    }

    fn work(&self) -> WorkUnits {
        self.waiting.iter().map(|(_, work)| work).sum()
    }

    /// Returns the deficit that is still missing to start the first attempt.
    fn missing_deficit(&self) -> f64 {
        let head = self.waiting.front().map_or(0, |(_, work)| *work);
        head as f64 - self.deficit
    }
}

impl FairQueue {
    /// Returns the number of waiting attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no attempt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the waiting work of all organisations.
    #[must_use]
    pub fn work(&self) -> WorkUnits {
        self.flows.iter().map(Flow::work).sum()
    }

    /// Returns the number of waiting attempts of an organisation and their total work.
    #[must_use]
    pub fn organisation_backlog(&self, organisation: &str) -> (usize, WorkUnits) {
        self.flows
            .iter()
            .find(|flow| flow.organisation == organisation)
            .map_or((0, 0), |flow| (flow.waiting.len(), flow.work()))
    }

    /// Estimates the work that starts before a new attempt of an organisation.
    #[must_use]
    pub fn work_ahead(&self, organisation: &str, weight: f64, work: WorkUnits) -> f64 {
        let (_, own_work) = self.organisation_backlog(organisation);
        let share = (own_work + work) as f64 / weight.max(MIN_WEIGHT);
        let others = self
            .flows
            .iter()
            .filter(|flow| flow.organisation != organisation)
            .map(|flow| (flow.work() as f64).min(share * flow.weight));
        own_work as f64 + others.sum::<f64>()
    }

    /// Appends an attempt to the queue of its organisation.
    pub fn push(
        &mut self,
        organisation: &OrganisationId,
        weight: f64,
        id: AttemptId,
        work: WorkUnits,
    ) {
        self.count += 1;
        let weight = weight.max(MIN_WEIGHT);
        let known = self
            .flows
            .iter_mut()
            .find(|flow| flow.organisation == *organisation);
        if let Some(flow) = known {
            flow.weight = weight;
            flow.waiting.push_back((id, work));
            return;
        }
        self.flows.push_back(Flow {
            organisation: organisation.clone(),
            weight,
            deficit: 0.0,
            waiting: VecDeque::from([(id, work)]),
        });
    }

    /// Moves all attempts of another queue into this one.
    pub fn append(&mut self, other: &mut Self) {
        for flow in other.flows.drain(..) {
            for (id, work) in flow.waiting {
                self.push(&flow.organisation, flow.weight, id, work);
            }
        }
        other.count = 0;
    }

    /// Removes and returns the attempt that starts next.
    pub fn pop(&mut self) -> Option<AttemptId> {
        self.skip_idle_rounds();
        for _ in 0..=self.flows.len() {
            let flow = self.flows.front_mut()?;
            if flow.missing_deficit() <= 0.0 {
                return self.pop_front();
            }
            flow.deficit += flow.quantum();
            self.flows.rotate_left(1);
        }
        self.pop_front()
    }

    /// Removes an attempt from any position; returns whether it was waiting.
    pub fn remove(&mut self, id: AttemptId) -> bool {
        let before = self.count;
        for flow in &mut self.flows {
            flow.waiting.retain(|(waiting, _)| *waiting != id);
        }
        self.flows.retain(|flow| !flow.waiting.is_empty());
        self.count = self.flows.iter().map(|flow| flow.waiting.len()).sum();
        before != self.count
    }

    /// Grants at once the quanta of all rounds in which no attempt could start.
    fn skip_idle_rounds(&mut self) {
        let rounds = self
            .flows
            .iter()
            .map(|flow| (flow.missing_deficit() / flow.quantum()).ceil())
            .fold(f64::INFINITY, f64::min);
        if !rounds.is_finite() || rounds <= 1.0 {
            return;
        }
        for flow in &mut self.flows {
            flow.deficit += (rounds - 1.0) * flow.quantum();
        }
    }

    fn pop_front(&mut self) -> Option<AttemptId> {
        let flow = self.flows.front_mut()?;
        let (id, work) = flow.waiting.pop_front()?;
        self.count -= 1;
        flow.deficit -= work as f64;
        if flow.waiting.is_empty() {
            self.flows.pop_front();
        }
        Some(id)
    }
}
