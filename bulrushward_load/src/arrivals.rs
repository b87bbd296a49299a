//! Generates request arrivals from a seed: the time, chat and organisation of each request.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Settings of the arrival generator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalSettings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of requests.
    pub count: usize,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Mean pause between two requests of a chat.
    pub pause: Duration,
    /// Probability that a chat sends another request after each one.
    pub return_chance: f64,
    /// Number of organisations; the n-th one opens a share of chats proportional to 1 / n.
    pub organisations: usize,
}

/// One request of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the request, from 0.
    pub index: usize,
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the chat, from 0.
    pub chat: u64,
    /// Number of earlier requests of the chat.
    pub turn: u32,
    /// Index of the organisation, from 0.
    pub organisation: usize,
}

/// A chat that will send another request; the earliest due one sorts as the greatest, which a
/// [`BinaryHeap`] returns first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReturningChat {
    due: Reverse<Duration>,
    chat: u64,
    turn: u32,
    organisation: usize,
}

/// Generates all arrivals of a load: a Poisson process whose requests open or continue chats.
///
/// # Panics
///
/// Panics if the rate is not above 0 or there is no organisation.
#[must_use]
pub fn generate_arrivals(settings: &ArrivalSettings) -> Vec<Arrival> {
    assert!(settings.rate > 0.0, "the rate is {}", settings.rate);
    assert!(settings.organisations > 0, "there is no organisation");
    let mut generator = ArrivalGenerator {
        rng: Pcg64Mcg::seed_from_u64(settings.seed),
        settings: *settings,
        returns: BinaryHeap::new(),
        chats: 0,
    };
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::with_capacity(settings.count);
    for index in 0..settings.count {
        at += generator.exponential(Duration::from_secs_f64(1.0 / settings.rate));
        arrivals.push(generator.arrival(index, at));
    }
    arrivals
}

struct ArrivalGenerator {
    rng: Pcg64Mcg,
    settings: ArrivalSettings,
    returns: BinaryHeap<ReturningChat>,
    chats: u64,
}

impl ArrivalGenerator {
    fn arrival(&mut self, index: usize, at: Duration) -> Arrival {
        let due = self.returns.peek().is_some_and(|first| first.due.0 <= at);
        let returned = if due { self.returns.pop() } else { None };
        let (chat, turn, organisation) = match returned {
            Some(first) => (first.chat, first.turn, first.organisation),
            None => self.new_chat(),
        };
        if self.rng.random_bool(self.settings.return_chance) {
            let due = at + self.exponential(self.settings.pause);
            self.returns.push(ReturningChat {
                due: Reverse(due),
                chat,
                turn: turn + 1,
                organisation,
            });
        }
        Arrival {
            index,
            at,
            chat,
            turn,
            organisation,
        }
    }

    fn new_chat(&mut self) -> (u64, u32, usize) {
        let chat = self.chats;
        self.chats += 1;
        (chat, 0, self.organisation())
    }

    fn organisation(&mut self) -> usize {
        let count = self.settings.organisations;
        let share = |index: usize| 1.0 / (index as f64 + 1.0);
        let total: f64 = (0..count).map(share).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        for index in 0..count {
            remaining -= share(index);
            if remaining < 0.0 {
                return index;
            }
        }
        count - 1
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln())
    }
}
