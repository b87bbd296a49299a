//! Weighted deficit round robin among the organisations of one kind of work.
//!
//! Both the queue of a backend server and the waiting lines of lent places use it.

use std::collections::VecDeque;

use bulrushward_protocol::WorkUnits;

/// Work units that an organisation of weight 1 gains in a round; fewer than most attempts need, so
/// that organisations alternate.
const QUANTUM: f64 = 16.0;
/// Lowest effective weight, so that no organisation starves.
const MIN_WEIGHT: f64 = 0.01;

/// Waiting attempts with ids `I`, with one queue for each organisation `K`.
///
/// The attempts of an organisation start in the order of their ranks `R`, those of equal rank in
/// order of arrival.
#[derive(Debug)]
pub struct FairQueue<K, I, R = ()> {
    flows: VecDeque<Flow<K, I, R>>,
    count: usize,
}

/// An attempt that waits.
#[derive(Debug)]
struct Waiting<I, R> {
    id: I,
    work: WorkUnits,
    rank: R,
}

/// The waiting attempts of one organisation.
#[derive(Debug)]
struct Flow<K, I, R> {
    organisation: K,
    weight: f64,
    deficit: f64,
    waiting: VecDeque<Waiting<I, R>>,
    /// Sum of the work of all waiting attempts.
    work: WorkUnits,
}

impl<K, I, R: Ord> Flow<K, I, R> {
    fn quantum(&self) -> f64 {
        QUANTUM * self.weight
    }

    /// Returns the deficit that is still missing to start the first attempt.
    fn missing_deficit(&self) -> f64 {
        let head = self.waiting.front().map_or(0, |waiting| waiting.work);
        head as f64 - self.deficit
    }

    /// Returns the number of attempts that start before a new one of this rank.
    fn position(&self, rank: &R) -> usize {
        // Most attempts come in the order of their ranks.
        match self.waiting.back() {
            Some(last) if last.rank > *rank => self.waiting.partition_point(|w| w.rank <= *rank),
            _ => self.waiting.len(),
        }
    }

    fn work_before(&self, rank: &R) -> WorkUnits {
        let position = self.position(rank);
        if position == self.waiting.len() {
            return self.work;
        }
        self.waiting.iter().take(position).map(|w| w.work).sum()
    }
}

impl<K, I, R> Default for FairQueue<K, I, R> {
    fn default() -> Self {
        Self {
            flows: VecDeque::new(),
            count: 0,
        }
    }
}

impl<K: Clone + PartialEq, I: Copy + PartialEq, R: Ord> FairQueue<K, I, R> {
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
        self.flows.iter().map(|flow| flow.work).sum()
    }

    /// Returns the number of waiting attempts of an organisation and their total work.
    #[must_use]
    pub fn organisation_backlog(&self, organisation: &K) -> (usize, WorkUnits) {
        self.flows
            .iter()
            .find(|flow| flow.organisation == *organisation)
            .map_or((0, 0), |flow| (flow.waiting.len(), flow.work))
    }

    /// Estimates the work that starts before a new attempt of an organisation.
    #[must_use]
    pub fn work_ahead(&self, organisation: &K, weight: f64, work: WorkUnits, rank: &R) -> f64 {
        let own = self
            .flows
            .iter()
            .find(|flow| flow.organisation == *organisation);
        let own_work = own.map_or(0, |flow| flow.work_before(rank));
        let share = (own_work + work) as f64 / weight.max(MIN_WEIGHT);
        let others = self
            .flows
            .iter()
            .filter(|flow| flow.organisation != *organisation)
            .map(|flow| (flow.work as f64).min(share * flow.weight));
        own_work as f64 + others.sum::<f64>()
    }

    /// Adds an attempt to the queue of its organisation.
    pub fn push(&mut self, organisation: &K, weight: f64, id: I, work: WorkUnits, rank: R) {
        self.count += 1;
        let weight = weight.max(MIN_WEIGHT);
        let waiting = Waiting { id, work, rank };
        let known = self
            .flows
            .iter_mut()
            .find(|flow| flow.organisation == *organisation);
        if let Some(flow) = known {
            flow.weight = weight;
            flow.work += work;
            let position = flow.position(&waiting.rank);
            flow.waiting.insert(position, waiting);
            return;
        }
        self.flows.push_back(Flow {
            organisation: organisation.clone(),
            weight,
            deficit: 0.0,
            waiting: VecDeque::from([waiting]),
            work,
        });
    }

    /// Moves all attempts of another queue into this one.
    pub fn append(&mut self, other: &mut Self) {
        for flow in other.flows.drain(..) {
            for Waiting { id, work, rank } in flow.waiting {
                self.push(&flow.organisation, flow.weight, id, work, rank);
            }
        }
        other.count = 0;
    }

    /// Removes and returns the attempt that starts next.
    pub fn pop(&mut self) -> Option<I> {
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
    pub fn remove(&mut self, id: I) -> bool {
        let mut flows = self.flows.iter().enumerate();
        let found = flows.find_map(|(index, flow)| {
            let position = flow.waiting.iter().position(|w| w.id == id);
            position.map(|position| (index, position))
        });
        found.is_some_and(|(flow, position)| self.remove_at(flow, position))
    }

    /// Removes an attempt of an organisation and a rank; returns whether it was waiting.
    pub fn remove_ranked(&mut self, organisation: &K, rank: &R, id: I) -> bool {
        let mut flows = self.flows.iter().enumerate();
        let found = flows.find_map(|(index, flow)| {
            if flow.organisation != *organisation {
                return None;
            }
            let first = flow.waiting.partition_point(|w| w.rank < *rank);
            let same_rank = flow.waiting.iter().skip(first);
            let mut same_rank = same_rank.take_while(|w| w.rank == *rank);
            let offset = same_rank.position(|w| w.id == id)?;
            Some((index, first + offset))
        });
        found.is_some_and(|(flow, position)| self.remove_at(flow, position))
    }

    fn remove_at(&mut self, index: usize, position: usize) -> bool {
        let flow = &mut self.flows[index];
        let Some(removed) = flow.waiting.remove(position) else {
            return false;
        };
        flow.work -= removed.work;
        self.count -= 1;
        if flow.waiting.is_empty() {
            self.flows.remove(index);
        }
        true
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

    fn pop_front(&mut self) -> Option<I> {
        let flow = self.flows.front_mut()?;
        let Waiting { id, work, .. } = flow.waiting.pop_front()?;
        self.count -= 1;
        flow.work -= work;
        flow.deficit -= work as f64;
        if flow.waiting.is_empty() {
            self.flows.pop_front();
        }
        Some(id)
    }
}
