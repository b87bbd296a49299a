//! Placement of chats by weighted rendezvous hashing.

use bulrushward_protocol::ChatKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bits of a hash that make up a uniform number; as many as an `f64` holds exactly.
const UNIFORM_BITS: u32 = 53;

/// A backend server that a chat may be placed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Stable name of the backend server.
    pub name: &'a str,
    /// Share of chats relative to other candidates; not positive means none.
    pub weight: f64,
}

/// Candidates whose names are hashed once, for many placements.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    members: Vec<Member>,
}

/// A candidate as placement needs it.
#[derive(Clone, Copy, Debug)]
struct Member {
    index: usize,
    name_hash: u64,
    mean_time: f64,
}

impl Member {
    fn new(index: usize, candidate: &Candidate<'_>) -> Option<Self> {
        (candidate.weight > 0.0).then(|| Self {
            index,
            name_hash: xxh3_64(candidate.name.as_bytes()),
            mean_time: 1.0 / candidate.weight,
        })
    }

    /// Draws the uniform number in (0, 1) of this member for a chat.
    fn draw(&self, chat: ChatKey) -> f64 {
        let hash = xxh3_64_with_seed(&self.name_hash.to_le_bytes(), chat);
        ((hash >> (u64::BITS - UNIFORM_BITS)) as f64 + 0.5) / (1_u64 << UNIFORM_BITS) as f64
    }
}

/// A member and its arrival in a race in which the mean time is the inverse of the weight.
///
/// The first to arrive is preferred, which chooses each with probability proportional to its
/// weight.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    time: f64,
    index: usize,
}

impl Arrival {
    fn new(member: &Member, draw: f64) -> Self {
        Self {
            time: -draw.ln() * member.mean_time,
            index: member.index,
        }
    }

    fn is_before(&self, other: &Self) -> bool {
        self.time
            .total_cmp(&other.time)
            .then(self.index.cmp(&other.index))
            .is_lt()
    }
}

impl PlacementTable {
    /// Hashes the names of the candidates.
    #[must_use]
    pub fn new(candidates: &[Candidate<'_>]) -> Self {
        let members = candidates.iter().enumerate();
        Self {
            members: members
                .filter_map(|(index, candidate)| Member::new(index, candidate))
                .collect(),
        }
    }

    /// Returns the best `count` candidates for a chat, best first, as indices into the candidates.
    #[must_use]
    pub fn top(&self, chat: ChatKey, count: usize) -> Vec<usize> {
        top(chat, self.members.iter().copied(), count)
    }
}

/// Orders candidates by preference for a chat, best first, as indices into `candidates`.
///
/// All callers with equal candidates get the same order. A candidate that is added or removed
/// changes only the position of itself, so a chat moves only if its own candidate changes.
#[must_use]
pub fn rank(chat: ChatKey, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut arrivals: Vec<_> = members(candidates)
        .map(|member| Arrival::new(&member, member.draw(chat)))
        .collect();
    arrivals.sort_unstable_by(|a, b| a.time.total_cmp(&b.time).then(a.index.cmp(&b.index)));
    arrivals.into_iter().map(|arrival| arrival.index).collect()
}

/// Returns the first `count` of [`rank`] without ordering the others.
#[must_use]
pub fn rank_top(chat: ChatKey, candidates: &[Candidate<'_>], count: usize) -> Vec<usize> {
    top(chat, members(candidates), count)
}

fn members(candidates: &[Candidate<'_>]) -> impl Iterator<Item = Member> {
    let members = candidates.iter().enumerate();
    members.filter_map(|(index, candidate)| Member::new(index, candidate))
}

/// Keeps the first few arrivals in order while it looks at each member once.
fn top(chat: ChatKey, members: impl Iterator<Item = Member>, count: usize) -> Vec<usize> {
    let mut best: Vec<Arrival> = Vec::new();
    let mut last_time = if count == 0 { 0.0 } else { f64::INFINITY };
    for member in members {
        let draw = member.draw(chat);
        // As -ln(u) >= 1 - u, most members are out without a logarithm.
        if (1.0 - draw) * member.mean_time > last_time {
            continue;
        }
        let arrival = Arrival::new(&member, draw);
        let place = best.partition_point(|earlier| earlier.is_before(&arrival));
        if place >= count {
            continue;
        }
        best.truncate(count - 1);
        best.insert(place, arrival);
        if best.len() == count {
            last_time = best[count - 1].time;
        }
    }
    best.into_iter().map(|arrival| arrival.index).collect()
}
