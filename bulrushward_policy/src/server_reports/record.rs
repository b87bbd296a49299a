//! What one process of a server has reported, and what that withholds.

use std::time::{Duration, Instant};

use super::{MAX_PAUSE, ReportNews, ServerReport, Withheld, is_told, limit::Limit};

/// Extension of a pause from which it counts as new.
const NEWS_EXTENSION: Duration = Duration::from_millis(250);

/// What is known of a server's leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Leaving {
    #[default]
    Unknown,
    /// It announced its leaving to this router.
    Announced(Instant),
    /// It announced its leaving to this router before its entry was known, so that it may have been another process.
    Inherited(Instant),
    /// Announced at this time, as peers reported.
    Heard(Instant),
    /// It responded to this router as not leaving.
    Denied(Instant),
}

/// What one incarnation of a server has reported.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) leaving: Leaving,
    pause_end: Option<Instant>,
    pub(super) limit: Option<Limit>,
    /// When the server was last registered, or reported something.
    pub(super) last_known: Instant,
}

impl Record {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            leaving: Leaving::default(),
            pause_end: None,
            limit: None,
            last_known: now,
        }
    }

    /// Returns why nothing is sent to the server now.
    pub(super) fn withheld(&self, now: Instant) -> Option<Withheld> {
        let pause_end = self.pause_end.filter(|end| now < *end);
        let paused = pause_end.map(|end| Withheld::Paused {
            rest: end.saturating_duration_since(now),
        });
        match self.leaving {
            Leaving::Announced(_) => Some(Withheld::Leaving),
            Leaving::Inherited(at) if is_told(at, now) => Some(Withheld::Leaving),
            Leaving::Heard(at) if is_told(at, now) => paused.or(Some(Withheld::SaidToLeave)),
            Leaving::Inherited(_) | Leaving::Heard(_) | Leaving::Denied(_) | Leaving::Unknown => {
                paused
            }
        }
    }

    /// Records what a response to a request that was sent at `sent` states, and returns what is new.
    pub(super) fn apply(
        &mut self,
        report: &ServerReport,
        sent: Option<Instant>,
        now: Instant,
    ) -> Vec<ReportNews> {
        let mut news = Vec::new();
        if report.is_leaving {
            if !matches!(self.leaving, Leaving::Announced(_)) {
                self.leaving = Leaving::Announced(now);
                news.push(ReportNews::Leaving);
            }
        } else if let Leaving::Heard(announced) | Leaving::Inherited(announced) = self.leaving
            && let Some(sent) = sent.filter(|sent| announced < *sent)
        {
            self.leaving = Leaving::Denied(sent);
            news.push(ReportNews::Stays);
        }
        if let Some(named) = report.limit {
            let limit = self.limit.get_or_insert_with(|| Limit::new(now));
            news.extend(limit.record_named(named, now));
        } else if let Some(sent) = sent {
            let limit = self.limit.as_mut();
            news.extend(limit.and_then(|limit| limit.record_unnamed(sent)));
        }
        let Some(pause_s) = report.pause_s else {
            return news;
        };
        match Duration::try_from_secs_f64(pause_s) {
            Ok(asked) if asked.is_zero() => {}
            Ok(asked) => news.extend(self.record_pause(asked, now)),
            // No duration is that long, but the server wants a long pause.
            Err(_too_long) if pause_s.is_finite() && pause_s > 0.0 => {
                news.extend(self.record_pause(Duration::MAX, now));
            }
            Err(_no_time) => news.push(ReportNews::Ignored { value: pause_s }),
        }
        news
    }

    fn record_pause(&mut self, asked: Duration, now: Instant) -> Option<ReportNews> {
        let length = asked.min(MAX_PAUSE);
        let end = now + length;
        let known_end = self.pause_end.unwrap_or(now).max(now);
        self.pause_end = Some(known_end.max(end));
        (end >= known_end + NEWS_EXTENSION || known_end == now).then_some(ReportNews::Pause {
            length,
            is_cut: length < asked,
        })
    }
}
