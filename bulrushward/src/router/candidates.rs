//! Chooses the agents to which a request may be sent, in order of preference.

use std::time::Instant;

use bulrushward_policy::placement::{Candidate, rank_top};
use bulrushward_protocol::{MemberRecord, MemberState};

use super::{Router, routed_request::RoutedRequest};

/// Maximum number of agents that one request tries.
const MAX_CANDIDATES: usize = 8;

/// Returns the agents for a request, best first; unresponsive agents come last.
pub(crate) fn for_request(router: &Router, req: &RoutedRequest) -> Vec<MemberRecord> {
    let now = Instant::now();
    let (responsive, unresponsive): (Vec<MemberRecord>, Vec<MemberRecord>) =
        live_agents(router, req)
            .into_iter()
            .partition(|agent| !router.unresponsive.is_unresponsive(agent, now));
    let mut chosen = rank_agents(req, &responsive, MAX_CANDIDATES);
    chosen.extend(rank_agents(
        req,
        &unresponsive,
        MAX_CANDIDATES - chosen.len(),
    ));
    chosen
}

fn rank_agents(req: &RoutedRequest, agents: &[MemberRecord], count: usize) -> Vec<MemberRecord> {
    let candidates: Vec<Candidate<'_>> = agents
        .iter()
        .map(|agent| Candidate {
            name: agent.backend.as_deref().unwrap_or_default(),
            weight: 1.0,
        })
        .collect();
    let ranking = rank_top(req.chat, &candidates, count);
    ranking
        .into_iter()
        .map(|index| agents[index].clone())
        .collect()
}

/// Returns whether a service has a reachable agent that accepts new work.
pub(crate) fn has_live_agent(router: &Router, service: &str) -> bool {
    let snapshot = router.control.snapshot();
    let mut agents = snapshot.reachable_agents(service);
    agents.any(|agent| agent.state == MemberState::Live)
}

fn live_agents(router: &Router, req: &RoutedRequest) -> Vec<MemberRecord> {
    let service = &req.service;
    let accepts_work = |agent: &&MemberRecord| {
        let Some(backend) = &agent.backend else {
            return false;
        };
        agent.state == MemberState::Live
            && (service.servers.is_empty() || service.servers.contains(backend))
            && !service.draining.contains(backend)
    };
    let snapshot = router.control.snapshot();
    snapshot
        .reachable_agents(&service.name)
        .filter(accepts_work)
        .cloned()
        .collect()
}
