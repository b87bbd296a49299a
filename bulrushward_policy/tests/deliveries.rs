//! No order of cuts, slow reads, responses and give-ups delivers a request after it was given up.

use std::time::{Duration, Instant};

use bulrushward_policy::delivery::{
    Close, Delivery, DeliveryWatch, RequestCycle, SendQueue, stall_limit,
};
use proptest::{collection::vec, prelude::*};

/// Interval at which a router observes its connections.
const INTERVAL: Duration = Duration::from_millis(200);
/// Buffer of a peer that does not read, in bytes.
const ROOM: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Send {
        len: u64,
    },
    /// Packets to the peer are lost, or those that it sends.
    Cut {
        to_peer: bool,
    },
    Heal,
    Pass {
        ms: u64,
    },
    /// The peer begins or stops reading.
    Reads(bool),
    Responds,
    /// The caller leaves, or the time of the request is over.
    GiveUp,
    /// The peer takes no more requests.
    Leaves,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..3_000).prop_map(|len| Step::Send { len }),
        2 => any::<bool>().prop_map(|to_peer| Step::Cut { to_peer }),
        2 => Just(Step::Heal),
        4 => (1_u64..2_500).prop_map(|ms| Step::Pass { ms }),
        2 => any::<bool>().prop_map(Step::Reads),
        2 => Just(Step::Responds),
        1 => Just(Step::GiveUp),
        1 => Just(Step::Leaves),
    ]
}

/// A request as router and peer know it.
#[derive(Debug)]
struct Sent {
    len: u64,
    watch: Option<DeliveryWatch>,
    /// Bytes that have arrived.
    arrived: u64,
    /// Bytes of which the acknowledgement has arrived at the router.
    acknowledged: u64,
    is_answered: bool,
    /// Bytes that had arrived when the request was given up.
    arrived_before_end: Option<u64>,
}

/// The directions in which packets are lost.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    to_peer: bool,
    from_peer: bool,
}

/// One connection and its two ends.
#[derive(Debug)]
struct Connection {
    now: Instant,
    cycle: RequestCycle,
    sent: Option<Sent>,
    cut: Cut,
    is_reading: bool,
    is_leaving: bool,
    /// Bytes that wait in the peer's buffer.
    unread: u64,
    /// Whether the router has reset the connection, so that its queue is gone.
    is_reset: bool,
    /// Time since which bytes were in flight and nothing was acknowledged.
    stuck_since: Option<Instant>,
}

impl Connection {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            cycle: RequestCycle::default(),
            sent: None,
            cut: Cut::default(),
            is_reading: true,
            is_leaving: false,
            unread: 0,
            is_reset: false,
            stuck_since: None,
        }
    }

    /// Moves what the network and the peer accept.
    fn transfer(&mut self) {
        let Some(sent) = &mut self.sent else { return };
        if !self.cut.to_peer && !self.is_reset {
            loop {
                if self.is_reading {
                    self.unread = 0;
                }
                let passed = (sent.len - sent.arrived).min(ROOM - self.unread);
                sent.arrived += passed;
                self.unread += passed;
                if passed == 0 || !self.is_reading {
                    break;
                }
            }
        }
        if !self.cut.from_peer && sent.acknowledged < sent.arrived {
            sent.acknowledged = sent.arrived;
            self.stuck_since = None;
        }
    }

    /// Whether the peer could acknowledge something but no acknowledgement comes.
    fn is_in_flight(&self) -> bool {
        let Some(sent) = &self.sent else { return false };
        let has_room = self.is_reading || self.unread < ROOM;
        sent.acknowledged < sent.arrived
            || (self.cut.to_peer && has_room && sent.arrived < sent.len)
    }

    fn observe(&mut self) -> Option<Delivery> {
        let (is_in_flight, now) = (self.is_in_flight(), self.now);
        let limit = stall_limit(self.is_leaving);
        let sent = self.sent.as_mut()?;
        let queue = SendQueue {
            written: sent.len,
            unacknowledged: sent.len - sent.acknowledged,
            is_in_flight,
        };
        Some(sent.watch.as_mut()?.observe(queue, limit, now))
    }

    fn give_up(&mut self) {
        if self.cycle.close() == Close::Reset {
            self.is_reset = true;
        }
        if let Some(sent) = &mut self.sent {
            sent.watch = None;
            if !sent.is_answered {
                sent.arrived_before_end.get_or_insert(sent.arrived);
            }
        }
    }

    /// Waits for an interval, at the end of which the router observes the connection.
    fn pass(&mut self, time: Duration) -> Result<(), TestCaseError> {
        self.transfer();
        self.now += time;
        if !self.is_in_flight() {
            self.stuck_since = None;
        }
        let stuck_since = *self.stuck_since.get_or_insert(self.now);
        let stuck_for = self.now.saturating_duration_since(stuck_since);
        match self.observe() {
            None => {}
            Some(Delivery::Delivered) => {
                let sent = self.sent.as_mut().expect("a request was sent");
                prop_assert_eq!(sent.arrived, sent.len);
                sent.watch = None;
            }
            Some(Delivery::Pending) => {
                let limit = stall_limit(self.is_leaving);
                prop_assert!(stuck_for < limit + INTERVAL, "held for {:?}", stuck_for);
            }
            Some(Delivery::Stalled) => {
                prop_assert!(
                    self.cut.to_peer || self.cut.from_peer,
                    "a peer that acknowledges was given up"
                );
                self.give_up();
            }
        }
        Ok(())
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Send { len } => {
                let is_free = self
                    .sent
                    .as_ref()
                    .is_none_or(|sent| sent.arrived == sent.len);
                if self.cycle.close() == Close::InOrder && is_free && !self.is_reset {
                    self.cycle.begin();
                    self.stuck_since = None;
                    self.sent = Some(Sent {
                        len,
                        watch: Some(DeliveryWatch::new(len - 1, self.now)),
                        arrived: 0,
                        acknowledged: 0,
                        is_answered: false,
                        arrived_before_end: None,
                    });
                }
            }
            Step::Cut { to_peer: true } => self.cut.to_peer = true,
            Step::Cut { to_peer: false } => self.cut.from_peer = true,
            Step::Heal => self.cut = Cut::default(),
            Step::Reads(reads) => self.is_reading = reads,
            Step::Leaves => self.is_leaving = true,
            Step::GiveUp => self.give_up(),
            Step::Responds => {
                let has_arrived = self.sent.as_ref().is_some_and(|sent| sent.arrived > 0);
                if has_arrived && !self.cut.from_peer && !self.is_reset {
                    self.cycle.complete();
                    if let Some(sent) = &mut self.sent {
                        sent.watch = None;
                        sent.is_answered = true;
                    }
                }
            }
            Step::Pass { ms } => {
                let mut left = Duration::from_millis(ms);
                while !left.is_zero() {
                    let time = left.min(INTERVAL);
                    self.pass(time)?;
                    left -= time;
                }
            }
        }
        self.transfer();
        if let Some(sent) = &self.sent
            && let Some(before_end) = sent.arrived_before_end
        {
            prop_assert_eq!(sent.arrived, before_end);
        }
        Ok(())
    }
}

fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut connection = Connection::new();
    for step in steps {
        connection.apply(*step)?;
    }
    // The network works again and the peer reads.
    for step in [Step::Heal, Step::Reads(true), Step::Pass { ms: 3_000 }] {
        connection.apply(step)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against requests that reach a server after they were given up, and against give-ups of servers that read
    /// slowly.
    #[test]
    fn a_request_that_was_given_up_is_not_delivered_later(steps in vec(step(), 1..60)) {
        check(&steps)?;
    }
}

/// Guards against an acknowledgement between two observations that does not count as progress.
#[test]
fn an_acknowledgement_between_two_cuts_is_progress() {
    let steps = [
        Step::Reads(false),
        Step::Cut { to_peer: false },
        Step::Send { len: 1_001 },
        Step::Pass { ms: 365 },
        Step::Heal,
        Step::Cut { to_peer: false },
        Step::Reads(true),
        Step::Pass { ms: 646 },
        Step::Pass { ms: 889 },
    ];
    check(&steps).expect("the delivery is observed");
}
