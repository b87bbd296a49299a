//! Generates the requests of a run: chats of several organisations that continue after pauses.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use bulrushward_policy::chat_key;
use bulrushward_protocol::{ChatKey, WorkUnits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumCount, VariantArray};

use crate::{Case, Size};

/// Share of requests that the large organisations send outside a surge.
const LARGE_SHARE: f64 = 0.6;
/// Share of requests that the large organisations send in a surge.
const LARGE_SHARE_IN_SURGE: f64 = 0.8;
/// Factor of the request rate in a surge: with the shares above, the small organisations keep
/// their rate and the large ones add the rest.
const SURGE_RATE_FACTOR: f64 = 2.0;
/// Number of large organisations.
pub(crate) const LARGE_ORGANISATIONS: usize = 3;
/// Share of requests that open a new chat even if another chat is due to continue.
const NEW_CHAT_SHARE: f64 = 0.1;
/// Probability that a chat continues after a turn.
const CONTINUE_CHANCE: f64 = 0.85;
/// Share of pauses that are long.
const LONG_PAUSE_SHARE: f64 = 0.1;
/// Mean of the short pauses.
const SHORT_PAUSE: Duration = Duration::from_secs(90);
/// Mean of the long pauses.
const LONG_PAUSE: Duration = Duration::from_hours(2);
/// Share of the large organisations' chats that come from copies of a script and therefore open
/// with identical messages.
const COPIED_SCRIPT_SHARE: f64 = 0.03;
/// Number of tokens of the prompt template that all chats of an organisation share.
const TEMPLATE_TOKENS: u64 = 600;
/// Number of prompt tokens that cost as much as one generated token.
pub(crate) const PROMPT_TOKENS_PER_UNIT: u64 = 256;
/// Nominal time per generated token, from which the end of a turn is estimated.
const TOKEN_INTERVAL: Duration = Duration::from_millis(39);

/// A kind of work.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A portfolio review or the draft of a policy document, which must finish.
    Long,
    /// An answer to an examiner or a help desk caller, which must be quick.
    Answer,
    /// A verdict note or ticket label, which is short and frequent.
    Note,
}

impl Kind {
    /// Returns the share of new chats of this kind.
    fn share(self) -> f64 {
        match self {
            Self::Long => 0.11,
            Self::Answer => 0.44,
            Self::Note => 0.45,
        }
    }

    /// Returns the mean number of generated tokens, which is also what routers estimate.
    #[must_use]
    pub fn mean_output(self) -> u64 {
        match self {
            Self::Long => 2_500,
            Self::Answer => 300,
            Self::Note => 40,
        }
    }

    /// Returns the mean number of new prompt tokens in a turn.
    fn mean_input(self) -> u64 {
        match self {
            Self::Long => 6_000,
            Self::Answer => 500,
            Self::Note => 200,
        }
    }

    /// Returns the share of slots reserved for this kind.
    pub(crate) fn reserved_share(self) -> f64 {
        match self {
            Self::Long => 0.3,
            Self::Answer | Self::Note => 0.1,
        }
    }

    /// Returns the time after which a response is useless.
    pub(crate) fn deadline(self) -> Duration {
        match self {
            Self::Long => Duration::from_hours(1),
            Self::Answer => Duration::from_mins(2),
            Self::Note => Duration::from_secs(30),
        }
    }

    /// Returns the queueing priority; higher priorities start first.
    pub(crate) fn priority(self) -> u8 {
        match self {
            Self::Long => 0,
            Self::Answer => 2,
            Self::Note => 1,
        }
    }
}

/// One request of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the router that the platform's load balancer chose.
    pub router: usize,
    /// Index of the organisation; the first three are large.
    pub organisation: usize,
    /// Kind of work.
    pub kind: Kind,
    /// Placement key of the chat.
    pub chat: ChatKey,
    /// Id of the conversation; chats of copied scripts share a key but not a conversation.
    pub conversation: u64,
    /// Number of prompt tokens of earlier turns.
    pub history: u64,
    /// Number of new prompt tokens in this turn.
    pub input: u64,
    /// Number of tokens that will be generated, which the fleet does not know.
    pub output: u64,
}

impl Arrival {
    /// Returns the number of tokens of the prompt.
    #[must_use]
    pub fn prompt(&self) -> u64 {
        TEMPLATE_TOKENS + self.history + self.input
    }

    /// Returns the number of tokens of the template that all chats of the organisation share.
    #[must_use]
    pub fn template(&self) -> u64 {
        TEMPLATE_TOKENS
    }

    /// Returns the work that a router estimates.
    #[must_use]
    pub fn work(&self) -> WorkUnits {
        self.kind.mean_output() + self.prompt() / PROMPT_TOKENS_PER_UNIT
    }
}

/// A chat that pauses before its next turn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PausedChat {
    due: Duration,
    conversation: u64,
    chat: ChatKey,
    organisation: usize,
    /// Index in [`Kind::VARIANTS`].
    kind: usize,
    history: u64,
}

/// Generates all requests of a run; equal seeds generate equal requests.
#[must_use]
pub fn generate(size: &Size, case: Case, seed: u64) -> Vec<Arrival> {
    let mut generator = Generator {
        size,
        rng: Pcg64Mcg::seed_from_u64(seed),
        paused: [BinaryHeap::new(), BinaryHeap::new()],
        conversations: 0,
    };
    let mut arrivals = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        let surge = case == Case::Surge && size.surge().contains(&now);
        let rate = size.rate * if surge { SURGE_RATE_FACTOR } else { 1.0 };
        now += Duration::from_secs_f64(generator.exponential(1.0 / rate));
        if now >= size.duration {
            return arrivals;
        }
        arrivals.push(generator.arrival(now, surge));
    }
}

struct Generator<'a> {
    size: &'a Size,
    rng: Pcg64Mcg,
    /// Paused chats of the small organisations and of the large ones.
    paused: [BinaryHeap<Reverse<PausedChat>>; 2],
    conversations: u64,
}

impl Generator<'_> {
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrival(&mut self, now: Duration, surge: bool) -> Arrival {
        let share = if surge {
            LARGE_SHARE_IN_SURGE
        } else {
            LARGE_SHARE
        };
        let large = self.rng.random_bool(share);
        let turn = self.next_turn(now, large);
        let kind = Kind::VARIANTS[turn.kind];
        let input = 1 + self.exponential(kind.mean_input() as f64) as u64;
        let output = 1 + self.exponential(kind.mean_output() as f64) as u64;
        if self.rng.random_bool(CONTINUE_CHANCE) {
            let pause = self.pause();
            self.paused[usize::from(large)].push(Reverse(PausedChat {
                due: now + TOKEN_INTERVAL * output as u32 + pause,
                history: turn.history + input + output,
                ..turn
            }));
        }
        Arrival {
            at: now,
            router: self.rng.random_range(0..self.size.routers),
            organisation: turn.organisation,
            kind,
            chat: turn.chat,
            conversation: turn.conversation,
            history: turn.history,
            input,
            output,
        }
    }

    fn next_turn(&mut self, now: Duration, large: bool) -> PausedChat {
        let opens_new = self.rng.random_bool(NEW_CHAT_SHARE);
        let paused = &mut self.paused[usize::from(large)];
        let is_due = paused.peek().is_some_and(|Reverse(chat)| chat.due <= now);
        if is_due
            && !opens_new
            && let Some(Reverse(chat)) = paused.pop()
        {
            return chat;
        }
        self.new_chat(now, large)
    }

    fn new_chat(&mut self, now: Duration, large: bool) -> PausedChat {
        self.conversations += 1;
        let conversation = self.conversations;
        let organisation = if large {
            self.rng.random_range(0..LARGE_ORGANISATIONS)
        } else {
            self.rng
                .random_range(LARGE_ORGANISATIONS..self.size.organisations)
        };
        let name = format!("organisation-{organisation}");
        let is_copied = large && self.rng.random_bool(COPIED_SCRIPT_SHARE);
        let chat = if is_copied {
            chat_key::from_opening(&name, "model", ["You are a helpful assistant."])
        } else {
            chat_key::from_id(&name, &conversation.to_string())
        };
        let kind = self.kind();
        PausedChat {
            due: now,
            conversation,
            chat,
            organisation,
            kind,
            history: 0,
        }
    }

    fn kind(&mut self) -> usize {
        let mut rest = self.rng.random::<f64>();
        for (index, kind) in Kind::VARIANTS.iter().enumerate() {
            rest -= kind.share();
            if rest < 0.0 {
                return index;
            }
        }
        Kind::VARIANTS.len() - 1
    }

    fn pause(&mut self) -> Duration {
        let mean = if self.rng.random_bool(LONG_PAUSE_SHARE) {
            LONG_PAUSE
        } else {
            SHORT_PAUSE
        };
        Duration::from_secs_f64(self.exponential(mean.as_secs_f64()))
    }
}
