//! Planned stops of direct routers.

use std::time::{Duration, Instant};

use bulrushward_policy::planned_stop::{PlannedStop, StopPhase, StopSend};
use proptest::prelude::*;

const GRACE: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn send(is_repeatable: bool, needed_ms: u64) -> StopSend {
    StopSend {
        is_repeatable,
        time_needed: ms(needed_ms),
    }
}

/// Guards against another order or length of the phases than operators were told.
#[test]
fn a_stop_takes_requests_then_refuses_them_and_then_ends() {
    let begun = Instant::now();
    let plan = PlannedStop::new(begun, GRACE);
    assert_eq!(plan.phase(begun), StopPhase::Accepting);
    assert_eq!(plan.phase(begun + ms(2_599)), StopPhase::Accepting);
    assert_eq!(plan.phase(begun + ms(2_600)), StopPhase::Refusing);
    assert_eq!(plan.phase(begun + ms(7_699)), StopPhase::Refusing);
    assert_eq!(plan.phase(begun + ms(7_700)), StopPhase::Ending);
    assert_eq!(plan.exit(), begun + ms(7_850));
}

/// Guards against late repeats that cannot end, and against the refusal of those that can.
#[test]
fn a_request_that_may_be_repeated_is_sent_while_it_can_end() {
    let begun = Instant::now();
    let plan = PlannedStop::new(begun, GRACE);
    assert_eq!(plan.send_end(send(true, 700)), begun + ms(7_000));
    assert_eq!(plan.send_end(send(true, 60_000)), begun + ms(2_600));
    assert_eq!(plan.send_end(send(false, 0)), begun + ms(2_600));
}

proptest! {
    /// Guards against requests that are sent although they must not be, or can no longer end.
    #[test]
    fn nothing_is_sent_that_must_not_be_or_cannot_end(
        grace_ms in 0_u64..60_000,
        needed_ms in 0_u64..100_000,
        is_repeatable: bool,
        at_ms in 0_u64..70_000,
    ) {
        let begun = Instant::now() + Duration::from_hours(1);
        let plan = PlannedStop::new(begun, ms(grace_ms));
        let now = begun + ms(at_ms);
        let is_sent = now < plan.send_end(send(is_repeatable, needed_ms));
        match plan.phase(now) {
            StopPhase::Accepting => prop_assert!(is_sent),
            StopPhase::Refusing if is_repeatable => {
                prop_assert_eq!(is_sent, now + ms(needed_ms) < plan.ending());
            }
            StopPhase::Refusing | StopPhase::Ending => prop_assert!(!is_sent),
        }
    }

    /// Guards against a process that is killed while it still writes answers, and against phases that go back.
    #[test]
    fn the_phases_follow_each_other_and_end_before_the_kill(grace_ms in 300_u64..600_000, at_ms in 0_u64..700_000) {
        let begun = Instant::now();
        let plan = PlannedStop::new(begun, ms(grace_ms));
        let now = begun + ms(at_ms);
        prop_assert!(begun <= plan.refusing() && plan.refusing() <= plan.ending());
        prop_assert!(plan.ending() < plan.exit() && plan.exit() < begun + ms(grace_ms));
        prop_assert!(plan.phase(now) <= plan.phase(now + ms(1)));
    }
}
