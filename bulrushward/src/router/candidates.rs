//! Which agents a request may go to, in order of preference.

use std::time::Instant;

use bulrushward_policy::placement::{Candidate, rank_top};
use bulrushward_protocol::{MemberRecord, MemberState};

use super::{Router, job::Job};

/// Agents that one request tries.
const MAX_CANDIDATES: usize = 8;

/// Returns the agents for a request, best first; those that did not answer lately come last.
pub(crate) fn for_job(router: &Router, job: &Job) -> Vec<MemberRecord> {
    let now = Instant::now();
    let (answering, silent): (Vec<MemberRecord>, Vec<MemberRecord>) = live_agents(router, job)
        .into_iter()
        .partition(|agent| !router.silent.is_silent(agent, now));
    let mut chosen = best(job, &answering, MAX_CANDIDATES);
    chosen.extend(best(job, &silent, MAX_CANDIDATES - chosen.len()));
    chosen
}

fn best(job: &Job, agents: &[MemberRecord], count: usize) -> Vec<MemberRecord> {
    let names: Vec<Candidate<'_>> = agents
        .iter()
        .map(|agent| Candidate {
            name: agent.backend.as_deref().unwrap_or_default(),
            weight: 1.0,
        })
        .collect();
    let order = rank_top(job.chat, &names, count);
    order
        .into_iter()
        .map(|index| agents[index].clone())
        .collect()
}

/// Returns whether a service has an agent that takes new work.
pub(crate) fn has_live_agent(router: &Router, service: &str) -> bool {
    let snapshot = router.control.snapshot();
    let mut agents = snapshot.reachable_agents(service);
    agents.any(|agent| agent.state == MemberState::Live)
}

fn live_agents(router: &Router, job: &Job) -> Vec<MemberRecord> {
    let service = &job.service;
    let takes_work = |agent: &&MemberRecord| {
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
        .filter(takes_work)
        .cloned()
        .collect()
}
