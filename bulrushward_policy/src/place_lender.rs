//! Lends the places of a scarce service to the requests of all routers.
//!
//! Handles: a crowd at a plain service of few places behind many routers, each of which has less than one place; an
//! organisation that sends many times its usual requests; servers that are cold, slow, full or gone; callers that
//! leave; routers that die holding places; lost and duplicate messages.
//!
//! While demand exceeds what the servers can run, requests that can be answered in time precede late ones. An ask
//! that cannot be met is refused as soon as this is known.

mod ask;
mod lane;
mod server_places;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use bulrushward_protocol::WorkUnits;
use rand::{Rng, RngExt};

pub use self::ask::{Answer, Ask, AskId, KindKey, OrganisationKey, PlaceUse, RefusalReason, Reply};
use self::{
    lane::{Lane, Precedence, Timing},
    server_places::ServerPlaces,
};
use crate::{
    rate_meter::RateMeter, service_time::ServiceTimeEstimator, session_locations::ServerKey,
};

/// Work that each request counts as in fair shares; an organisation of mean weight gets one place in a round.
const REQUEST_WORK: WorkUnits = 16;
/// Largest number of waiting asks.
const MAX_WAITING: usize = 10_000;
/// Largest number of lanes; further kinds share the lanes of their priority.
const MAX_LANES: usize = 32;
/// Asks per second of an organisation that are never surplus.
const MIN_REGULAR_RATE: f64 = 2.0;
/// Largest number of organisations that are distinguished.
const MAX_ORGANISATIONS: usize = 1_024;
/// Time after which an organisation that asks for nothing is forgotten.
const ORGANISATION_TTL: Duration = Duration::from_secs(30);
/// Smallest weight of the newest report in the usual rate of an organisation.
///
/// A router of a large fleet has seen few requests of an organisation, so that single reports differ much.
const MIN_USUAL_WEIGHT: f64 = 0.02;
/// Range of the weights of organisations.
const WEIGHTS: (f64, f64) = (0.1, 20.0);
/// Fraction of the time until the target that expected wait and service may take.
///
/// Service times vary, and the response must be sent.
const IN_TIME_FRACTION: f64 = 0.75;
/// Fraction of the time until the deadline that expected wait and service may take.
const DEADLINE_FRACTION: f64 = 0.5;
/// Multiple of an organisation's part of all asks beyond which its asks are surplus.
const SURPLUS_FACTOR: f64 = 1.5;
/// Granted fraction of a lane's asks, relative to that of all, that more urgent lanes leave to it.
const MIN_RELATIVE_FRACTION: f64 = 0.5;
/// Smallest fraction of the service rate that a wait is estimated with.
const MIN_RATE_FRACTION: f64 = 0.01;
/// Smallest number of random routers that a lender notifies at once of scarce places.
const MIN_NOTICE_RECEIVERS: usize = 32;
/// Rounds of notices in which as many are sent as there are routers.
const NOTICE_ROUNDS: usize = 8;
/// Interval of a lender's notices of scarce places.
const NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Ratio of lent and wanted places to slots from which places are scarce.
const SCARCE_LOAD: f64 = 0.9;
/// Time over which grants are counted.
const GRANT_MEMORY: Duration = Duration::from_secs(1);
/// Interval at which late asks are checked.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Multiple of the usual time after which a lent place is taken back.
const EXPIRY_FACTOR: f64 = 4.0;
/// Shortest time after which a lent place is taken back.
const MIN_EXPIRY: Duration = Duration::from_millis(400);
/// Longest time after which a lent place is taken back.
const MAX_EXPIRY: Duration = Duration::from_secs(10);
/// Range of the retry delay.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(4));
/// Smallest fraction of the service rate at which refused callers are asked to retry.
const MIN_RETURN_FRACTION: f64 = 0.05;
/// Fraction of the time until the deadline within which a refused caller is asked to retry.
const RETRY_FRACTION: f64 = 0.75;

#[derive(Debug)]
struct WaitingAsk<B> {
    ask: Ask<B>,
    lane: usize,
    timing: Timing,
    check_at: Instant,
}

impl<B> WaitingAsk<B> {
    fn rank(&self) -> Instant {
        rank(&self.ask, self.timing)
    }
}

#[derive(Clone, Copy, Debug)]
struct LentPlace {
    server: ServerKey,
    since: Instant,
    until: Instant,
}

/// Usual and present demand of one organisation.
#[derive(Clone, Copy, Debug)]
struct OrganisationDemand {
    usual_rate: f64,
    /// Number of reports of the usual rate.
    reports: u32,
    asked: Instant,
    /// Asks that are no surplus.
    regular: RateMeter,
    granted: RateMeter,
}

/// Places of the servers of one service, or of a pool of them, with the asks that wait for one.
#[derive(Debug)]
pub struct PlaceLender<B> {
    servers: BTreeMap<ServerKey, ServerPlaces>,
    lanes: Vec<Lane>,
    waiting: HashMap<AskId, WaitingAsk<B>>,
    lent: HashMap<AskId, LentPlace>,
    /// Times at which waiting asks are checked and lent places are taken back.
    timers: BTreeSet<(Instant, AskId)>,
    organisations: HashMap<OrganisationKey, OrganisationDemand>,
    usual_rates: f64,
    asked: RateMeter,
    granted: RateMeter,
    service_time: ServiceTimeEstimator,
    /// Time up to which refused callers were asked to retry.
    returns_until: Instant,
    noticed: Instant,
    expired: u64,
    /// Whether fewer servers may be used since the last poll.
    has_lost_servers: bool,
}

impl<B: Copy> PlaceLender<B> {
    /// Creates a lender without servers.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            servers: BTreeMap::new(),
            lanes: Vec::new(),
            waiting: HashMap::new(),
            lent: HashMap::new(),
            timers: BTreeSet::new(),
            organisations: HashMap::new(),
            usual_rates: 0.0,
            asked: RateMeter::new(GRANT_MEMORY, now),
            granted: RateMeter::new(GRANT_MEMORY, now),
            service_time: ServiceTimeEstimator::default(),
            returns_until: now,
            noticed: now,
            expired: 0,
            has_lost_servers: false,
        }
    }

    /// Sets the servers that may be used, with their slots.
    pub fn set_servers(&mut self, usable: &[(ServerKey, u32)], now: Instant) {
        let known = self.servers.len();
        self.servers
            .retain(|server, _| usable.iter().any(|(key, _)| key == server));
        self.has_lost_servers |= self.servers.len() < known;
        for (server, slots) in usable {
            let places = self.servers.entry(*server);
            places
                .or_insert_with(|| ServerPlaces::new(*slots, now))
                .set_slots(*slots);
        }
    }

    /// Handles an ask, which may repeat an earlier one.
    pub fn ask(&mut self, ask: Ask<B>, rng: &mut impl Rng, now: Instant) -> Answer {
        if let Some(lent) = self.lent.get(&ask.id) {
            return Answer::Granted {
                server: lent.server,
                valid_for: lent.until.saturating_duration_since(now),
            };
        }
        if self.waiting.contains_key(&ask.id) {
            return Answer::Waiting;
        }
        self.record_organisation(&ask, now);
        let precedence = Precedence {
            is_surplus: self.is_surplus(ask.organisation, now),
            priority: ask.priority,
        };
        let lane = self.lane_of(precedence, ask.kind, now);
        self.lanes[lane].asked.record(now);
        if !self.has_server_for(&ask) {
            return self.refuse(&ask, lane, RefusalReason::NoServer, rng, now);
        }
        if self.waiting.len() >= MAX_WAITING {
            return self.refuse(&ask, lane, RefusalReason::LineFull, rng, now);
        }
        let timing = [Timing::InTime, Timing::Late]
            .into_iter()
            .find(|timing| self.fits(&ask, lane, *timing, now));
        let Some(timing) = timing else {
            return self.refuse(&ask, lane, RefusalReason::Wait, rng, now);
        };
        self.enqueue(ask, lane, timing, now);
        Answer::Waiting
    }

    /// Removes an ask whose caller has left.
    pub fn withdraw(&mut self, id: AskId, now: Instant) {
        if self.remove_waiting(id).is_none() {
            self.finish(id, PlaceUse::NotUsed, now);
        }
    }

    /// Takes a place back from its router; unknown ids are ignored.
    pub fn finish(&mut self, id: AskId, used: PlaceUse, now: Instant) {
        let Some(lent) = self.take_lent(id) else {
            return;
        };
        let held = now.saturating_duration_since(lent.since);
        if matches!(used, PlaceUse::Ended { .. }) {
            self.service_time.record(REQUEST_WORK, held);
        }
        let Some(server) = self.servers.get_mut(&lent.server) else {
            return;
        };
        match used {
            PlaceUse::Ended { response } => server.record_ended(response, held),
            PlaceUse::Rejected => server.record_rejection(now),
            PlaceUse::Failed => server.record_failure(now),
            PlaceUse::NotUsed => {}
        }
    }

    /// Refuses what can no longer be met, takes back expired places and lends the free ones.
    pub fn poll(&mut self, rng: &mut impl Rng, now: Instant) -> Vec<Reply<B>> {
        let mut replies = Vec::new();
        while let Some((at, id)) = self.timers.first().copied()
            && at <= now
        {
            replies.extend(self.run_timer(id, rng, now));
        }
        if std::mem::take(&mut self.has_lost_servers) {
            self.refuse_without_server(&mut replies, rng, now);
        }
        for server in self.servers.values_mut() {
            server.probe_up(now);
        }
        self.lend_free_places(&mut replies, now);
        replies
    }

    /// Returns the time of the next call of [`Self::poll`] if nothing else happens before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns the ratio of lent and wanted places to the slots of all servers.
    #[must_use]
    pub fn load(&self) -> f64 {
        let slots: u32 = self.servers.values().map(ServerPlaces::slots).sum();
        (self.lent.len() + self.waiting.len()) as f64 / f64::from(slots.max(1))
    }

    /// Returns the load to report to [`notice_receivers`] random routers now, as many of them have no request that
    /// shows how scarce places are.
    pub fn take_notice(&mut self, now: Instant) -> Option<f64> {
        let load = self.load();
        let is_due = now.saturating_duration_since(self.noticed) >= NOTICE_INTERVAL;
        if !is_due || load < SCARCE_LOAD {
            return None;
        }
        self.noticed = now;
        Some(load)
    }

    /// Returns the number of waiting asks.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of lent places.
    #[must_use]
    pub fn lent(&self) -> usize {
        self.lent.len()
    }

    /// Returns the number of places that were taken back because their time was over.
    #[must_use]
    pub fn expired(&self) -> u64 {
        self.expired
    }

    fn run_timer(&mut self, id: AskId, rng: &mut impl Rng, now: Instant) -> Option<Reply<B>> {
        if let Some(lent) = self.take_lent(id) {
            self.expired += 1;
            if let Some(server) = self.servers.get_mut(&lent.server) {
                server.record_expired(now.saturating_duration_since(lent.since));
            }
            return None;
        }
        let WaitingAsk { ask, lane, .. } = self.remove_waiting(id)?;
        if self.fits(&ask, lane, Timing::Late, now) {
            self.enqueue(ask, lane, Timing::Late, now);
            return None;
        }
        Some(Reply {
            borrower: ask.borrower,
            id,
            answer: self.refuse(&ask, lane, RefusalReason::Wait, rng, now),
        })
    }

    /// Refuses the waiting asks for which no server is left.
    fn refuse_without_server(
        &mut self,
        replies: &mut Vec<Reply<B>>,
        rng: &mut impl Rng,
        now: Instant,
    ) {
        let waiting = self.waiting.values();
        let ended: Vec<AskId> = waiting
            .filter(|waiting| !self.has_server_for(&waiting.ask))
            .map(|waiting| waiting.ask.id)
            .collect();
        for id in ended {
            let Some(WaitingAsk { ask, lane, .. }) = self.remove_waiting(id) else {
                continue;
            };
            replies.push(Reply {
                borrower: ask.borrower,
                id,
                answer: self.refuse(&ask, lane, RefusalReason::NoServer, rng, now),
            });
        }
    }

    fn has_server_for(&self, ask: &Ask<B>) -> bool {
        let mut servers = self.servers.keys();
        servers.any(|server| !ask.excluded.contains(server))
    }

    fn lend_free_places(&mut self, replies: &mut Vec<Reply<B>>, now: Instant) {
        let usual = self.usual_response();
        // Asks that exclude the servers with free places.
        let mut passed_over = Vec::new();
        while let Some(free) = self.free_server(&[], usual, now) {
            let Some(id) = self.pop(now) else {
                break;
            };
            let Some(waiting) = self.waiting.remove(&id) else {
                continue;
            };
            self.timers.remove(&(waiting.check_at, id));
            let server = if waiting.ask.excluded.contains(&free) {
                self.free_server(&waiting.ask.excluded, usual, now)
            } else {
                Some(free)
            };
            let Some(server) = server else {
                passed_over.push(waiting);
                continue;
            };
            replies.push(self.lend(&waiting, server, now));
        }
        for WaitingAsk {
            ask, lane, timing, ..
        } in passed_over
        {
            self.enqueue(ask, lane, timing, now);
        }
    }

    fn lend(&mut self, waiting: &WaitingAsk<B>, server: ServerKey, now: Instant) -> Reply<B> {
        let ask = &waiting.ask;
        let valid_for = self
            .usual_time()
            .mul_f64(EXPIRY_FACTOR)
            .clamp(MIN_EXPIRY, MAX_EXPIRY);
        let lent = LentPlace {
            server,
            since: now,
            until: now + valid_for,
        };
        self.lent.insert(ask.id, lent);
        self.timers.insert((lent.until, ask.id));
        if let Some(places) = self.servers.get_mut(&server) {
            places.lent += 1;
        }
        self.granted.record(now);
        self.lanes[waiting.lane].record_grant(waiting.timing, now);
        if let Some(demand) = self.organisations.get_mut(&ask.organisation) {
            demand.granted.record(now);
        }
        Reply {
            borrower: ask.borrower,
            id: ask.id,
            answer: Answer::Granted { server, valid_for },
        }
    }

    /// Returns the server with a free place that is expected to respond first.
    fn free_server(
        &self,
        excluded: &[ServerKey],
        usual: Option<f64>,
        now: Instant,
    ) -> Option<ServerKey> {
        let free = self.servers.iter().filter(|(key, places)| {
            !excluded.contains(key) && places.lent < places.limit(usual, now)
        });
        let cost = |places: &ServerPlaces| {
            let queued = f64::from(places.lent + 1) / f64::from(places.slots());
            places.response().or(usual).unwrap_or(1.0) * queued.max(0.5)
        };
        let best = free.min_by(|(a_key, a), (b_key, b)| {
            cost(a).total_cmp(&cost(b)).then_with(|| a_key.cmp(b_key))
        });
        best.map(|(key, _)| *key)
    }

    /// Returns the median of the servers' response times in seconds.
    fn usual_response(&self) -> Option<f64> {
        let known = self.servers.values().filter_map(ServerPlaces::response);
        let mut times: Vec<_> = known.collect();
        times.sort_unstable_by(f64::total_cmp);
        times.get(times.len().saturating_sub(1) / 2).copied()
    }

    /// Removes the ask that is granted next from its line.
    ///
    /// Asks that can be answered in time precede late ones, and among these the more urgent. A less urgent lane
    /// precedes late asks of a more urgent one only as long as it is not granted a larger fraction.
    fn pop(&mut self, now: Instant) -> Option<AskId> {
        let least = MIN_RELATIVE_FRACTION * self.granted_fraction(now);
        let fractions: Vec<_> = self
            .lanes
            .iter()
            .map(|lane| lane.granted_fraction(now))
            .collect();
        let key = |index: usize| {
            let (lane, fraction) = (&self.lanes[index], fractions[index]);
            let urgent = (0..self.lanes.len()).filter(|other| {
                let other = &self.lanes[*other];
                other.precedence < lane.precedence && !other.is_empty()
            });
            let urgent_fraction = urgent.map(|other| fractions[other]).fold(1.0, f64::min);
            // A lane that falls below its part goes first.
            let is_surplus = lane.precedence.is_surplus;
            let is_served_enough = is_surplus || fraction >= least;
            let is_late = !lane.has_in_time() || fraction > urgent_fraction;
            (is_served_enough, is_surplus, is_late, lane.precedence)
        };
        let waiting = (0..self.lanes.len()).filter(|index| !self.lanes[*index].is_empty());
        let next = waiting.min_by(|a, b| {
            let order = key(*a).cmp(&key(*b));
            order.then_with(|| fractions[*a].total_cmp(&fractions[*b]))
        })?;
        self.lanes[next].pop()
    }

    /// Returns the granted fraction of all asks that are no surplus.
    fn granted_fraction(&self, now: Instant) -> f64 {
        let (mut asked, mut granted) = (0.0, 0.0);
        for lane in self.lanes.iter().filter(|l| !l.precedence.is_surplus) {
            asked += lane.asked.per_second(now);
            granted += lane.granted.per_second(now);
        }
        (granted / asked.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns whether an ask is expected to be met in a line.
    fn fits(&self, ask: &Ask<B>, lane: usize, timing: Timing, now: Instant) -> bool {
        let (until, fraction) = match timing {
            Timing::InTime => (ask.target.min(ask.deadline), IN_TIME_FRACTION),
            Timing::Late => (ask.deadline, DEADLINE_FRACTION),
        };
        let left = until.saturating_duration_since(now);
        let wait = self.expected_wait(ask, lane, timing, now);
        // Only estimated waits are uncertain.
        let usable = if wait.is_zero() {
            left
        } else {
            left.mul_f64(fraction)
        };
        left > Duration::ZERO && wait.saturating_add(self.usual_time()) <= usable
    }

    /// Estimates how long an ask waits in a line.
    fn expected_wait(&self, ask: &Ask<B>, lane: usize, timing: Timing, now: Instant) -> Duration {
        let total = self.service_rate(now);
        if total <= 0.0 {
            return Duration::ZERO;
        }
        let own = &self.lanes[lane];
        let weight = self.weight(ask.organisation);
        let urgent = self.lanes.iter().filter(|l| l.precedence < own.precedence);
        let urgent: usize = urgent.map(Lane::waiting).sum();
        let ahead = own.ahead(timing, ask.organisation, weight, &rank(ask, timing));
        let rate = self.rate_left(lane, timing, total, now);
        let mut seconds = (ahead + urgent as f64) / rate;
        if timing == Timing::InTime && !own.precedence.is_surplus {
            seconds = seconds.min(ahead / self.reserved_rate(lane, now));
        }
        let own_ahead = own.backlog(timing, ask.organisation) as f64;
        let own_rate = self.organisation_rate(ask.organisation, total, now);
        let seconds = seconds.max(own_ahead / own_rate);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the grants per second that a lane gets regardless of more urgent lanes.
    fn reserved_rate(&self, lane: usize, now: Instant) -> f64 {
        let asked = self.lanes[lane].asked.per_second(now);
        let rate = MIN_RELATIVE_FRACTION * self.granted_fraction(now) * asked;
        rate.max(f64::MIN_POSITIVE)
    }

    /// Returns the grants per second that more urgent asks leave to a line.
    fn rate_left(&self, lane: usize, timing: Timing, total: f64, now: Instant) -> f64 {
        let own = &self.lanes[lane];
        let left = match timing {
            Timing::InTime => {
                let (mut urgent, mut equal) = (0.0, 0.0);
                for other in &self.lanes {
                    if other.precedence < own.precedence {
                        urgent += other.granted.per_second(now);
                    } else if other.precedence == own.precedence {
                        equal += other.asked.per_second(now);
                    }
                }
                let asked = own.asked.per_second(now);
                let share = if equal > 0.0 { asked / equal } else { 1.0 };
                (total - urgent) * share
            }
            Timing::Late => own.late_rate(now) + self.free_rate(now),
        };
        left.max(MIN_RATE_FRACTION * total)
    }

    /// Returns the requests per second that could run at places for which nothing waits.
    fn free_rate(&self, now: Instant) -> f64 {
        let time = self.usual_time().as_secs_f64();
        if !self.waiting.is_empty() || time <= 0.0 {
            return 0.0;
        }
        let usual = self.usual_response();
        let limits = self.servers.values().map(|places| places.limit(usual, now));
        let free = limits.sum::<u32>().saturating_sub(self.lent.len() as u32);
        f64::from(free) / time
    }

    /// Returns the grants per second that an organisation can get.
    ///
    /// This is its fair share, or what the others leave if that is more.
    fn organisation_rate(&self, organisation: OrganisationKey, total: f64, now: Instant) -> f64 {
        let Some(own) = self.organisations.get(&organisation) else {
            return total;
        };
        let others = self.granted.per_second(now) - own.granted.per_second(now);
        let weights = self.organisations.len() as f64;
        let fair_share = total * self.weight(organisation) / weights;
        fair_share.max(total - others)
    }

    /// Returns the requests per second that all servers can run; zero if it is not known.
    fn service_rate(&self, now: Instant) -> f64 {
        let time = self.usual_time().as_secs_f64();
        if time <= 0.0 {
            return 0.0;
        }
        let usual = self.usual_response();
        let limits = self.servers.values().map(|places| places.limit(usual, now));
        f64::from(limits.sum::<u32>().max(1)) / time
    }

    /// Returns the time for which a place is usually lent.
    fn usual_time(&self) -> Duration {
        self.service_time.estimate(REQUEST_WORK as f64)
    }

    fn weight(&self, organisation: OrganisationKey) -> f64 {
        let Some(demand) = self.organisations.get(&organisation) else {
            return WEIGHTS.0;
        };
        let mean = self.usual_rates / self.organisations.len() as f64;
        if mean <= 0.0 {
            return 1.0;
        }
        (demand.usual_rate / mean).clamp(WEIGHTS.0, WEIGHTS.1)
    }

    fn record_organisation(&mut self, ask: &Ask<B>, now: Instant) {
        let usual_rate = ask.usual_rate.max(0.0);
        if let Some(demand) = self.organisations.get_mut(&ask.organisation) {
            demand.reports = demand.reports.saturating_add(1);
            let weight = (1.0 / f64::from(demand.reports)).max(MIN_USUAL_WEIGHT);
            let change = weight * (usual_rate - demand.usual_rate);
            demand.usual_rate += change;
            demand.asked = now;
            self.usual_rates += change;
            return;
        }
        if self.organisations.len() >= MAX_ORGANISATIONS {
            self.organisations
                .retain(|_, demand| now.saturating_duration_since(demand.asked) < ORGANISATION_TTL);
            let rates = self.organisations.values().map(|demand| demand.usual_rate);
            self.usual_rates = rates.sum();
        }
        if self.organisations.len() < MAX_ORGANISATIONS {
            let meter = RateMeter::new(GRANT_MEMORY, now);
            let demand = OrganisationDemand {
                usual_rate,
                reports: 1,
                asked: now,
                regular: meter,
                granted: meter,
            };
            self.organisations.insert(ask.organisation, demand);
            self.usual_rates += usual_rate;
        }
    }

    /// Returns whether one more ask of an organisation is beyond its part of all asks or of all places.
    fn is_surplus(&mut self, organisation: OrganisationKey, now: Instant) -> bool {
        self.asked.record(now);
        let all = self.service_rate(now).max(self.asked.per_second(now));
        let part = self.weight(organisation) / self.organisations.len().max(1) as f64;
        let Some(demand) = self.organisations.get_mut(&organisation) else {
            return true;
        };
        let limit = SURPLUS_FACTOR * part * all;
        if demand.regular.per_second(now) > limit.max(MIN_REGULAR_RATE) {
            return true;
        }
        demand.regular.record(now);
        false
    }

    fn lane_of(&mut self, precedence: Precedence, kind: KindKey, now: Instant) -> usize {
        let same = |lane: &Lane| lane.precedence == precedence && lane.kind == kind;
        if let Some(index) = self.lanes.iter().position(same) {
            return index;
        }
        if self.lanes.len() < MAX_LANES {
            self.lanes.push(Lane::new(precedence, kind, now));
            return self.lanes.len() - 1;
        }
        let distance = |lane: &Lane| {
            let is_other = lane.precedence.is_surplus != precedence.is_surplus;
            let priority = lane.precedence.priority.abs_diff(precedence.priority);
            (is_other, priority)
        };
        let nearest = (0..self.lanes.len()).min_by_key(|index| distance(&self.lanes[*index]));
        nearest.unwrap_or(0)
    }

    fn enqueue(&mut self, ask: Ask<B>, lane: usize, timing: Timing, now: Instant) {
        let time = self.usual_time();
        let last_start = |until: Instant| until.checked_sub(time).unwrap_or(now);
        let check_at = match timing {
            Timing::InTime => last_start(ask.target.min(ask.deadline)),
            Timing::Late => last_start(ask.deadline).min(now + LATE_CHECK_INTERVAL),
        }
        // A timer that is due at once would run repeatedly.
        .max(now + Duration::from_millis(1));
        let weight = self.weight(ask.organisation);
        let queue = self.lanes[lane].queue(timing);
        queue.push(
            &ask.organisation,
            weight,
            ask.id,
            REQUEST_WORK,
            rank(&ask, timing),
        );
        self.timers.insert((check_at, ask.id));
        let waiting = WaitingAsk {
            ask,
            lane,
            timing,
            check_at,
        };
        self.waiting.insert(waiting.ask.id, waiting);
    }

    fn remove_waiting(&mut self, id: AskId) -> Option<WaitingAsk<B>> {
        let waiting = self.waiting.remove(&id)?;
        self.timers.remove(&(waiting.check_at, id));
        let queue = self.lanes[waiting.lane].queue(waiting.timing);
        queue.remove_ranked(&waiting.ask.organisation, &waiting.rank(), id);
        Some(waiting)
    }

    fn take_lent(&mut self, id: AskId) -> Option<LentPlace> {
        let lent = self.lent.remove(&id)?;
        self.timers.remove(&(lent.until, id));
        if let Some(server) = self.servers.get_mut(&lent.server) {
            server.lent = server.lent.saturating_sub(1);
        }
        Some(lent)
    }

    /// Returns a refusal with a time at which a free place is expected.
    ///
    /// Callers are asked to retry one after the other, at the rate that is left to them.
    fn refuse(
        &mut self,
        ask: &Ask<B>,
        lane: usize,
        reason: RefusalReason,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Answer {
        let (least, most) = RETRY_AFTER;
        let total = self.service_rate(now);
        let rate = self.rate_left(lane, Timing::Late, total, now);
        let rate = rate.max(MIN_RETURN_FRACTION * total).max(1.0);
        let until_deadline = ask.deadline.saturating_duration_since(now);
        let latest = until_deadline.mul_f64(RETRY_FRACTION).clamp(least, most);
        let next = self.returns_until.max(now + least) + Duration::from_secs_f64(1.0 / rate);
        self.returns_until = next.min(now + latest);
        let wait = next.saturating_duration_since(now).min(latest);
        let retry_after = wait.mul_f64(rng.random_range(0.6..=1.0)).max(least);
        Answer::Refused {
            retry_after,
            reason,
        }
    }
}

/// Returns the number of random routers to which a notice of scarce places goes.
///
/// Each router of a large fleet has few requests, and would send them before it knows of scarce places.
#[must_use]
pub fn notice_receivers(routers: usize) -> usize {
    (routers / NOTICE_ROUNDS).max(MIN_NOTICE_RECEIVERS)
}

/// Returns the rank of an ask in its organisation's queue.
fn rank<B>(ask: &Ask<B>, timing: Timing) -> Instant {
    match timing {
        Timing::InTime => ask.target,
        Timing::Late => ask.deadline,
    }
}
