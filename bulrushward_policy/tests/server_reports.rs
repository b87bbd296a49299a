//! What servers report withholds requests from them, and from no other server.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bulrushward_policy::{
    server_choice::{self, ServerView},
    server_limit::{MAX_RATE, MIN_RATE},
    server_reports::{
        EntryKey, LeavingNotice, LimitNotice, MAX_PAUSE, ReportNews, ServerReport, ServerReports,
        Withheld,
    },
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000));
const LEAVING: ServerReport = ServerReport {
    is_leaving: true,
    pause_s: None,
    limit: None,
};

fn pause(pause_s: f64) -> ServerReport {
    ServerReport {
        pause_s: Some(pause_s),
        ..ServerReport::default()
    }
}

/// Returns the entry of a server with an id of its own that names its start.
fn named(server: u32) -> EntryKey {
    EntryKey {
        id: server.into(),
        server,
        names_start: true,
        address: ADDRESS,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A response that was in transit when the server announced its leaving would bring the server back.
#[test]
fn a_server_leaves_until_its_incarnation_is_forgotten() {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    assert_eq!(
        reports.record(1, &LEAVING, Some(now), now),
        [ReportNews::Leaving]
    );
    assert_eq!(reports.record(1, &LEAVING, Some(now), now), []);
    assert_eq!(
        reports.record(1, &ServerReport::default(), Some(now), now),
        []
    );
    assert_eq!(reports.withheld(1, now), Some(Withheld::Leaving));
    // Another incarnation has another key.
    assert_eq!(reports.withheld(2, now), None);
    // The entry is gone for five minutes and returns for an hour.
    let mut later = now + seconds(300.0);
    reports.retain_registered([named(2)], later);
    for _ in 0..60 {
        later += seconds(60.0);
        reports.retain_registered([named(1), named(2)], later);
    }
    assert_eq!(reports.withheld(1, later), Some(Withheld::Leaving));
    later += seconds(601.0);
    reports.retain_registered([named(2)], later);
    assert_eq!(reports.withheld(1, later), None);
}

/// What happens to a server in the order of the seconds given, from its first entry on; it announces its leaving at 5 s, and
/// its restart is known at 6 s.
#[derive(Clone, Copy, Debug)]
struct Restart {
    refused: &'static [f64],
    /// When the connection was opened on which the leaving is announced.
    opened: f64,
    is_at_address: bool,
}

impl Default for Restart {
    fn default() -> Self {
        Self {
            refused: &[1.0],
            opened: 4.0,
            is_at_address: true,
        }
    }
}

/// A server that restarted and announced its leaving before its entry was known got requests again.
#[rstest]
#[case::after_a_restart(Restart::default(), true)]
#[case::after_two_restarts(Restart { refused: &[1.0, 3.0], ..Restart::default() }, true)]
#[case::without_a_sign_of_a_restart(Restart { refused: &[], ..Restart::default() }, false)]
// A process that leaves may close its listener before its connections.
#[case::on_an_older_connection(Restart { opened: 0.5, ..Restart::default() }, false)]
#[case::and_ended(Restart { refused: &[1.0, 5.5], ..Restart::default() }, false)]
#[case::elsewhere(Restart { is_at_address: false, ..Restart::default() }, false)]
fn an_announcement_counts_for_the_process_that_made_it(
    #[case] restart: Restart,
    #[case] counts: bool,
) {
    let (mut reports, start) = (ServerReports::default(), Instant::now());
    let at = |s| start + seconds(s);
    let before = named(1);
    let after = EntryKey {
        server: 2,
        address: if restart.is_at_address {
            ADDRESS
        } else {
            SocketAddr::new(ADDRESS.ip(), 9_001)
        },
        ..before
    };
    reports.observe_entry(before, start);
    for refused in restart.refused.iter().filter(|s| **s < 5.0) {
        reports.record_refused(1, at(*refused));
    }
    reports.record(1, &LEAVING, Some(at(4.5)), at(5.0));
    reports.record_successor(1, &LEAVING, at(restart.opened), at(5.0));
    for refused in restart.refused.iter().filter(|s| **s > 5.0) {
        reports.record_refused(1, at(*refused));
    }
    reports.observe_entry(after, at(6.0));
    let expected = counts.then_some(Withheld::Leaving);
    assert_eq!(reports.withheld(2, at(6.0)), expected);
    // The entry may be of a process after that, which nobody asks while it is withheld.
    assert_eq!(reports.withheld(2, at(36.0)), None);
}

/// Pauses and limits that a server named before its restart was known were forgotten.
#[test]
fn pauses_and_limits_count_for_the_process_that_named_them() {
    let (mut reports, start) = (ServerReports::default(), Instant::now());
    let at = |s| start + seconds(s);
    let after = EntryKey {
        server: 2,
        ..named(1)
    };
    reports.observe_entry(named(1), start);
    reports.record(1, &limit(9.0), Some(start), start);
    reports.record_refused(1, at(1.0));
    reports.record_successor(1, &limit(3.5), at(2.0), at(2.0));
    reports.record_successor(1, &pause(5.0), at(2.0), at(2.0));
    reports.observe_entry(after, at(3.0));
    assert_eq!(reports.limit(2, at(3.0)), Some(3.5));
    let rest = seconds(4.0);
    assert_eq!(
        reports.withheld(2, at(3.0)),
        Some(Withheld::Paused { rest })
    );
}

/// Each router would send a request to a leaving server to detect it.
#[test]
fn a_peer_tells_of_a_leaving_server_until_the_server_itself_says_otherwise() {
    let mut rng = Pcg64::seed_from_u64(1);
    let (mut told, mut hears, now) = (
        ServerReports::default(),
        ServerReports::default(),
        Instant::now(),
    );
    let later = now + seconds(5.0);
    told.record(1, &LEAVING, Some(now), now + seconds(1.0));
    let notices = told.notices(&mut rng, later);
    let age_ms = 4_000;
    assert_eq!(notices, [LeavingNotice { server: 1, age_ms }]);
    assert!(hears.hear(notices[0], later));
    assert_eq!(hears.withheld(1, later), Some(Withheld::SaidToLeave));
    // Peers' reports are not resent, so that they end with their source.
    assert_eq!(hears.notices(&mut rng, later), []);
    // A response to a request that was sent before the announcement proves nothing.
    let stays = ServerReport::default();
    assert_eq!(hears.record(1, &stays, Some(now), later), []);
    assert_eq!(
        hears.record(1, &stays, Some(later), later),
        [ReportNews::Stays]
    );
    assert_eq!(hears.withheld(1, later), None);
    // The same announcement is not accepted again, a later one is.
    assert!(!hears.hear(notices[0], later));
    assert!(hears.hear(
        LeavingNotice {
            server: 1,
            age_ms: 0
        },
        later + seconds(1.0)
    ));
}

/// A peer's outdated report would withhold a server forever.
#[test]
fn what_peers_tell_of_a_leaving_server_lapses() {
    let mut rng = Pcg64::seed_from_u64(1);
    let (mut told, mut hears, now) = (
        ServerReports::default(),
        ServerReports::default(),
        Instant::now(),
    );
    told.record(1, &LEAVING, Some(now), now);
    let mut at = now;
    while at < now + seconds(60.0) {
        for notice in told.notices(&mut rng, at) {
            hears.hear(notice, at);
        }
        at += seconds(0.25);
    }
    assert_eq!(hears.withheld(1, at), None);
    assert_eq!(told.withheld(1, at), Some(Withheld::Leaving));
    assert!(!hears.hear(
        LeavingNotice {
            server: 1,
            age_ms: u32::MAX
        },
        at
    ));
}

/// A shorter pause that a later response asks for would cut the longer one.
#[test]
fn a_pause_ends_at_the_latest_time_asked_for() {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let length = seconds(3.0);
    let is_cut = false;
    assert_eq!(
        reports.record(1, &pause(3.0), Some(now), now),
        [ReportNews::Pause { length, is_cut }]
    );
    assert_eq!(
        reports.record(1, &pause(1.0), Some(now), now + seconds(0.5)),
        []
    );
    let rest = |at: f64| reports.withheld(1, now + seconds(at));
    assert_eq!(rest(2.0), Some(Withheld::Paused { rest: seconds(1.0) }));
    assert_eq!(rest(3.0), None);
}

#[rstest]
#[case::hours(1e5)]
#[case::more_than_a_duration_holds(1e300)]
fn an_absurd_pause_is_cut(#[case] asked: f64) {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let news = ReportNews::Pause {
        length: MAX_PAUSE,
        is_cut: true,
    };
    assert_eq!(reports.record(1, &pause(asked), Some(now), now), [news]);
    assert_eq!(reports.withheld(1, now + MAX_PAUSE), None);
}

#[rstest]
#[case::negative(-1.0)]
#[case::infinite(f64::INFINITY)]
fn a_pause_that_makes_no_sense_is_ignored(#[case] value: f64) {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let ignored = [ReportNews::Ignored { value }];
    assert_eq!(reports.record(1, &pause(value), Some(now), now), ignored);
    assert_eq!(reports.withheld(1, now), None);
}

/// A server got requests in the pause that it had asked for, because a peer had reported it as leaving.
#[test]
fn a_pause_holds_at_a_server_of_which_a_peer_told_that_it_is_leaving() {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let notice = LeavingNotice {
        server: 1,
        age_ms: 0,
    };
    assert!(reports.hear(notice, now));
    reports.record(1, &pause(2.0), None, now);
    let rest = seconds(2.0);
    assert_eq!(reports.withheld(1, now), Some(Withheld::Paused { rest }));
    let later = now + seconds(2.0);
    assert_eq!(reports.withheld(1, later), Some(Withheld::SaidToLeave));
}

fn limit(rate: f64) -> ServerReport {
    ServerReport {
        limit: Some(rate),
        ..ServerReport::default()
    }
}

/// A response in transit when the limit was named would end it, or the limit would never end.
#[test]
fn a_limit_ends_with_a_response_to_a_later_request_that_names_none() {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let named = ReportNews::Limit {
        rate: 3.5,
        is_cut: false,
    };
    assert_eq!(reports.record(1, &limit(3.5), Some(now), now), [named]);
    assert_eq!(reports.record(1, &limit(3.5), Some(now), now), []);
    let (later, silent) = (now + seconds(1.0), ServerReport::default());
    assert_eq!(reports.record(1, &silent, Some(now), later), []);
    // A late copy of a response proves nothing, whenever its request was sent.
    assert_eq!(reports.record(1, &silent, None, later), []);
    assert_eq!(reports.limit(1, later), Some(3.5));
    let ended = [ReportNews::LimitEnded];
    assert_eq!(reports.record(1, &silent, Some(later), later), ended);
    assert_eq!(reports.limit(1, later), None);
    assert_eq!(reports.record(1, &silent, Some(later), later), []);
}

/// Units of a limit that ended and came back would be used twice if the server were forgotten meanwhile.
#[test]
fn a_limit_belongs_to_the_incarnation_whatever_the_store_lists() {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    reports.record(1, &limit(0.5), Some(now), now);
    reports.retain_registered([named(2)], now + seconds(60.0));
    assert_eq!(reports.limit(1, now + seconds(60.0)), Some(0.5));
    assert_eq!(reports.limit(2, now), None);
    // It was not named for long.
    assert_eq!(reports.limit(1, now + seconds(121.0)), None);
}

#[rstest]
#[case::zero(0.0, MIN_RATE)]
#[case::huge(1e12, MAX_RATE)]
fn an_absurd_limit_is_cut(#[case] named: f64, #[case] rate: f64) {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    let news = ReportNews::Limit { rate, is_cut: true };
    assert_eq!(reports.record(1, &limit(named), Some(now), now), [news]);
}

#[rstest]
#[case::negative(-2.0)]
#[case::infinite(f64::INFINITY)]
fn a_limit_that_makes_no_sense_changes_nothing(#[case] value: f64) {
    let (mut reports, now) = (ServerReports::default(), Instant::now());
    reports.record(1, &limit(3.5), Some(now), now);
    let ignored = [ReportNews::Ignored { value }];
    assert_eq!(reports.record(1, &limit(value), Some(now), now), ignored);
    assert_eq!(reports.limit(1, now), Some(3.5));
}

/// Messages that arrive late or out of order would bring back a limit that has ended, or another one.
#[test]
fn the_latest_that_a_router_or_its_peers_know_of_a_limit_holds() {
    let mut rng = Pcg64::seed_from_u64(1);
    let (mut told, mut hears, now) = (
        ServerReports::default(),
        ServerReports::default(),
        Instant::now(),
    );
    told.record(1, &limit(3.5), Some(now), now);
    let at = now + seconds(0.5);
    let early = told.limit_notices(&mut rng, at);
    let late_by = |notices: &[LimitNotice], ms| {
        notices.first().map(|notice| LimitNotice {
            age_ms: notice.age_ms + ms,
            ..*notice
        })
    };
    assert!(early.iter().all(|notice| hears.hear_limit(*notice, at)));
    assert_eq!(hears.limit(1, at), Some(3.5));
    // Peers' reports are not resent.
    assert_eq!(hears.limit_notices(&mut rng, at), []);
    // The server names none any more to one router, which reports it.
    let later = now + seconds(1.0);
    told.record(1, &ServerReport::default(), Some(later), later);
    let ended = told.limit_notices(&mut rng, later);
    assert!(ended.iter().all(|notice| hears.hear_limit(*notice, later)));
    assert_eq!(hears.limit(1, later), None);
    // The earlier message arrives again, later.
    let again = late_by(&early, 600).expect("there was a message");
    assert!(!hears.hear_limit(again, now + seconds(1.1)));
    assert_eq!(hears.limit(1, later), None);
    // Old messages and invalid rates change nothing.
    let old = late_by(&early, 60_000).expect("there was a message");
    assert!(!hears.hear_limit(old, later));
    let rate = Some(f64::NAN);
    assert!(!hears.hear_limit(LimitNotice { rate, ..again }, now + seconds(2.0)));
}

const SERVERS: u32 = 5;
const PAUSE: Duration = Duration::from_secs(2);
/// Time after a rejection in which requests in transit may still arrive.
const REACTION_TIME: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);
/// Time for which a server runs a request.
const WORK: Duration = Duration::from_millis(60);

/// When servers reject requests and ask for pauses.
#[derive(Clone, Copy, Debug)]
enum Pattern {
    InTurn,
    AllAtOnce,
}

impl Pattern {
    fn rejects(self, server: u32, at: Duration) -> bool {
        let second = at.as_secs() as u32;
        match self {
            Self::InTurn => second % SERVERS == server,
            Self::AllAtOnce => (2..4).contains(&second),
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    sent: u32,
    refused: u32,
    /// Most requests in progress at a server.
    busiest: usize,
}

/// Requests of a crowd at routers that share five servers which ask for pauses.
///
/// Checks that no router sends a server more than two requests in the rest of a pause.
fn play(routers: usize, pattern: Pattern, requests_per_step: f64, seed: u64) -> Totals {
    let mut rng = Pcg64::seed_from_u64(seed);
    let start = Instant::now();
    let mut totals = Totals::default();
    let mut reports = vec![ServerReports::default(); routers];
    let mut in_progress: Vec<Vec<Instant>> = vec![Vec::new(); SERVERS as usize];
    // Pauses asked for and requests sent in them, by router and server.
    let mut pauses = vec![vec![None::<(Instant, u32)>; SERVERS as usize]; routers];
    for step in 0..800_u32 {
        let at = STEP * step;
        let now = start + at;
        for running in &mut in_progress {
            running.retain(|end| now < *end);
        }
        let whole = requests_per_step as u32;
        let requests = whole + u32::from(rng.random::<f64>() < requests_per_step.fract());
        for _ in 0..requests {
            let router = rng.random_range(0..routers);
            let views: Vec<_> = (0..SERVERS)
                .map(|server| ServerView {
                    name: "",
                    load: in_progress[server as usize].len() as f64,
                    unread_tokens: 0,
                    slots: 8,
                    usable: reports[router].withheld(server, now).is_none(),
                    counts_in_mean: true,
                    miss_tokens: 0.0,
                    has_prompt: false,
                })
                .collect();
            let Some(server) = server_choice::for_any(&views, &mut rng) else {
                totals.refused += 1;
                continue;
            };
            totals.sent += 1;
            if let Some((asked, sent)) = &mut pauses[router][server] {
                let since = now - *asked;
                if (REACTION_TIME..PAUSE).contains(&since) {
                    *sent += 1;
                    assert!(*sent <= 2, "router {router}, server {server}");
                }
            }
            if pattern.rejects(server as u32, at) {
                let report = pause(PAUSE.as_secs_f64());
                reports[router].record(server as u32, &report, Some(now), now);
                pauses[router][server] = Some((now, 0));
            } else {
                in_progress[server].push(now + WORK);
                totals.busiest = totals.busiest.max(in_progress[server].len());
            }
        }
    }
    totals
}

/// Servers that asked for a pause got requests in it, or the others were overloaded by the diverted requests.
#[rstest]
fn pauses_hold_and_the_other_servers_share_the_load(
    #[values(1, 5, 60, 300)] routers: usize,
    #[values(Pattern::InTurn, Pattern::AllAtOnce)] pattern: Pattern,
    #[values(0.5, 3.0)] requests_per_step: f64,
) {
    for seed in 0..4 {
        let totals = play(routers, pattern, requests_per_step, seed);
        assert!(totals.sent > 0);
        // Two of five servers pause at a time if they do so in turn; the others share the requests.
        let in_progress = requests_per_step * WORK.div_duration_f64(STEP);
        if matches!(pattern, Pattern::InTurn) {
            assert_eq!(totals.refused, 0);
            let even = in_progress / f64::from(SERVERS - 3);
            assert!((totals.busiest as f64) < 2.0 * even + 4.0, "{totals:?}");
        } else if routers == 1 {
            assert!(totals.refused > 0);
        }
    }
}
