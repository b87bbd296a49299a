//! One backend server of the model: an engine behind the product's admission.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bulrushward_policy::{
    admission::{AdmissionQueue, AdmissionSettings, KindSettings},
    load_bound::LoadBound,
};
use bulrushward_protocol::WorkUnits;
use strum::VariantArray;

use crate::{engine::Engine, prefix_cache::PrefixCache, workload::Kind};

/// Streams that an engine batches.
const CONCURRENCY: usize = 160;
/// Requests that wait beside an engine.
const QUEUE: usize = 160;
/// Places of an engine that never refuses, for the oracle.
const UNLIMITED: usize = 1 << 24;

/// Chats that an agent remembers to have sent on because of its bound.
const MAX_SPILLED_CHATS: u64 = 16_384;

/// What limits the admission of a policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limits {
    /// Places, queue and the load bound.
    Bounded,
    /// Places and queue.
    Concurrency,
    /// Nothing.
    Unlimited,
}

/// A backend server with its agent.
#[derive(Debug)]
pub struct Backend {
    /// Name, new with every replacement.
    pub name: Arc<str>,
    /// Position in the fleet, which a replacement takes over.
    pub slot: usize,
    pub(crate) engine: Engine,
    pub(crate) admission: AdmissionQueue,
    /// Chats that were refused for the load bound and have not run here since.
    pub(crate) spilled: PrefixCache,
    pub(crate) joined: Duration,
    /// Whether it was replaced and takes nothing new.
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

    /// Returns the outstanding work that the agent counts.
    #[must_use]
    pub fn load(&self) -> WorkUnits {
        self.admission.load()
    }

    pub(crate) fn unfinished(&self) -> u64 {
        (self.admission.running() + self.admission.queued()) as u64
    }
}

/// Returns the settings of every agent of a run.
pub(crate) fn admission_settings(limits: Limits, bound: LoadBound) -> AdmissionSettings {
    let unbounded = LoadBound {
        floor: WorkUnits::MAX,
        ..bound
    };
    let (max_running, queue) = match limits {
        Limits::Unlimited => (UNLIMITED, UNLIMITED),
        Limits::Bounded | Limits::Concurrency => (CONCURRENCY, QUEUE),
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
