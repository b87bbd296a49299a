//! Placement of chats by weighted rendezvous hashing.

use bulrushward_protocol::ChatKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bits of a hash used for a uniform number: as many as an `f64` represents exactly.
const HASH_BITS: u32 = 53;

/// A backend server that a chat may be placed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Stable name of the backend server.
    pub name: &'a str,
    /// Share of chats relative to other candidates; zero or less means none.
    pub weight: f64,
}

/// Candidates with their name hashes computed once, for many placements.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    members: Vec<Member>,
}

/// A candidate with positive weight, prepared for scoring.
#[derive(Clone, Copy, Debug)]
struct Member {
    index: usize,
    name_hash: u64,
    inverse_weight: f64,
}

impl Member {
    fn new(index: usize, candidate: &Candidate<'_>) -> Option<Self> {
        (candidate.weight > 0.0).then(|| Self {
            index,
            name_hash: xxh3_64(candidate.name.as_bytes()),
            inverse_weight: 1.0 / candidate.weight,
        })
    }

    /// Returns the hash of this member and a chat as a uniform number in (0, 1).
    fn uniform(&self, chat: ChatKey) -> f64 {
        let hash = xxh3_64_with_seed(&self.name_hash.to_le_bytes(), chat);
        ((hash >> (u64::BITS - HASH_BITS)) as f64 + 0.5) / (1_u64 << HASH_BITS) as f64
    }
}

/// The score of a member for a chat; the lowest is preferred.
///
/// Scores are exponentially distributed with the inverse of the weight as their mean, so each
/// member has the lowest score with a probability proportional to its weight.
#[derive(Clone, Copy, Debug)]
struct Score {
    value: f64,
    index: usize,
}

impl Score {
    fn new(member: &Member, uniform: f64) -> Self {
        Self {
            value: -uniform.ln() * member.inverse_weight,
            index: member.index,
        }
    }

    fn is_before(&self, other: &Self) -> bool {
        self.value
            .total_cmp(&other.value)
            .then(self.index.cmp(&other.index))
            .is_lt()
    }
}

impl PlacementTable {
    /// Creates a table by hashing the names of the candidates.
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
/// Every process with the same candidates computes the same order. Adding or removing a candidate
/// keeps the relative order of the others, so a chat moves only if its own candidate changes.
#[must_use]
pub fn rank(chat: ChatKey, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut scores: Vec<_> = members(candidates)
        .map(|member| Score::new(&member, member.uniform(chat)))
        .collect();
    scores.sort_unstable_by(|a, b| a.value.total_cmp(&b.value).then(a.index.cmp(&b.index)));
    scores.into_iter().map(|score| score.index).collect()
}

/// Returns the first `count` of [`rank`] without sorting the others.
#[must_use]
pub fn rank_top(chat: ChatKey, candidates: &[Candidate<'_>], count: usize) -> Vec<usize> {
    top(chat, members(candidates), count)
}

fn members(candidates: &[Candidate<'_>]) -> impl Iterator<Item = Member> {
    let members = candidates.iter().enumerate();
    members.filter_map(|(index, candidate)| Member::new(index, candidate))
}

/// Returns the members with the `count` lowest scores, best first, in a single pass.
fn top(chat: ChatKey, members: impl Iterator<Item = Member>, count: usize) -> Vec<usize> {
    let mut best: Vec<Score> = Vec::new();
    let mut cutoff = if count == 0 { 0.0 } else { f64::INFINITY };
    for member in members {
        let uniform = member.uniform(chat);
        // As -ln(u) >= 1 - u, most members are ruled out without computing a logarithm.
        if (1.0 - uniform) * member.inverse_weight > cutoff {
            continue;
        }
        let score = Score::new(&member, uniform);
        let position = best.partition_point(|earlier| earlier.is_before(&score));
        if position >= count {
            continue;
        }
        best.truncate(count - 1);
        best.insert(position, score);
        if best.len() == count {
            cutoff = best[count - 1].value;
        }
    }
    best.into_iter().map(|score| score.index).collect()
}
