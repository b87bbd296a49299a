//! What backend servers report about themselves, and when nothing is sent to them for that reason.
//!
//! Handles: servers that leave while the store cannot tell of it, or whose entries vanish and return
//! meanwhile.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::session_locations::ServerKey;

/// Time for which the reports of a server are kept that is not registered, as its entry may return.
const UNREGISTERED_TTL: Duration = Duration::from_mins(10);

/// What a response states about its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerReport {
    /// Whether the server takes no new requests until it ends.
    pub is_leaving: bool,
}

/// What is new in a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportNews {
    /// The server is leaving.
    Leaving,
}

/// Why nothing is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// It is leaving.
    Leaving,
}

/// What one incarnation of a server has reported.
#[derive(Clone, Debug)]
struct Record {
    is_leaving: bool,
    /// When the server was last registered, or reported something.
    last_known: Instant,
}

/// The reports of all servers, which each belong to one incarnation.
#[derive(Clone, Debug, Default)]
pub struct ServerReports {
    records: HashMap<ServerKey, Record>,
}

impl ServerReports {
    /// Records what a response states, and returns what is new.
    ///
    /// A server leaves for good; other responses may have been on their way.
    pub fn record(
        &mut self,
        server: ServerKey,
        report: &ServerReport,
        now: Instant,
    ) -> Vec<ReportNews> {
        let mut news = Vec::new();
        if report.is_leaving {
            let record = self.record_of(server, now);
            if !std::mem::replace(&mut record.is_leaving, true) {
                news.push(ReportNews::Leaving);
            }
        }
        news
    }

    /// Returns why nothing is sent to a server.
    #[must_use]
    pub fn withheld(&self, server: ServerKey) -> Option<Withheld> {
        let record = self.records.get(&server)?;
        record.is_leaving.then_some(Withheld::Leaving)
    }

    /// Forgets the reports of servers that have not been registered for long.
    pub fn retain_registered(
        &mut self,
        registered: impl IntoIterator<Item = ServerKey>,
        now: Instant,
    ) {
        if self.records.is_empty() {
            return;
        }
        for server in registered {
            if let Some(record) = self.records.get_mut(&server) {
                record.last_known = now;
            }
        }
        self.records.retain(|_, record| {
            now.saturating_duration_since(record.last_known) < UNREGISTERED_TTL
        });
    }

    fn record_of(&mut self, server: ServerKey, now: Instant) -> &mut Record {
        let record = self.records.entry(server).or_insert(Record {
            is_leaving: false,
            last_known: now,
        });
        record.last_known = now;
        record
    }
}
