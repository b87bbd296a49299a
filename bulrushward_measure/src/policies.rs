//! The product's routing policy and the policies that it is compared with.

use std::{collections::HashMap, sync::Arc};

use bulrushward_policy::{load_bound::LoadBound, placement::PlacementTable};
use bulrushward_protocol::{ChatKey, WorkUnits};
use rand::{RngExt, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;
use strum::{Display, VariantArray};

use crate::{Arrival, Backend, Limits};

/// Maximum number of candidates that a router considers for one request.
pub const MAX_CANDIDATES: usize = 6;

/// Maximum number of backend servers that are ranked for a chat; of these, the ones that are full
/// by their load reports are then moved to the end.
const MAX_RANKED: usize = 64;
/// Number of first candidates that are tried regardless of their load reports.
pub(crate) const STICKY_CANDIDATES: usize = 2;

/// A backend server as a router knows it.
#[derive(Clone, Debug)]
pub struct KnownBackend {
    /// Index of the backend server in the model.
    pub backend: usize,
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Load in the newest report, if one has arrived.
    pub load: Option<WorkUnits>,
}

/// Inputs of a policy.
#[derive(Debug)]
pub struct View<'a> {
    /// Index of the router that decides.
    pub router: usize,
    /// Backend servers that are alive as far as the router knows.
    pub known: &'a [KnownBackend],
    /// Placement table of the same backend servers.
    pub table: &'a PlacementTable,
    /// Load bound that agents apply.
    pub bound: LoadBound,
    /// Actual state of all backend servers, for the oracle only.
    pub backends: &'a [Backend],
    /// Backend servers that have run each conversation, for the oracle only.
    pub holders: &'a HashMap<u64, Vec<usize>>,
}

/// Chooses the backend servers that a router tries for a request.
pub trait Policy {
    /// Returns the indices of at most [`MAX_CANDIDATES`] backend servers, best first.
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize>;

    /// Returns whether agents that are among a request's first candidates refuse chats that spilled
    /// over earlier, so that these chats return to the backend server they spilled over to.
    fn remembers_spills(&self) -> bool {
        false
    }

    /// Returns the admission limits of agents under this policy.
    fn limits(&self) -> Limits {
        Limits::Concurrency
    }
}

/// Names of the policies.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// Rendezvous hashing with the load bound.
    Product,
    /// Like the product, but the first candidates are tried regardless of their load reports, and
    /// agents remember chats that spilled over.
    StickySpill,
    /// Each router uses the backend servers in turn.
    RoundRobin,
    /// The least reported load.
    LeastLoad,
    /// The less loaded of two random backend servers by their reports.
    TwoChoices,
    /// Rendezvous hashing without a load bound.
    Rendezvous,
    /// The longest cached prefix, with perfect knowledge and without admission limits.
    Oracle,
}

impl PolicyName {
    /// Returns whether the product must outperform the policy.
    #[must_use]
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::Product | Self::StickySpill | Self::Oracle)
    }

    /// Creates the policy.
    #[must_use]
    pub fn create(self, routers: usize) -> Box<dyn Policy> {
        match self {
            Self::Product => Box::new(Product),
            Self::StickySpill => Box::new(StickySpill),
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

/// Ranks the known backend servers for a chat, best first.
fn ranked(chat: ChatKey, view: &View<'_>) -> Vec<usize> {
    view.table.top(chat, MAX_RANKED)
}

/// Returns the first [`MAX_CANDIDATES`] backend servers of an order of indices in `view.known`, as
/// indices in the model.
fn first_candidates(view: &View<'_>, order: impl Iterator<Item = usize>) -> Vec<usize> {
    order
        .take(MAX_CANDIDATES)
        .map(|index| view.known[index].backend)
        .collect()
}

fn reported_mean(view: &View<'_>) -> f64 {
    let loads: Vec<WorkUnits> = view.known.iter().filter_map(|known| known.load).collect();
    loads.iter().sum::<WorkUnits>() as f64 / loads.len().max(1) as f64
}

/// Returns whether a backend server would admit a request according to its load report.
fn fits(view: &View<'_>, arrival: &Arrival, mean: f64, index: usize) -> bool {
    let load = view.known[index].load.unwrap_or(0);
    view.bound.admits(load, arrival.work(), mean)
}

struct Product;

impl Policy for Product {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _rng: &mut Pcg64Mcg) -> Vec<usize> {
        let mean = reported_mean(view);
        let fits = |index: &usize| fits(view, arrival, mean, *index);
        let (fitting, full): (Vec<usize>, Vec<usize>) =
            ranked(arrival.chat, view).into_iter().partition(fits);
        first_candidates(view, fitting.into_iter().chain(full))
    }

    fn limits(&self) -> Limits {
        Limits::Bounded
    }
}

struct StickySpill;

impl Policy for StickySpill {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _: &mut Pcg64Mcg) -> Vec<usize> {
        let mean = reported_mean(view);
        let fits = |index: &usize| fits(view, arrival, mean, *index);
        let mut order = ranked(arrival.chat, view);
        let rest = order.split_off(STICKY_CANDIDATES.min(order.len()));
        let (fitting, full): (Vec<usize>, Vec<usize>) = rest.into_iter().partition(fits);
        first_candidates(view, order.into_iter().chain(fitting).chain(full))
    }

    fn remembers_spills(&self) -> bool {
        true
    }

    fn limits(&self) -> Limits {
        Limits::Bounded
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
        let count = view.known.len();
        first_candidates(view, (0..count).map(|step| (start + step) % count))
    }
}

struct LeastLoad;

impl Policy for LeastLoad {
    fn order(&mut self, view: &View<'_>, _: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize> {
        let mut order: Vec<usize> = (0..view.known.len()).collect();
        order.shuffle(rng);
        let load = |index: &usize| view.known[*index].load.unwrap_or(0);
        if order.len() > MAX_CANDIDATES {
            order.select_nth_unstable_by_key(MAX_CANDIDATES, load);
            order.truncate(MAX_CANDIDATES);
        }
        order.sort_by_key(load);
        first_candidates(view, order.into_iter())
    }
}

struct TwoChoices;

impl Policy for TwoChoices {
    fn order(&mut self, view: &View<'_>, _: &Arrival, rng: &mut Pcg64Mcg) -> Vec<usize> {
        let count = view.known.len();
        let mut order: Vec<usize> = (0..MAX_CANDIDATES)
            .map(|_| rng.random_range(0..count))
            .collect();
        for pair in order.chunks_mut(2) {
            pair.sort_by_key(|&index| view.known[index].load.unwrap_or(0));
        }
        first_candidates(view, order.into_iter())
    }
}

struct Rendezvous;

impl Policy for Rendezvous {
    fn order(&mut self, view: &View<'_>, arrival: &Arrival, _: &mut Pcg64Mcg) -> Vec<usize> {
        first_candidates(view, ranked(arrival.chat, view).into_iter())
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
            .filter(|&backend| !view.backends[backend].is_leaving)
            .max_by_key(|&backend| view.backends[backend].engine.cached_tokens(arrival));
        if let Some(holder) = holder {
            return vec![holder];
        }
        first_candidates(view, ranked(arrival.conversation, view).into_iter())
    }

    fn limits(&self) -> Limits {
        Limits::Unlimited
    }
}
