//! Placement of chats by weighted rendezvous hashing.

use bulrushward_protocol::ChatKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A backend server that a chat may be placed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Stable name of the backend server.
    pub name: &'a str,
    /// Share of chats relative to other candidates; not positive means none.
    pub weight: f64,
}

/// Orders candidates by preference for a chat, best first, as indices into `candidates`.
///
/// All callers with equal candidates get the same order. A candidate that is added or removed
/// changes only the position of itself, so a chat moves only if its own candidate changes.
#[must_use]
pub fn rank(chat: ChatKey, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let mut scored: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.weight > 0.0)
        .map(|(index, candidate)| (score(chat, candidate), index))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, index)| index).collect()
}

/// Computes the weighted rendezvous score `weight / -ln(u)` with `u` uniform in (0, 1).
fn score(chat: ChatKey, candidate: &Candidate<'_>) -> f64 {
    let hash = xxh3_64_with_seed(candidate.name.as_bytes(), chat);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    candidate.weight / -uniform.ln()
}
