//! A single lender: which asks get a place, and that no place or ask is kept forever.

use std::time::{Duration, Instant};

use bulrushward_policy::{
    place_lender::{Answer, Ask, PlaceLender, PlaceUse, RefusalReason, Reply},
    place_pools::{lenders, pool_count, pool_of},
    placement::Candidate,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const RESPONSE: Duration = Duration::from_millis(60);

struct Bench {
    lender: PlaceLender<u32>,
    rng: Pcg64,
    now: Instant,
    next: u64,
}

impl Bench {
    /// Creates a lender of one server that is known to respond within 60 ms.
    fn new(slots: u32) -> Self {
        let now = Instant::now();
        let mut lender = PlaceLender::new(now);
        lender.set_servers(&[(1, slots)], now);
        let mut bench = Self {
            lender,
            rng: Pcg64::seed_from_u64(3),
            now,
            next: 0,
        };
        let (id, _) = bench.ask(0, 1, 300, 4_000);
        assert_eq!(bench.granted(), [id]);
        bench.now += RESPONSE;
        let response = RESPONSE;
        bench
            .lender
            .finish(id, PlaceUse::Ended { response }, bench.now);
        bench
    }

    fn ask(
        &mut self,
        priority: u8,
        organisation: u64,
        target: u64,
        deadline: u64,
    ) -> (u64, Answer) {
        self.next += 1;
        let ask = Ask {
            id: self.next,
            borrower: 0,
            kind: 0,
            priority,
            organisation,
            usual_rate: 1.0,
            target: self.now + Duration::from_millis(target),
            deadline: self.now + Duration::from_millis(deadline),
            excluded: Vec::new(),
        };
        (self.next, self.lender.ask(ask, &mut self.rng, self.now))
    }

    fn poll(&mut self) -> Vec<Reply<u32>> {
        self.lender.poll(&mut self.rng, self.now)
    }

    fn granted(&mut self) -> Vec<u64> {
        let is_grant = |reply: &Reply<_>| matches!(reply.answer, Answer::Granted { .. });
        let replies = self.poll().into_iter();
        replies.filter(is_grant).map(|reply| reply.id).collect()
    }

    /// Lends all places.
    fn fill(&mut self) -> Vec<u64> {
        let mut filled = Vec::new();
        loop {
            let (id, _) = self.ask(0, 9, 300, 4_000);
            if self.granted().is_empty() {
                self.lender.withdraw(id, self.now);
                return filled;
            }
            filled.push(id);
        }
    }
}

#[test]
fn the_nearest_target_that_can_be_met_goes_first_and_late_asks_last() {
    let mut bench = Bench::new(6);
    let lent = bench.fill();
    let (late, _) = bench.ask(0, 1, 0, 800);
    let (far, _) = bench.ask(0, 1, 900, 4_000);
    let (near, _) = bench.ask(0, 1, 300, 4_000);
    bench.now += Duration::from_millis(10);
    for id in lent.iter().take(3) {
        let response = RESPONSE;
        bench
            .lender
            .finish(*id, PlaceUse::Ended { response }, bench.now);
    }
    assert_eq!(bench.granted(), [near, far, late]);
}

#[test]
fn places_of_dead_routers_and_of_callers_that_left_are_lent_again() {
    let mut bench = Bench::new(6);
    let lent = bench.fill();
    let (waiting, _) = bench.ask(0, 1, 300, 4_000);
    bench.lender.withdraw(lent[0], bench.now);
    assert_eq!(bench.granted(), [waiting]);
    assert_eq!(bench.lender.lent(), lent.len());
    // No router reports anything any more.
    bench.now += Duration::from_secs(1);
    bench.poll();
    assert_eq!(bench.lender.lent(), 0);
    assert_eq!(bench.lender.expired(), lent.len() as u64);
}

#[test]
fn an_ask_that_cannot_be_met_is_refused_at_once_or_when_this_is_known() {
    let mut bench = Bench::new(6);
    bench.fill();
    let (_, short) = bench.ask(0, 1, 30, 30);
    assert!(matches!(short, Answer::Refused { .. }), "{short:?}");
    let (id, waits) = bench.ask(0, 1, 300, 400);
    assert_eq!(waits, Answer::Waiting);
    // The places stay lent until after the target, and nothing is left for late asks.
    bench.now += Duration::from_millis(350);
    let replies = bench.poll();
    let refused = replies.iter().find(|reply| reply.id == id);
    let refused = refused.expect("the ask gets its answer");
    assert!(matches!(refused.answer, Answer::Refused { .. }));
    assert_eq!(bench.lender.waiting(), 0);
}

#[test]
fn a_repeated_ask_gets_the_same_place() {
    let mut bench = Bench::new(6);
    let (id, _) = bench.ask(0, 1, 300, 4_000);
    assert_eq!(bench.granted(), [id]);
    bench.next -= 1;
    let (_, again) = bench.ask(0, 1, 300, 4_000);
    assert!(matches!(again, Answer::Granted { server: 1, .. }));
    assert_eq!(bench.lender.lent(), 1);
}

#[test]
fn refused_callers_are_told_to_come_back_one_after_the_other() {
    let mut bench = Bench::new(6);
    bench.fill();
    let mut delays = Vec::new();
    for _refused in 0..200 {
        if let (_, Answer::Refused { retry_after, .. }) = bench.ask(0, 1, 50, 2_000) {
            delays.push(retry_after);
        }
    }
    assert!(delays.len() > 100);
    let (least, most) = (delays.iter().min(), delays.iter().max());
    assert!(least >= Some(&Duration::from_millis(200)));
    assert!(most <= Some(&Duration::from_millis(1_500)));
    assert!(least.map(|least| *least * 3) < most.copied());
}

#[test]
fn a_server_that_rejects_or_fails_is_lent_less_and_recovers() {
    let mut bench = Bench::new(6);
    let all = bench.fill();
    bench.lender.finish(all[0], PlaceUse::Rejected, bench.now);
    for id in &all[1..] {
        bench.lender.finish(*id, PlaceUse::NotUsed, bench.now);
    }
    assert!(bench.fill().len() < all.len());
    bench.now += Duration::from_secs(2);
    bench.poll();
    assert!(bench.fill().len() >= all.len());
    bench.now += Duration::from_secs(2);
    bench.poll();
    for _failure in 0..2 {
        let (id, _) = bench.ask(0, 1, 300, 4_000);
        assert_eq!(bench.granted(), [id]);
        bench.lender.finish(id, PlaceUse::Failed, bench.now);
    }
    assert_eq!(bench.fill(), []);
}

#[test]
fn ten_thousand_waiting_asks_are_handled_within_microseconds_and_not_more_are_kept() {
    let mut bench = Bench::new(60_000);
    let start = Instant::now();
    bench.lender.set_servers(&[(1, 1)], bench.now);
    bench.fill();
    let mut waiting = 0;
    for index in 0..12_000 {
        let (_, answer) = bench.ask(0, index % 40, 3_600_000, 7_200_000);
        waiting += u32::from(answer == Answer::Waiting);
    }
    assert_eq!(waiting, 10_000);
    println!("{:?} for each ask", start.elapsed() / 12_000);
}

#[test]
fn routers_agree_on_lenders_and_pools_stay_small() {
    let names: Vec<_> = (0..1_000).map(|index| format!("router-{index}")).collect();
    let candidate = |name| Candidate { name, weight: 1.0 };
    let mut routers: Vec<_> = names.iter().map(|name| candidate(name)).collect();
    for servers in [3, 20, 600_u32] {
        let pools = pool_count(servers as usize);
        let mut sizes = vec![0; pools as usize];
        for server in 0..servers {
            sizes[pool_of(server.wrapping_mul(0x9e37_79b1), pools) as usize] += 1;
        }
        assert!(
            sizes.iter().all(|size| (1..=16).contains(size)),
            "{sizes:?}"
        );
    }
    let [first, second] = lenders("a", 0, &routers)[..] else {
        panic!("a pool has two lenders");
    };
    // The second takes over when the first is dead.
    let next = names[second].as_str();
    routers.remove(first);
    assert_eq!(routers[lenders("a", 0, &routers)[0]].name, next);
}

#[test]
fn a_free_place_is_lent_to_an_ask_with_little_time_left() {
    let mut bench = Bench::new(6);
    let (id, answer) = bench.ask(0, 1, 0, 70);
    assert_eq!(answer, Answer::Waiting);
    assert_eq!(bench.granted(), [id]);
}

/// Asks were held until shortly before their deadline after all servers had left or asked for pauses.
#[test]
fn asks_are_refused_soon_after_no_server_can_be_used() {
    let mut bench = Bench::new(1);
    bench.fill();
    let in_line = [bench.ask(0, 1, 200, 4_000), bench.ask(0, 2, 600, 4_000)];
    assert!(in_line.iter().all(|(_, answer)| *answer == Answer::Waiting));
    bench.lender.set_servers(&[], bench.now);
    let mut refused = 0;
    for _ in 0..10 {
        bench.now += Duration::from_millis(50);
        let is_no_server = |reply: &Reply<_>| {
            let reason = RefusalReason::NoServer;
            matches!(reply.answer, Answer::Refused { reason: r, .. } if r == reason)
        };
        refused += bench
            .poll()
            .iter()
            .filter(|reply| is_no_server(reply))
            .count();
    }
    assert_eq!(refused, 2);
    assert_eq!(bench.lender.waiting(), 0);
}
