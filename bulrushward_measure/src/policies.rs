//! The product's order of candidates and the policies that it is compared with.

use std::{collections::HashMap, sync::Arc};

use bulrushward_policy::{
    load_bound::LoadBound,
    placement::{Candidate, rank},
};
use bulrushward_protocol::{ChatKey, WorkUnits};
use rand::{RngExt, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use strum::{Display, VariantArray};

use crate::{engine::Engine, workload::Arrival};

/// Attempts that a router makes for one request.
pub const MAX_ATTEMPTS: usize = 4;

/// What a router knows of an engine.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Index of the engine in the model.
    pub engine: usize,
    /// Its name.
    pub name: Arc<str>,
    /// Its load by the newest report, if one has arrived.
    pub load: Option<WorkUnits>,
}

/// What a policy may look at.
#[derive(Debug)]
pub struct View<'a> {
    /// The router that decides, by index.
    pub router: usize,
    /// Engines that the router believes to be alive.
    pub seen: &'a [Seen],
    /// The bound that agents apply.
    pub bound: LoadBound,
    /// All engines as they are; for the oracle only.
    pub engines: &'a [Engine],
    /// Engines that ran a conversation; for the oracle only.
    pub holders: &'a HashMap<u64, Vec<usize>>,
}

/// Chooses the engines that a router tries, best first.
pub trait Policy {
    /// Returns at most [`MAX_ATTEMPTS`] indices of engines.
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize>;

    /// Returns whether agents apply the load bound.
    fn is_bounded(&self) -> bool {
        false
    }

    /// Returns whether agents admit without any limit.
    fn is_unlimited(&self) -> bool {
        false
    }
}

/// Names of the policies.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// Rendezvous order under the load bound.
    Product,
    /// Each router in turn.
    RoundRobin,
    /// The least load by reports.
    LeastLoad,
    /// The lesser of two random ones by reports.
    TwoChoices,
    /// Rendezvous order without a bound.
    Rendezvous,
    /// The longest cached prefix, known everywhere at once, without a bound.
    Oracle,
}

impl PolicyName {
    /// Returns whether the product has to be ahead of the policy.
    #[must_use]
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::Product | Self::Oracle)
    }

    /// Creates the policy.
    #[must_use]
    pub fn create(self, routers: usize) -> Box<dyn Policy> {
        match self {
            Self::Product => Box::new(Product),
            Self::RoundRobin => Box::new(RoundRobin {
                next: vec![0; routers],
            }),
            Self::LeastLoad => Box::new(LeastLoad),
            Self::TwoChoices => Box::new(TwoChoices),
            Self::Rendezvous => Box::new(Rendezvous),
            Self::Oracle => Box::new(Oracle),
        }
    }
}

fn ranked(chat: ChatKey, seen: &[Seen]) -> Vec<usize> {
    let candidates: Vec<Candidate<'_>> = seen
        .iter()
        .map(|seen| Candidate {
            name: &seen.name,
            weight: 1.0,
        })
        .collect();
    rank(chat, &candidates)
}

fn engines(view: &View<'_>, order: impl Iterator<Item = usize>) -> Vec<usize> {
    order
        .take(MAX_ATTEMPTS)
        .map(|index| view.seen[index].engine)
        .collect()
}

struct Product;

impl Policy for Product {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _rng: &mut Pcg64Mcg) -> Vec<usize> {
        let loads: Vec<WorkUnits> = view.seen.iter().filter_map(|seen| seen.load).collect();
        let mean = loads.iter().sum::<WorkUnits>() as f64 / loads.len().max(1) as f64;
        let fits = |index: &usize| {
            let load = view.seen[*index].load.unwrap_or(0);
            view.bound.admits(load, arrival.work(), mean)
        };
        let (first, last): (Vec<usize>, Vec<usize>) =
            ranked(arrival.chat, view.seen).into_iter().partition(fits);
        engines(view, first.into_iter().chain(last))
    }

    fn is_bounded(&self) -> bool {
        true
    }
}

struct RoundRobin {
    next: Vec<usize>,
}

impl Policy for RoundRobin {
    fn order(&mut self, view: &View<'_>, _: &Arrival, _: &mut Pcg64Mcg) -> Vec<usize> {
        let next = &mut self.next[view.router];
        *next += 1;
        let start = *next + view.router;
        let count = view.seen.len();
        engines(view, (0..count).map(|step| (start + step) % count))
    }
}

struct LeastLoad;

impl Policy for LeastLoad {
    fn order(&mut self, view: &View<'_>, _: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize> {
        let mut order: Vec<usize> = (0..view.seen.len()).collect();
        order.shuffle(rng);
        order.sort_by_key(|&index| view.seen[index].load.unwrap_or(0));
        engines(view, order.into_iter())
    }
}

struct TwoChoices;

impl Policy for TwoChoices {
    fn order(&mut self, view: &View<'_>, _: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize> {
        let count = view.seen.len();
        let mut order: Vec<usize> = (0..MAX_ATTEMPTS)
            .map(|_| rng.random_range(0..count))
            .collect();
        for pair in order.chunks_mut(2) {
            pair.sort_by_key(|&index| view.seen[index].load.unwrap_or(0));
        }
        engines(view, order.into_iter())
    }
}

struct Rendezvous;

impl Policy for Rendezvous {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _: &mut Pcg64Mcg) -> Vec<usize> {
        engines(view, ranked(arrival.chat, view.seen).into_iter())
    }
}

struct Oracle;

impl Policy for Oracle {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _: &mut Pcg64Mcg) -> Vec<usize> {
        let holder = view
            .holders
            .get(&arrival.conversation)
            .into_iter()
            .flatten()
            .copied()
            .filter(|&engine| view.engines[engine].left.is_none())
            .max_by_key(|&engine| view.engines[engine].cached_tokens(arrival));
        if let Some(holder) = holder {
            return vec![holder];
        }
        engines(view, ranked(arrival.conversation, view.seen).into_iter())
    }

    fn is_unlimited(&self) -> bool {
        true
    }
}
