//! A backend server of the model: an engine behind the product's admission control.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionSettings, KindSettings},
    load_bound::LoadBound,
};
use bulrushward_protocol::WorkUnits;
use strum::VariantArray;

use crate::{engine::Engine, prefix_cache::PrefixCache, workload::Kind};

/// Number of streams that an engine batches.
const CONCURRENCY: usize = 160;
/// Number of requests that can wait for an engine.
const QUEUE_LENGTH: usize = 160;
/// Concurrency and queue length of an engine that never refuses, for the oracle.
const UNLIMITED: usize = 1 << 24;

/// Number of chats that an agent remembers as spilled over because of its load bound.
const MAX_SPILLED_CHATS: u64 = 16_384;

/// Limits that agents apply at admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limits {
    /// Concurrency, queue length and load bound.
    Bounded,
    /// Concurrency and queue length.
    Concurrency,
    /// No limits.
    Unlimited,
}

/// A backend server with its agent.
#[derive(Debug)]
pub struct Backend {
    /// Name, which changes with every replacement.
    pub name: Arc<str>,
    /// Position in the fleet, which a replacement keeps.
    pub slot: usize,
    pub(crate) engine: Engine,
    pub(crate) admission: AdmissionQueue,
    /// Chats that were refused because of the load bound and have not run here since, as an LRU set
    /// with one token for each chat.
    pub(crate) spilled: PrefixCache,
    pub(crate) joined: Duration,
    /// Whether the backend server was replaced and admits no new requests.
    pub(crate) is_leaving: bool,
}

impl Backend {
    pub(crate) fn new(
        index: usize,
        slot: usize,
        cache_tokens: u64,
        settings: AdmissionSettings,
        now: Duration,
    ) -> Self {
        Self {
            name: format!("engine-{index}").into(),
            slot,
            engine: Engine::new(cache_tokens, now),
            admission: AdmissionQueue::new(settings),
            spilled: PrefixCache::new(MAX_SPILLED_CHATS),
            joined: now,
            is_leaving: false,
        }
    }

    /// Returns the outstanding work of the agent.
    #[must_use]
    pub fn load(&self) -> WorkUnits {
        self.admission.load()
    }

    pub(crate) fn unfinished(&self) -> u64 {
        (self.admission.running() + self.admission.queued()) as u64
    }
}

/// Returns the admission settings of all agents of a run.
pub(crate) fn admission_settings(limits: Limits, bound: LoadBound) -> AdmissionSettings {
    let unbounded = LoadBound {
        floor: WorkUnits::MAX,
        ..bound
    };
    let (max_running, queue) = match limits {
        Limits::Unlimited => (UNLIMITED, UNLIMITED),
        Limits::Bounded | Limits::Concurrency => (CONCURRENCY, QUEUE_LENGTH),
    };
    let bound = if limits == Limits::Bounded {
        bound
    } else {
        unbounded
    };
    let kind_settings = |kind: &Kind| KindSettings {
        name: kind.to_string(),
        priority: kind.priority(),
        reserved_share: kind.reserved_share(),
        deadline: kind.deadline(),
    };
    AdmissionSettings {
        concurrency: max_running,
        queue,
        bound,
        kinds: Kind::VARIANTS.iter().map(kind_settings).collect(),
        weights: HashMap::new(),
    }
}
