//! What is known of one content.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bulrushward_protocol::{Content, CrashReport, OrganisationHash, ServerKey};

use super::{BarPolicy, Verdict};

/// Crashes that are kept for one content: the first ones and the latest.
pub(super) const MAX_CRASHES: usize = 16;
/// Longest time for which content is barred at once.
const MAX_BAR: Duration = Duration::from_mins(30);
/// Ratio of the time for which content is barred to the time over which it has crashed servers.
///
/// Content that crashes a server at each probe is thus probed less and less often.
const BAR_GROWTH: u32 = 2;

/// A crash of a server that had begun to run content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) server: ServerKey,
    pub(super) at: Instant,
}

/// What the verdict on a content depends on in addition to its own record.
#[derive(Debug)]
pub(super) struct Limits {
    pub(super) policy: BarPolicy,
    /// Servers whose crashes are explained by content that was never served, with the number of such contents.
    pub(super) explained: HashMap<ServerKey, u32>,
}

/// Crashes and responses of one content.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) organisation: OrganisationHash,
    /// Crashes since the content was last served, in order of time.
    pub(super) crashes: Vec<Crash>,
    /// Latest complete response; earlier crashes had other causes.
    pub(super) served: Option<Instant>,
    /// When the content was probed after its bar, if it has not been served since.
    pub(super) probe: Option<Instant>,
    /// Whether it was reported as barred.
    pub(super) is_reported: bool,
    /// Number of messages that included the record since it last changed.
    pub(super) times_sent: u32,
}

impl Record {
    pub(super) fn new(organisation: OrganisationHash, served: Option<Instant>) -> Self {
        Self {
            organisation,
            crashes: Vec::new(),
            served,
            probe: None,
            is_reported: false,
            times_sent: 0,
        }
    }

    /// Returns the start and the end of the bar, if there are enough crashes.
    ///
    /// Crashes that other content explains do not count against content that was ever served.
    pub(super) fn bar(&self, limits: &Limits) -> Option<(Instant, Instant)> {
        let policy = &limits.policy;
        let is_unexplained =
            |crash: &&Crash| self.served.is_none() || !limits.explained.contains_key(&crash.server);
        let mut unexplained = self.crashes.iter().filter(is_unexplained);
        let first = unexplained.clone().next()?;
        let deciding = unexplained.clone().nth(policy.crashes.saturating_sub(1))?;
        let last = unexplained.next_back()?;
        let (grace, shortest) = match self.served {
            Some(_) => (policy.grace, policy.served_period),
            None if self.is_ambiguous(limits) => (Duration::ZERO, policy.ambiguous_period),
            None => (Duration::ZERO, policy.period),
        };
        let span = last.at.saturating_duration_since(first.at);
        let period = (span * BAR_GROWTH).clamp(shortest, MAX_BAR.max(shortest));
        Some((deciding.at + grace, last.at + period))
    }

    /// Returns whether other content that was never served explains the same crashes.
    fn is_ambiguous(&self, limits: &Limits) -> bool {
        let explains = |crash: &Crash| limits.explained.get(&crash.server).copied();
        self.crashes
            .iter()
            .all(|crash| explains(crash).unwrap_or(0) >= 2)
    }

    /// Returns whether the content explains the crashes of its servers, as it was never served.
    pub(super) fn explains_crashes(&self, policy: &BarPolicy) -> bool {
        self.served.is_none() && self.crashes.len() >= policy.crashes
    }

    pub(super) fn verdict(&self, limits: &Limits, now: Instant) -> Verdict {
        match self.bar(limits) {
            _ if self.crashes.is_empty() => Verdict::Clear,
            Some((_, until)) if now >= until => Verdict::HalfOpen,
            Some((from, until)) if now >= from => Verdict::Barred {
                remaining: until - now,
            },
            _ => Verdict::Suspect,
        }
    }

    pub(super) fn expires(&self, limits: &Limits) -> Option<Instant> {
        let latest = self.crashes.last().map(|crash| crash.at);
        let bar = self.bar(limits).map(|(_, until)| until);
        let latest = latest.max(self.served).max(bar)?;
        Some(latest + limits.policy.memory)
    }

    /// Adds a crash; returns whether it is new.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.server == crash.server);
        if is_known || self.served.is_some_and(|served| crash.at <= served) {
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.insert(index, crash);
        } else if index == MAX_CRASHES {
            self.crashes[MAX_CRASHES - 1] = crash;
        } else {
            return false;
        }
        self.times_sent = 0;
        true
    }

    /// Records that the content was served; returns whether that refutes crashes.
    pub(super) fn record_served(&mut self, at: Instant) -> bool {
        let crashes = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        let is_refuted = self.crashes.len() < crashes;
        if is_refuted {
            self.times_sent = 0;
            self.probe = None;
        }
        self.served = self.served.max(Some(at));
        is_refuted
    }

    pub(super) fn report(&self, content: Content, now: Instant) -> CrashReport {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        CrashReport {
            content,
            organisation: self.organisation,
            crashes: self
                .crashes
                .iter()
                .map(|crash| (crash.server, age(crash.at)))
                .collect(),
            served_ms: self.served.map(age),
            probe_ms: self.probe.map(age),
        }
    }
}
