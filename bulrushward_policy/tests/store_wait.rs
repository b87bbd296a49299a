//! Changes are known in time whichever single responses of the store are lost or late.

use std::time::{Duration, Instant};

use bulrushward_policy::store_wait::{PendingWait, WaitLog};
use proptest::{collection::vec, prelude::*};

/// Largest time between two checks of a router.
const CHECK_GAP: Duration = Duration::from_millis(1_200);
/// Time after which a check without a response is given up.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// Bound within which a change must be known if one response is lost.
const BOUND: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);

/// Delivery of a response.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives,
    Late(u64),
    Lost,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Arrives),
        2 => (1_u64..80).prop_map(Fate::Late),
        2 => Just(Fate::Lost),
    ]
}

/// A response on its way to the router.
#[derive(Clone, Copy, Debug)]
struct Response {
    at: Instant,
    revision: u64,
}

struct Router {
    log: WaitLog,
    known: u64,
    /// Response to the waiting call, once there are changes.
    response: Option<Response>,
    /// Whether the store has answered the waiting call.
    is_answered: bool,
    next_check: Instant,
    /// Check that returned changes, and when the waiting call must have ended.
    suspected: Option<(PendingWait, Instant)>,
}

fn arrival(fate: Fate, now: Instant) -> Option<Instant> {
    match fate {
        Fate::Arrives => Some(now),
        Fate::Late(ms) => Some(now + Duration::from_millis(ms)),
        Fate::Lost => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against routers that use an outdated view for as long as a call waits whose response was lost.
    #[test]
    fn a_change_is_known_in_time_though_the_response_that_tells_of_it_is_lost(
        gaps in vec(1_u64..4_000, 1..6),
        wait_fates in vec(fate(), 8),
        check_gaps in vec(400_u64..1_200, 60),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut changes = Vec::new();
        let mut at = start;
        for gap in gaps {
            at += Duration::from_millis(gap);
            changes.push(at);
        }
        let end = at + 2 * BOUND;
        let mut check_gaps = check_gaps.into_iter().cycle();
        let mut wait_fates = wait_fates.into_iter().cycle();
        let mut lost_before = false;
        let mut router = Router {
            log: WaitLog::default(),
            known: 0,
            response: None,
            is_answered: false,
            next_check: start,
            suspected: None,
        };
        router.log.begin(0, now);
        while now < end {
            let revision = changes.iter().filter(|at| **at <= now).count() as u64;
            let pending = router.log.pending().expect("a call is always waiting");
            if revision > pending.after && !router.is_answered {
                router.is_answered = true;
                let mut fate = wait_fates.next().expect("it never ends");
                // Two in a row are two losses, of which each has its own bound.
                if matches!(fate, Fate::Lost) && std::mem::replace(&mut lost_before, true) {
                    fate = Fate::Arrives;
                    lost_before = false;
                }
                router.response = arrival(fate, now).map(|at| Response { at, revision });
            }
            let is_resent = match router.response {
                Some(response) if response.at <= now => {
                    router.known = router.known.max(response.revision);
                    true
                }
                _ => false,
            };
            let is_lost = router.suspected.is_some_and(|(checked, lost_at)| {
                now >= lost_at && router.log.is_waiting(checked)
            });
            if is_resent || is_lost {
                router.log.end();
                (router.response, router.is_answered, router.suspected) = (None, false, None);
                router.log.begin(router.known, now);
            }
            if now >= router.next_check {
                router.next_check = now + Duration::from_millis(check_gaps.next().expect("it never ends"));
                let pending = router.log.pending().expect("a call is always waiting");
                if revision > pending.after && router.suspected.is_none() {
                    router.suspected = Some((pending, WaitLog::lost_at(now, Duration::ZERO)));
                }
            }
            // All that changed longer ago than the bound is known.
            let due = changes.iter().filter(|at| **at + BOUND <= now).count() as u64;
            prop_assert!(router.known >= due, "{} of {due} are known", router.known);
            now += STEP;
        }
        prop_assert!(CHECK_GAP + CHECK_TIMEOUT <= BOUND, "a lost check is followed by another in time");
    }
}

#[test]
fn a_call_that_waits_while_a_peer_is_ahead_has_lost_its_response() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut log = WaitLog::default();
    assert!(!log.observe_peers(true, at(0)), "no call is waiting");
    log.begin(5, at(100));
    assert!(!log.observe_peers(true, at(200)));
    assert!(!log.observe_peers(true, at(400)));
    assert!(log.observe_peers(true, at(500)));
    log.begin(5, at(500));
    assert!(
        !log.observe_peers(true, at(600)),
        "the next call has its own time"
    );
    assert!(!log.observe_peers(false, at(800)));
    assert!(!log.observe_peers(true, at(1_000)));
}

#[test]
fn a_call_that_has_ended_is_not_lost() {
    let now = Instant::now();
    let mut log = WaitLog::default();
    log.begin(5, now);
    let checked = log.pending().expect("the call is waiting");
    assert!(log.is_waiting(checked));
    log.end();
    log.begin(6, now);
    assert!(!log.is_waiting(checked));
}

// Guards against giving up a call whose large response is arriving, as checks and peers tell of the change meanwhile.
#[test]
fn a_call_whose_response_is_arriving_is_not_lost() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut log = WaitLog::default();
    log.begin(5, at(0));
    let checked = log.pending().expect("the call is waiting");
    assert!(!log.observe_peers(true, at(100)));
    log.record_response();
    assert!(!log.is_waiting(checked));
    assert_eq!(log.pending(), None, "there is nothing to check");
    assert!(!log.observe_peers(true, at(1_500)));
    log.begin(6, at(1_500));
    assert!(!log.observe_peers(true, at(1_500)));
    assert!(
        log.observe_peers(true, at(1_800)),
        "the next call can be lost"
    );
}
