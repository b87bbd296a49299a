//! What backend servers report about themselves, and when nothing is sent to them for that reason.
//!
//! Handles: servers that leave during an outage of the store, or whose entries vanish, return or lack their start
//! during it; servers that restart and report something before their new entry is known; a fleet of which each
//! router would otherwise find out by itself; false or outdated reports of peers; servers that ask for pauses in
//! turn or all at once; requests that wait for a connection or a place while a report arrives; and extreme or
//! invalid values.

mod incarnations;
mod limit;
mod record;
mod successors;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

pub use self::incarnations::{EntryKey, IdKey};
use self::{
    incarnations::Incarnations,
    limit::Limit,
    record::{Leaving, Record},
    successors::Successors,
};
use crate::{
    fleet_share::FleetPosition,
    server_limit::{LimitShare, LoanAnswer, LoanAsk, UnitRoom},
    session_locations::ServerKey,
};

/// Longest pause that is granted on one report; the server may ask again.
pub const MAX_PAUSE: Duration = Duration::from_mins(2);
/// Time after an announcement of leaving in which routers report it to each other and accept such reports.
///
/// Most servers end earlier; later requests to a server that still runs announce it again.
const NOTICE_TTL: Duration = Duration::from_secs(30);
/// Largest number of servers in a message.
const MAX_NOTICES: usize = 64;
/// Time for which the reports of a server are kept that is not registered, as its entry may return.
const UNREGISTERED_TTL: Duration = Duration::from_mins(10);

/// What a response states about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Whether the server takes no new requests until it ends.
    pub is_leaving: bool,
    /// Seconds for which the server wants no further requests from this router.
    pub pause_s: Option<f64>,
    /// Requests per second that the server takes from all routers together, if it names a limit.
    pub limit: Option<f64>,
}

/// A server that announced its leaving to the router that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Server.
    pub server: ServerKey,
    /// Milliseconds since the announcement.
    pub age_ms: u32,
}

/// A server's limit, from a response to the router that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Server.
    pub server: ServerKey,
    /// Requests per second from all routers together; `None` if the server names no limit any more.
    pub rate: Option<f64>,
    /// Milliseconds since then.
    pub age_ms: u32,
}

/// What is new in a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportNews {
    /// The server is leaving.
    Leaving,
    /// The server takes requests although a peer reported it as leaving.
    Stays,
    /// The server wants a pause.
    Pause {
        /// Its length, which may have been cut.
        length: Duration,
        /// Whether the server asked for more.
        is_cut: bool,
    },
    /// The server names another limit than before.
    Limit {
        /// Requests per second, which may have been changed to one that can be kept.
        rate: f64,
        /// Whether it was changed.
        is_cut: bool,
    },
    /// The server names no limit any more.
    LimitEnded,
    /// A number is invalid and is ignored.
    Ignored {
        /// The number.
        value: f64,
    },
}

/// Why nothing is sent to a server.
///
/// Of two reasons, the greater one holds.
#[derive(Clone, Copy, Debug, IntoStaticStr, PartialEq, Eq, PartialOrd, Ord)]
#[strum(serialize_all = "kebab-case")]
pub enum Withheld {
    /// A peer reported it as leaving, so it is a last resort.
    SaidToLeave,
    /// It asked for a pause.
    Paused {
        /// Time until its end.
        rest: Duration,
    },
    /// It is leaving.
    Leaving,
}

/// The reports of all servers, which each belong to one incarnation.
#[derive(Clone, Debug, Default)]
pub struct ServerReports {
    records: HashMap<ServerKey, Record>,
    successors: Successors,
    incarnations: Incarnations,
}

impl ServerReports {
    /// Records what a response states, and returns what is new.
    ///
    /// `sent` is the time at which the request was sent, or `None` if the response may belong to an earlier one, so
    /// that what it lacks proves nothing. An announcement of leaving to this router is final; a response to a later
    /// request refutes reports of peers. A pause ends at the latest of the times that the server asked for; other
    /// responses may have been sent earlier and do not shorten it.
    pub fn record(
        &mut self,
        server: ServerKey,
        report: &ServerReport,
        sent: Option<Instant>,
        now: Instant,
    ) -> Vec<ReportNews> {
        let record = if *report == ServerReport::default() {
            self.records.get_mut(&server)
        } else {
            Some(self.record_of(server, now))
        };
        record.map_or_else(Vec::new, |record| record.apply(report, sent, now))
    }

    /// Records that no process listened at the address of a server.
    pub fn record_refused(&mut self, server: ServerKey, now: Instant) {
        self.successors.record_refused(server, now);
    }

    /// Records what a response states on a connection that was opened at `opened`, if it may come from a process that has
    /// replaced the registered one.
    ///
    /// It counts for the next entry of the server, if that names another start and the same address.
    pub fn record_successor(
        &mut self,
        server: ServerKey,
        report: &ServerReport,
        opened: Instant,
        now: Instant,
    ) {
        self.successors.record(server, report, opened, now);
    }

    /// Returns why nothing is sent to a server now.
    #[must_use]
    pub fn withheld(&self, server: ServerKey, now: Instant) -> Option<Withheld> {
        let keys = self.incarnations.keys(server);
        let mut withheld = None;
        for record in keys.filter_map(|key| self.records.get(&key)) {
            withheld = withheld.max(record.withheld(now));
        }
        withheld
    }

    /// Records that the entry of a server is registered.
    pub fn observe_entry(&mut self, entry: EntryKey, now: Instant) {
        let replaced = self.incarnations.observe(entry, now);
        if let Some(record) = replaced.and_then(|replaced| self.successors.take(replaced)) {
            self.records.entry(entry.server).or_insert(record);
        }
    }

    /// Returns the servers to report to peers, in random order.
    ///
    /// Only announcements to this router are reported, so that a false one is not passed on further.
    pub fn notices(&self, rng: &mut impl Rng, now: Instant) -> Vec<LeavingNotice> {
        let announced = self.records.iter().filter_map(|(server, record)| {
            let Leaving::Announced(at) = record.leaving else {
                return None;
            };
            let age_ms = now.saturating_duration_since(at).as_millis() as u32;
            is_told(at, now).then_some(LeavingNotice {
                server: *server,
                age_ms,
            })
        });
        announced.sample(rng, MAX_NOTICES)
    }

    /// Records a peer's report of a registered server; returns whether it is new.
    pub fn hear(&mut self, notice: LeavingNotice, now: Instant) -> bool {
        let age = Duration::from_millis(notice.age_ms.into());
        let Some(announced) = now.checked_sub(age).filter(|at| is_told(*at, now)) else {
            return false;
        };
        let record = self.record_of(notice.server, now);
        match record.leaving {
            Leaving::Announced(_) => false,
            Leaving::Inherited(at) if is_told(at, now) => false,
            Leaving::Denied(at) if announced <= at => false,
            Leaving::Heard(at) => {
                record.leaving = Leaving::Heard(at.max(announced));
                false
            }
            Leaving::Unknown | Leaving::Denied(_) | Leaving::Inherited(_) => {
                record.leaving = Leaving::Heard(announced);
                true
            }
        }
    }

    /// Returns whether this router may send a request to a server that names a limit, or `None` if it names none.
    ///
    /// `position` returns the place of this router among all, or `None` if the fleet is not known yet.
    pub fn unit_room(
        &self,
        server: ServerKey,
        position: impl FnOnce() -> Option<FleetPosition>,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Option<UnitRoom> {
        let share = self.records.get(&server)?.limit.as_ref()?.share(now)?;
        Some(share.room(position(), rng, now))
    }

    /// Uses a unit of a server's limit; returns whether there was one, or `None` if the server names no limit.
    pub fn take_unit(
        &mut self,
        server: ServerKey,
        position: impl FnOnce() -> Option<FleetPosition>,
        now: Instant,
    ) -> Option<bool> {
        Some(self.share_of(server, now)?.take(position(), now))
    }

    /// Answers a router that asks for a unit, or returns `None` if the server names no limit.
    pub fn lend_unit(
        &mut self,
        server: ServerKey,
        ask: LoanAsk,
        position: impl FnOnce() -> Option<FleetPosition>,
        now: Instant,
    ) -> Option<LoanAnswer> {
        Some(self.share_of(server, now)?.lend(ask, position(), now))
    }

    /// Returns the limit of a server in requests per second.
    #[must_use]
    pub fn limit(&self, server: ServerKey, now: Instant) -> Option<f64> {
        let limit = self.records.get(&server)?.limit.as_ref()?;
        limit.share(now).map(LimitShare::rate)
    }

    /// Returns the limits to report to peers, in random order.
    pub fn limit_notices(&self, rng: &mut impl Rng, now: Instant) -> Vec<LimitNotice> {
        let told = self.records.iter().filter_map(|(server, record)| {
            let (rate, age) = record.limit.as_ref()?.notice(now)?;
            Some(LimitNotice {
                server: *server,
                rate,
                age_ms: age.as_millis() as u32,
            })
        });
        told.sample(rng, MAX_NOTICES)
    }

    /// Records a peer's report of a registered server's limit, unless a later one is known.
    ///
    /// Returns whether the limit has changed.
    pub fn hear_limit(&mut self, notice: LimitNotice, now: Instant) -> bool {
        let age = Duration::from_millis(notice.age_ms.into());
        let limit = &mut self.record_of(notice.server, now).limit;
        let limit = limit.get_or_insert_with(|| Limit::new(now.checked_sub(age).unwrap_or(now)));
        limit.hear(notice.rate, age, now)
    }

    /// Forgets the reports of servers that have not been registered for long.
    pub fn retain_registered(
        &mut self,
        registered: impl IntoIterator<Item = EntryKey>,
        now: Instant,
    ) {
        for entry in registered {
            self.observe_entry(entry, now);
            for key in self.incarnations.keys(entry.server) {
                if let Some(record) = self.records.get_mut(&key) {
                    record.last_known = now;
                }
            }
        }
        self.incarnations.remove_older(UNREGISTERED_TTL, now);
        self.successors.remove_older(UNREGISTERED_TTL, now);
        self.records.retain(|_, record| {
            now.saturating_duration_since(record.last_known) < UNREGISTERED_TTL
        });
    }

    fn share_of(&mut self, server: ServerKey, now: Instant) -> Option<&mut LimitShare> {
        self.records
            .get_mut(&server)?
            .limit
            .as_mut()?
            .share_mut(now)
    }

    fn record_of(&mut self, server: ServerKey, now: Instant) -> &mut Record {
        let record = self
            .records
            .entry(server)
            .or_insert_with(|| Record::new(now));
        record.last_known = now;
        record
    }
}

fn is_told(announced: Instant, now: Instant) -> bool {
    now.saturating_duration_since(announced) < NOTICE_TTL
}
